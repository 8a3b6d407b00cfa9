package dispatch

import (
	"testing"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/place"
)

// Guards against a task that starts although an invariant is broken, and against a violation that is
// not reported to operators.
func TestViolationFailsJobAndIsReported(t *testing.T) {
	s := New(Options{Host: "a-1", Incarnation: 7, Zone: "a", Seed: 1})
	ep := place.Endpoint{ID: "m-1", Zone: "a", Group: "g", Slots: 2}
	s.Apply(0, PolicyChanged{Policy: &Policy{Kinds: map[string]Kind{"k": {Group: "g"}}, Teams: map[string]Team{"t": {Weight: 1}}}})
	s.Apply(0, EndpointsChanged{Endpoints: []place.Endpoint{ep}})
	tk := s.Mint(0, 1, defaultDeadline, defaultDeadline)[0]
	job := &api.Job{Schema: 1, Team: "t", Kind: "k", Tasks: []api.Task{{}}}
	s.Apply(0, Submit{ID: tk.ID(), Ticket: tk, Job: job, Digest: 1, Waiter: 1})
	j := s.jobs[tk.ID()]
	if j == nil || j.tasks[0].state != taskInFlight {
		t.Fatal("the task did not start")
	}

	s.effects = nil
	if s.startAttempt(0, j, 0, ep) {
		t.Error("the task started again")
	}
	var reported, replied bool
	for _, e := range s.effects {
		switch e := e.(type) {
		case StartAttempt:
			t.Error("a second attempt was handed out")
		case Violation:
			reported = e.Ticket == tk.ID()
		case ReplyTo:
			replied = e.Reply.Outcome == api.Failed && e.Reply.Reason.Code == api.CodeInternal
		}
	}
	if !reported || !replied || s.Counters().Violations != 1 {
		t.Errorf("reported %v, replied %v, counted %d", reported, replied, s.Counters().Violations)
	}
}
