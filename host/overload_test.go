package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
)

// newOverloadState returns a host that knows the commanders of three other zones, with free room as given
// for their cells.
func newOverloadState(lookAhead bool, overloaded map[string]bool) *State {
	s := newTestState("caller", 1)
	s.opts.Placement.LookAhead = lookAhead
	for i, zone := range []string{"a", "b", "c"} {
		h := &meshpb.Host{Name: zone + "1", Zone: zone, Addr: zone + ":1", Id: uint64(10 + i)}
		s.addPeer(h)
		p := s.peers[h.GetAddr()]
		p.info, p.live = h, true
		p.status = &meshpb.Status{Cells: []*meshpb.Cell{{
			Name: zone, Fence: 1, Commanded: 10,
			Loads: []*meshpb.Load{{Service: "s", Capacity: 640000, Rate: 500000, TaskMs: 200, Overloaded: overloaded[zone]}},
		}}}
		s.peersByID[h.GetId()] = p
	}
	return s
}

// TestRefusedJobIsNotSentRound guards against a job that is offered to one overloaded cell after the other
// while its caller waits for the refusal. A cell that is not overloaded still gets it.
func TestRefusedJobIsNotSentRound(t *testing.T) {
	var priorities priorityLevels
	offers := func(lookAhead bool, overloaded map[string]bool) (n int, refused bool) {
		s := newOverloadState(lookAhead, overloaded)
		s.priorities = priorities
		now := time.Second
		s.handleJobArrived(now, JobArrived{Seq: 1, Remaining: 2 * time.Second, Spec: fleet.JobSpec{ID: "j", Tasks: 1, Need: fleet.Resources{CPU: 1000}}, Route: fleet.Route{Service: "s"}})
		for s.jobs[1] != nil && n < 10 {
			n++
			s.handleOutcome(now, s.jobs[1].hostID, &meshpb.Outcome{Seq: 1, Outcome: int32(sched.Refused), Reason: "overload"})
		}
		for _, e := range s.effects {
			if a, ok := e.(Answer); ok {
				refused = a.Outcome == sched.Refused
			}
		}
		return n, refused
	}
	urgentOffers := func(overloaded map[string]bool) int {
		priorities = newPriorityLevels(&fleet.Config{Routes: []fleet.Route{{Service: "s"}, {Service: "s", Priority: 3}, {Service: "other", Priority: 9}}})
		defer func() { priorities = nil }()
		n, _ := offers(true, overloaded)
		return n
	}
	everywhere := map[string]bool{"a": true, "b": true, "c": true}
	if n, refused := offers(true, everywhere); n != 1 || !refused {
		t.Errorf("with overload everywhere: %d offers, refused %v", n, refused)
	}
	if n := urgentOffers(everywhere); n != 2 {
		t.Errorf("%d offers of a job that goes before those of one other priority, want 2", n)
	}
	if n, _ := offers(true, map[string]bool{"a": true, "b": true}); n < 1 || n > 2 {
		t.Errorf("with room in one zone: %d offers", n)
	}
	if n, _ := offers(false, everywhere); n != 3 {
		t.Errorf("without looking ahead: %d offers, want one to each cell", n)
	}
}

// TestRetryAfterFollowsPriority guards against callers of less urgent routes that come back first and take
// the room.
func TestRetryAfterFollowsPriority(t *testing.T) {
	s := newTestState("caller", 1)
	s.opts.Placement.LookAhead = true
	urgent, later := time.Duration(0), time.Duration(0)
	for range 200 {
		urgent += s.retryAfter(&job{})
		later += s.retryAfter(&job{route: fleet.Route{Priority: 2}})
	}
	if later < urgent+200*retryAfterPerPriority {
		t.Errorf("urgent callers come back after %v in the mean, others after %v", urgent/200, later/200)
	}
}
