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

// Guards against membership views that miss a live host, keep a dead one, or take a new process for
// the previous one at the same address. Also guards against a ticket of a replaced process that
// never gets a final outcome.
func TestReplacedHostAtSameAddress(t *testing.T) {
	t.Parallel()
	bed := startTestbed(t, testbed.Spec{Zones: []string{"ernakulam", "malabar", "tvm-south"}, Hosts: 7, Minions: 3})
	took := waitUntil(t, "every host sees its zone live", 15*time.Second, func() bool { return allZonePeersLive(bed, nil) })
	t.Logf("7 hosts see their zones live %v after the start", took)

	replaced, peer := bed.Hosts[0], bed.Hosts[3]
	oldIncarnation := hostViews(peer)[replaced.Settings.Host].Incarnation
	ticket := requestTicket(t, replaced)
	replaced.Kill()
	took = waitUntil(t, "the dead host is gone", 15*time.Second, func() bool {
		return hostViews(peer)[replaced.Settings.Host].State == "gone"
	})
	t.Logf("another host of the zone sees the killed host as gone after %v", took)

	if err := bed.StartHost(replaced); err != nil {
		t.Fatal(err)
	}
	took = waitUntil(t, "the new process is live everywhere", 20*time.Second, func() bool {
		incarnation := hostViews(replaced)[replaced.Settings.Host].Incarnation
		return incarnation != "" && incarnation != oldIncarnation && liveOnAllHosts(bed, replaced.Settings.Host, incarnation)
	})
	t.Logf("all 7 hosts see the new process as live after %v", took)

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply api.Reply
	for _, h := range bed.Hosts[1:] {
		url := fmt.Sprintf("%s/v1/jobs/%s?wait_ms=2000", h.CallersURL(), ticket)
		if err := getReply(ctx, url, &reply); err != nil || reply.Outcome != api.Failed {
			t.Errorf("%s answers %q for a ticket of the replaced process: %v", h.Settings.Host, reply.Outcome, err)
		}
	}
}

// Guards against a paused host that the others still see as gone after it resumes, or that itself
// sees the others as gone because it received no messages from them while it was paused.
func TestPausedHostReturns(t *testing.T) {
	t.Parallel()
	bed := startTestbed(t, testbed.Spec{Zones: []string{"ernakulam"}, Hosts: 3, Minions: 1})
	waitUntil(t, "every host sees its zone live", 15*time.Second, func() bool { return allZonePeersLive(bed, nil) })
	paused := bed.Hosts[1]
	paused.Signal(syscall.SIGSTOP)
	took := waitUntil(t, "the paused host is gone", 15*time.Second, func() bool {
		return hostViews(bed.Hosts[0])[paused.Settings.Host].State == "gone"
	})
	paused.Signal(syscall.SIGCONT)
	recovery := waitUntil(t, "the host is back", 20*time.Second, func() bool { return allZonePeersLive(bed, nil) })
	t.Logf("the paused host was seen as gone after %v, and as live by all hosts %v after it resumed", took, recovery)
}

// allZonePeersLive reports whether every host sees all hosts of its zone, except one, as live.
func allZonePeersLive(bed *testbed.Deployment, except *testbed.Host) bool {
	for _, h := range bed.Hosts {
		views := hostViews(h)
		for _, other := range bed.Hosts {
			if other.Settings.Zone == h.Settings.Zone && other != except && views[other.Settings.Host].State != "live" {
				return false
			}
		}
	}
	return true
}

// liveOnAllHosts reports whether every host sees the given incarnation of a host as live.
func liveOnAllHosts(bed *testbed.Deployment, host, incarnation string) bool {
	for _, h := range bed.Hosts {
		if v := hostViews(h)[host]; v.Incarnation != incarnation || v.State != "live" {
			return false
		}
	}
	return true
}

// requestTicket gets one ticket from a host.
func requestTicket(t *testing.T, h *testbed.Host) string {
	t.Helper()
	var reply api.TicketReply
	status, err := testbed.PostJSON(context.Background(), h.CallersURL()+"/v1/tickets", api.TicketRequest{Schema: api.Schema, Count: 1}, &reply)
	if err != nil || status != http.StatusOK || len(reply.Tickets) != 1 {
		t.Fatalf("no ticket: status %d, %v", status, err)
	}
	return string(reply.Tickets[0])
}

// getReply fetches a job's reply and decodes it, whatever the HTTP status.
func getReply(ctx context.Context, url string, reply *api.Reply) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(reply)
}
