package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/crash"
)

// fatalEvent returns the first event that brings a job on which the state of a commander fails, or nil. A job
// that is given up is not looked at.
func (h *simHost) fatalEvent(events []Event) Event {
	if h.w.fatalJob == "" || h.state.CellCount() == 0 {
		return nil
	}
	for _, ev := range events {
		for _, name := range jobsIn(ev) {
			if _, givenUp := h.state.sched.Crashes().GivenUpTask(name); name.ID == h.w.fatalJob && !givenUp {
				return ev
			}
		}
	}
	return nil
}

// failOn replaces the state that has failed on an event.
func (h *simHost) failOn(ev Event) {
	h.w.failures++
	h.replaceState()
	h.state.RecordFailure(h.clock(), ev)
}

// TestJobFailsFewHosts guards against a job on which the state of each commander fails in turn, with all jobs
// that it had, while the caller sends the job again.
func TestJobFailsFewHosts(t *testing.T) {
	for seed := range uint64(8) {
		w := newSimulation(seed, 3, 6, 100)
		w.load = 60 * time.Millisecond
		w.advance(3 * time.Second)
		j := w.submit(w.hosts[0], 1, 50*time.Millisecond, false)
		j.failing = true
		w.fatalJob = j.id
		w.advance(12 * time.Second)
		if w.failure != nil {
			t.Fatalf("seed %d: %v", seed, w.failure)
		}
		if w.failures > 2 {
			t.Errorf("seed %d: the states of %d hosts have failed on the job, want 2", seed, w.failures)
		}
		task := crash.Task{Job: crash.Job{Kind: crash.Kind{Host: simRouteHost, Prefix: simRoutePrefix}, ID: j.id}}
		for _, h := range w.hosts {
			if got := h.state.sched.Crashes().StandingOf(task); w.failures == 2 && got != crash.GivenUp {
				t.Errorf("seed %d: for host %s the job is %v, want given up", seed, h.name, got)
			}
		}
	}
}
