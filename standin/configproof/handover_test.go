package configproof

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/client"
	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/peer"
	"sesameledge.dev/sesameledge/peer/peerpb"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/testbed"
	"sesameledge.dev/sesameledge/ticket"
)

// TestAnswerOutlivesItsOwner guards against a job that is complete and is called unknown or
// failed, because its owner has drained and the host asked holds no copy of the answer:
// while nobody is at the owner's address, and after it was replaced.
func TestAnswerOutlivesItsOwner(t *testing.T) {
	const hosts = 4 // one host holds no copy
	s, fleet := newKeySite(t, hosts)
	for n := range hosts {
		s.awaitLive(n, hosts)
	}
	id := s.submitUnfetched(0)
	s.stop(0)
	for n := 1; n < hosts; n++ {
		s.wantComplete(n, id, "after its owner has drained")
	}
	s.start(0)
	s.awaitReady(0)
	for n := 1; n < hosts; n++ {
		s.wantComplete(n, id, "after its owner was replaced")
	}
	if starts := fleet.Starts().Tickets[string(id)]; starts[0] != 1 {
		t.Errorf("%d starts", starts[0])
	}
}

// awaitLive waits until a host sees the number of hosts live.
func (s *site) awaitLive(n, hosts int) {
	s.t.Helper()
	for range 500 {
		var list []daemon.HostView
		must(s.t, testbed.GetJSON(context.Background(), s.operators(n)+"/v1/hosts", &list))
		live := 0
		for _, v := range list {
			if v.State == member.Live.String() {
				live++
			}
		}
		if live == hosts {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("host %d does not see %d hosts live", n, hosts)
}

// submitUnfetched submits a job through a host and waits until it has ended there, without
// taking its answer.
func (s *site) submitUnfetched(n int) ticket.ID {
	s.t.Helper()
	noWait := int64(0)
	job := api.Job{Schema: api.Schema, Team: "association", Kind: "badge-award", WaitMS: &noWait, DeadlineMS: 5000,
		Tasks: []api.Task{{Payload: json.RawMessage(`{"run_ms":5}`)}}}
	c := client.New(client.Options{Hosts: []string{s.callers(n)}})
	tickets, err := c.Tickets(context.Background(), 1, 0)
	must(s.t, err)
	job.Ticket = tickets.Tickets[0]
	_, err = c.Submit(context.Background(), &job)
	must(s.t, err)
	for range 500 {
		var dump daemon.Dump
		must(s.t, testbed.GetJSON(context.Background(), s.operators(n)+"/debug/state", &dump))
		for _, j := range dump.Dispatch.Jobs {
			if j.Ticket == job.Ticket && j.Outcome == api.Complete {
				return job.Ticket
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("the job does not end")
	return ""
}

func (s *site) wantComplete(n int, id ticket.ID, when string) {
	s.t.Helper()
	var reply api.Reply
	var err error
	for range 3 { // "unknown" asks the caller to ask again
		err = testbed.GetJSON(context.Background(), fmt.Sprintf("%s/v1/jobs/%s?wait_ms=2000", s.callers(n), id), &reply)
		if err == nil {
			break
		}
	}
	if err != nil || reply.Outcome != api.Complete || len(reply.Tasks) != 1 {
		s.t.Errorf("host %d %s: %s %v %v", n, when, reply.Outcome, reply.Reason, err)
	}
}

// TestReplacedOwnerIsProvedWithoutItsJob guards against a host that cannot decode the job of
// a newer release and therefore does not say that it is another incarnation: the caller
// would wait for the end of the ticket's lifetime. It holds no answer for the ticket.
func TestReplacedOwnerIsProvedWithoutItsJob(t *testing.T) {
	s := newSite(t, 1, platformsim.Config{}, nil)
	s.start(0)
	c := peer.NewClient(nil, new(peer.Traffic), "")
	t.Cleanup(c.Close)
	owner := ticket.Ticket{Host: "host-0", Incarnation: 1, Window: time.Second, MaxDeadline: time.Second, Seq: 1}
	reply, err := c.Forward(t.Context(), s.settings[0].Listen.Peers, &peerpb.ForwardRequest{
		Operation: peerpb.Operation_OPERATION_SUBMIT, Ticket: string(owner.ID()), Incarnation: 1, Job: []byte(`{"schema":99}`)})
	if err != nil || !reply.WrongIncarnation {
		t.Errorf("%v %v", reply, err)
	}
}
