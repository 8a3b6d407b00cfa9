package membertest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// Guards against views that miss a host, keep a dead one, or confuse a process with its
// successor at the same address, and against a ticket of a replaced process that stays
// without a final answer.
func TestReplacedHostAtSameAddress(t *testing.T) {
	t.Parallel()
	bed := startBed(t, testbed.Spec{Zones: []string{"ernakulam", "malabar", "tvm-south"}, Hosts: 7, Minions: 3})
	took := await(t, "every host sees its zone live", 15*time.Second, func() bool { return zonesSee(bed, nil) })
	t.Logf("7 hosts see their zones live %v after the start", took)

	victim, peer := bed.Hosts[0], bed.Hosts[3]
	before := hostsSeen(peer)[victim.Settings.Host].Incarnation
	id := takeTicket(t, victim)
	victim.Kill()
	took = await(t, "the dead host is gone", 15*time.Second, func() bool {
		return hostsSeen(peer)[victim.Settings.Host].State == "gone"
	})
	t.Logf("a killed host is gone in its zone after %v", took)

	if err := bed.StartHost(victim); err != nil {
		t.Fatal(err)
	}
	took = await(t, "the new process is live everywhere", 20*time.Second, func() bool {
		now := hostsSeen(victim)[victim.Settings.Host].Incarnation
		return now != "" && now != before && everywhere(bed, victim.Settings.Host, now)
	})
	t.Logf("its successor is known to all 7 hosts after %v", took)

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply api.Reply
	for _, h := range bed.Hosts[1:] {
		url := fmt.Sprintf("%s/v1/jobs/%s?wait_ms=2000", h.CallersURL(), id)
		if err := getReply(ctx, url, &reply); err != nil || reply.Outcome != api.Failed {
			t.Errorf("%s says %q about a ticket of the replaced process: %v", h.Settings.Host, reply.Outcome, err)
		}
	}
}

// Guards against a paused host that stays gone after it resumes, or that takes others
// for gone because it could not hear them.
func TestPausedHostReturns(t *testing.T) {
	t.Parallel()
	bed := startBed(t, testbed.Spec{Zones: []string{"ernakulam"}, Hosts: 3, Minions: 1})
	await(t, "every host sees its zone live", 15*time.Second, func() bool { return zonesSee(bed, nil) })
	paused := bed.Hosts[1]
	paused.Signal(syscall.SIGSTOP)
	took := await(t, "the paused host is gone", 15*time.Second, func() bool {
		return hostsSeen(bed.Hosts[0])[paused.Settings.Host].State == "gone"
	})
	paused.Signal(syscall.SIGCONT)
	back := await(t, "the host is back", 20*time.Second, func() bool { return zonesSee(bed, nil) })
	t.Logf("a paused host is gone after %v and live everywhere %v after it resumes", took, back)
}

// zonesSee reports whether each host sees all others of its zone live.
func zonesSee(bed *testbed.Bed, except *testbed.Host) bool {
	for _, h := range bed.Hosts {
		seen := hostsSeen(h)
		for _, other := range bed.Hosts {
			if other.Settings.Zone == h.Settings.Zone && other != except && seen[other.Settings.Host].State != "live" {
				return false
			}
		}
	}
	return true
}

func everywhere(bed *testbed.Bed, host, incarnation string) bool {
	for _, h := range bed.Hosts {
		if v := hostsSeen(h)[host]; v.Incarnation != incarnation || v.State != "live" {
			return false
		}
	}
	return true
}

func takeTicket(t *testing.T, h *testbed.Host) string {
	t.Helper()
	var reply api.TicketReply
	status, err := testbed.PostJSON(context.Background(), h.CallersURL()+"/v1/tickets", api.TicketRequest{Schema: api.Schema, Count: 1}, &reply)
	if err != nil || status != http.StatusOK || len(reply.Tickets) != 1 {
		t.Fatalf("no ticket: status %d, %v", status, err)
	}
	return string(reply.Tickets[0])
}

// getReply reads a reply of any status.
func getReply(ctx context.Context, url string, into *api.Reply) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}
