package configproof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/testbed"
	"sesameledge.dev/sesameledge/ticket"
)

// newKeySite starts hosts that have a configuration and are ready, and minions that count task starts.
func newKeySite(t *testing.T, hosts int) (*site, *minionsim.Fleet) {
	t.Helper()
	s := newSite(t, hosts, platformsim.Config{HostLag: -1}, nil)
	fleet := minionsim.New(minionsim.Config{Count: 4, Group: "demo", Platform: s.sim.URL(), Spread: -1})
	must(t, fleet.Start())
	t.Cleanup(fleet.Stop)
	for n := range hosts {
		s.startHosts(n)
	}
	revision := s.publishNext(0)
	for n := range hosts {
		s.awaitInForce(n, revision)
		s.awaitReady(n)
	}
	return s, fleet
}

func (s *site) callerURL(n int) string { return "http://" + s.settings[n].Listen.Callers }

// awaitReady waits until the readiness check of a host succeeds.
func (s *site) awaitReady(n int) {
	s.t.Helper()
	for range 500 {
		resp, err := http.Get(s.callerURL(n) + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("host %d does not get ready", n)
}

// epoch returns the key epoch of a host. It retries until the host has read the log of keys.
func (s *site) epoch(n int) uint64 {
	s.t.Helper()
	var reply api.EpochReply
	var err error
	for range 500 {
		if err = testbed.GetJSON(context.Background(), s.callerURL(n)+"/v1/epoch", &reply); err == nil {
			return reply.Epoch
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("host %d does not tell its epoch: %v", n, err)
	return 0
}

// awaitFetched waits until a host counts the answer of a job as fetched.
func (s *site) awaitFetched(n int, id ticket.ID) {
	s.t.Helper()
	for range 500 {
		var dump daemon.Dump
		must(s.t, testbed.GetJSON(context.Background(), s.operatorURL(n)+"/debug/state", &dump))
		for _, j := range dump.Dispatch.Jobs {
			if j.Ticket == id && j.Fetched {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("host %d does not count the answer of %s as fetched", n, id)
}

// submitWithKey submits a job of one task with a key and returns the reply.
func (s *site) submitWithKey(n int, key string, epoch uint64, deadline time.Duration) *api.Reply {
	job := api.Job{Schema: 1, Team: "association", Kind: "badge-award", Key: key, KeyEpoch: &epoch, DeadlineMS: deadline.Milliseconds(),
		Tasks: []api.Task{{Payload: json.RawMessage(`{"run_ms":5}`)}}}
	body, _ := json.Marshal(&job)
	reply := new(api.Reply)
	resp, err := http.Post(s.callerURL(n)+"/v1/jobs", "application/json", bytes.NewReader(body))
	if err != nil {
		return &api.Reply{Outcome: api.Unknown, Reason: api.Errorf("", "", "%v", err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
		s.t.Error(err)
	}
	return reply
}

// submitUntilFinal submits through one host after the other until the reply is final.
func (s *site) submitUntilFinal(n int, key string, epoch uint64) *api.Reply {
	var reply *api.Reply
	for try := range 200 {
		reply = s.submitWithKey((n+try)%len(s.daemons), key, epoch, 5*time.Second)
		if reply.Outcome != api.Unknown {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return reply
}

// Guards against a key that runs twice, on one host or on several, while appends lose
// their answers, and against callers of one key who get different outcomes.
func TestKeyStartsOnce(t *testing.T) {
	s, fleet := newKeySite(t, 3)
	lost := 0.3
	must(t, s.sim.SetFaults(platformsim.FaultsRequest{Service: platformsim.ServiceLog, LostAnswer: &lost}))
	const keys, callers = 100, 3
	epoch := s.epoch(0)
	replies := make([][callers]*api.Reply, keys)
	var wg sync.WaitGroup
	for k := range keys {
		for c := range callers {
			wg.Go(func() { replies[k][c] = s.submitUntilFinal(c, fmt.Sprint("key-", k), epoch) })
		}
	}
	wg.Wait()
	for k, group := range replies {
		for _, r := range group {
			if r.Outcome != api.Complete || r.Ticket != group[0].Ticket {
				t.Fatalf("key %d: %s %s %v, another caller got %s", k, r.Outcome, r.Ticket, r.Reason, group[0].Ticket)
			}
		}
	}
	starts := fleet.Starts()
	if len(starts.Tickets) != keys {
		t.Errorf("%d jobs of %d keys were started", len(starts.Tickets), keys)
	}
	for id, tasks := range starts.Tickets {
		if tasks[0] != 1 {
			t.Errorf("%s was started %d times", id, tasks[0])
		}
	}
	t.Logf("%d submissions of %d keys took %d appends", keys*callers, keys, len(s.readStream(logapi.StreamClaims)))
}

// Guards against a definite reply about a key during an outage of the log, even a rejection, since another
// host may have run it. After the outage the same key runs once.
func TestKeysDuringAnOutage(t *testing.T) {
	s, fleet := newKeySite(t, 2)
	epoch := s.epoch(0)
	s.setLogOutage(platformsim.OutageUnavailable)
	r := s.submitWithKey(0, "a", epoch, 5*time.Second)
	if r.Outcome != api.Unknown || r.Reason.Code != api.CodeLogUnavailable {
		t.Errorf("while the log answers 503: %s %v", r.Outcome, r.Reason)
	}
	s.setLogOutage(platformsim.OutageHang)
	r = s.submitWithKey(1, "b", epoch, 500*time.Millisecond)
	if r.Outcome != api.Failed || r.Reason.Code != api.CodeDeadline || len(r.Tasks) != 1 || r.Tasks[0].State != api.TaskNotRun {
		t.Errorf("claim that is not read back: %s %v %v", r.Outcome, r.Reason, r.Tasks)
	}
	s.setLogOutage(platformsim.OutageOff)
	if r := s.submitUntilFinal(1, "a", epoch); r.Outcome != api.Complete {
		t.Errorf("after the outage: %s %v", r.Outcome, r.Reason)
	}
	if n := len(fleet.Starts().Tickets); n != 1 {
		t.Errorf("%d jobs were started", n)
	}
}

// Guards against three faults: a key bound to one job answers for another, a replaced host forgets who owns
// a key, and an answer that its caller has fetched still takes memory and a handover at the drain.
func TestKeyStaysBoundAfterHostRestart(t *testing.T) {
	s, fleet := newKeySite(t, 2)
	epoch := s.epoch(0)
	first := s.submitUntilFinal(0, "a", epoch)
	if r := s.submitWithKey(1, "a", epoch, time.Second); r.Outcome != api.Unknown || r.Reason.Code != api.CodeTicketReused {
		t.Errorf("another job under the key: %s %v", r.Outcome, r.Reason)
	}
	s.awaitFetched(0, first.Ticket)
	s.stopHost(0)
	s.startHosts(0)
	s.awaitReady(0)
	r := s.submitUntilFinal(0, "a", epoch)
	if first.Outcome != api.Complete || r.Outcome != api.Failed || r.Reason.Code != api.CodeOwnerLost || r.NotForwarded {
		t.Errorf("first %s %v, after the owner was replaced %s %v", first.Outcome, first.Reason, r.Outcome, r.Reason)
	}
	if n := len(fleet.Starts().Tickets); n != 1 {
		t.Errorf("%d jobs were started", n)
	}
}
