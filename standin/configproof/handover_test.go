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

// TestAnswerSurvivesOwnerDrain guards against a complete job that is reported as unknown or failed
// because its owner has drained and the queried host holds no copy of the answer. It checks this while
// nothing listens at the owner's address, and again after the owner was replaced.
func TestAnswerSurvivesOwnerDrain(t *testing.T) {
	const hosts = 4 // one host holds no copy
	s, fleet := newKeySite(t, hosts)
	for n := range hosts {
		s.awaitLive(n, hosts)
	}
	id := s.submitUnfetched(0)
	s.stopHost(0)
	for n := 1; n < hosts; n++ {
		s.expectComplete(n, id, "after its owner has drained")
	}
	s.startHosts(0)
	s.awaitReady(0)
	for n := 1; n < hosts; n++ {
		s.expectComplete(n, id, "after its owner was replaced")
	}
	if starts := fleet.Starts().Tickets[string(id)]; starts[0] != 1 {
		t.Errorf("%d starts", starts[0])
	}
}

// awaitLive waits until a host sees exactly the given number of hosts as live.
func (s *site) awaitLive(n, hosts int) {
	s.t.Helper()
	for range 500 {
		var list []daemon.HostView
		must(s.t, testbed.GetJSON(context.Background(), s.operatorURL(n)+"/v1/hosts", &list))
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
// fetching its answer.
func (s *site) submitUnfetched(n int) ticket.ID {
	s.t.Helper()
	noWait := int64(0)
	job := api.Job{Schema: api.Schema, Team: "association", Kind: "badge-award", WaitMS: &noWait, DeadlineMS: 5000,
		Tasks: []api.Task{{Payload: json.RawMessage(`{"run_ms":5}`)}}}
	c := client.New(client.Options{Hosts: []string{s.callerURL(n)}})
	tickets, err := c.Tickets(context.Background(), 1, 0)
	must(s.t, err)
	job.Ticket = tickets.Tickets[0]
	_, err = c.Submit(context.Background(), &job)
	must(s.t, err)
	for range 500 {
		var dump daemon.Dump
		must(s.t, testbed.GetJSON(context.Background(), s.operatorURL(n)+"/debug/state", &dump))
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

// expectComplete checks that a host reports the job as complete with one task.
func (s *site) expectComplete(n int, id ticket.ID, when string) {
	s.t.Helper()
	var reply api.Reply
	var err error
	for range 3 { // "unknown" asks the caller to ask again
		err = testbed.GetJSON(context.Background(), fmt.Sprintf("%s/v1/jobs/%s?wait_ms=2000", s.callerURL(n), id), &reply)
		if err == nil {
			break
		}
	}
	if err != nil || reply.Outcome != api.Complete || len(reply.Tasks) != 1 {
		s.t.Errorf("host %d %s: %s %v %v", n, when, reply.Outcome, reply.Reason, err)
	}
}

// TestReplacedOwnerIsReportedForUndecodableJob guards against a host that cannot decode the job of
// a newer release and therefore does not report that it is another incarnation. The caller would wait until
// the ticket's lifetime ends. The host holds no answer for the ticket.
func TestReplacedOwnerIsReportedForUndecodableJob(t *testing.T) {
	s := newSite(t, 1, platformsim.Config{}, nil)
	s.startHosts(0)
	c := peer.NewClient(nil, new(peer.Traffic), "")
	t.Cleanup(c.Close)
	owner := ticket.Ticket{Host: "host-0", Incarnation: 1, Window: time.Second, MaxDeadline: time.Second, Seq: 1}
	reply, err := c.Forward(t.Context(), s.settings[0].Listen.Peers, &peerpb.ForwardRequest{
		Operation: peerpb.Operation_OPERATION_SUBMIT, Ticket: string(owner.ID()), Incarnation: 1, Job: []byte(`{"schema":99}`)})
	if err != nil || !reply.WrongIncarnation {
		t.Errorf("%v %v", reply, err)
	}
}
