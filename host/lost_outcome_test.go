package host

import (
	"slices"
	"testing"
	"time"
)

// assignedTo returns the number of jobs of a host's callers that it has passed to another host.
func (h *simHost) assignedTo(o *simHost) int {
	n := 0
	for _, j := range h.state.jobs {
		if j.hostID == o.state.opts.Self.ID {
			n++
		}
	}
	return n
}

// TestJobsOfLostHostAreAnswered guards against callers that wait in vain until their deadlines: a commander
// has cancelled the jobs of a host that was frozen, and the host, which was back a moment before it would
// have given up the commander, is told nothing.
func TestJobsOfLostHostAreAnswered(t *testing.T) {
	cancelled := 0
	for seed := range uint64(60) {
		w := newSimulation(seed, 3, 8, 100)
		w.estimate, w.patience = 4*time.Second, 10*time.Second
		w.advance(2*time.Second + time.Duration(w.rng.Int64N(int64(100*time.Millisecond))))
		for _, h := range w.hosts {
			w.submit(h, 1+w.rng.IntN(2), 4*time.Second, false)
		}
		w.advance(500 * time.Millisecond)
		h := w.killable()
		if h == nil {
			continue
		}
		h.frozen = true
		w.advance(250*time.Millisecond + time.Duration(w.rng.Int64N(int64(200*time.Millisecond))))
		h.wake()
		w.advance(time.Second)
		for _, o := range w.hosts {
			if o == h || h.assignedTo(o) == 0 {
				continue
			}
			if !slices.Contains(o.state.Scheduler().HostsWithJobs(), h.state.opts.Self.ID) {
				t.Errorf("seed %d: %d jobs of host %s wait for %s, which has cancelled them", seed, h.assignedTo(o), h.name, o.name)
			}
		}
		if len(h.open) == 0 {
			cancelled++
		}
	}
	if cancelled == 0 {
		t.Error("no job was cancelled; the test shows nothing")
	}
}
