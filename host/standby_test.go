package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/sched"
)

// hostsThatRead returns the hosts of a zone that read the workers' entries, and those that command.
func hostsThatRead(w *simulation, zone string) (reading, commanding []*simHost) {
	for _, h := range w.hosts {
		if h.zone != zone || h.state == nil {
			continue
		}
		if h.state.ReadsWorkers() {
			reading = append(reading, h)
		}
		if h.state.CellCount() > 0 {
			commanding = append(commanding, h)
		}
	}
	return reading, commanding
}

// TestOnlyCommandersReadWorkers guards against reads of the store that cost the number of hosts times
// the number of workers: hosts without a cell get the entries from the commander of their zone.
func TestOnlyCommandersReadWorkers(t *testing.T) {
	w := newSimulation(1, 4, 6, 100)
	w.advance(5 * time.Second)
	reading, commanding := hostsThatRead(w, "north")
	if len(reading) != 1 || len(commanding) != 1 || reading[0] != commanding[0] {
		t.Fatalf("%d hosts read and %d command, want the same one", len(reading), len(commanding))
	}
	for _, h := range w.hosts {
		known := 0
		for _, e := range h.state.workers {
			if e.info.Zone == h.zone {
				known++
			}
		}
		if known != 6 {
			t.Errorf("host %s knows %d workers of its zone, want 6", h.name, known)
		}
	}
}

// TestStandbyLearnsOfRemovedWorker guards against a host that takes a cell and uses workers that have
// left while it did not read the store.
func TestStandbyLearnsOfRemovedWorker(t *testing.T) {
	w := newSimulation(1, 4, 6, 100)
	w.advance(5 * time.Second)
	gone := w.workers[0]
	gone.unlisted = true
	w.advance(storeReadInterval + removalGrace + time.Second)
	for _, h := range w.hosts {
		if h.zone == gone.info.Zone && h.state.workers[gone.ID] != nil {
			t.Errorf("host %s still knows the worker", h.name)
		}
	}
}

// TestStandbyTakesOverWithoutStore guards against a cell that stays without a commander because the
// hosts left have not read the workers' entries themselves and cannot do so now.
func TestStandbyTakesOverWithoutStore(t *testing.T) {
	w := newSimulation(1, 4, 6, 100)
	w.advance(5 * time.Second)
	for _, h := range w.hosts {
		h.storeCut = true
	}
	_, commanding := hostsThatRead(w, "north")
	commanding[0].kill()
	w.advance(3 * time.Second)
	_, next := hostsThatRead(w, "north")
	if len(next) != 1 {
		t.Fatalf("%d hosts command the zone, want 1", len(next))
	}
	j := w.submit(next[0], 1, 50*time.Millisecond, false)
	w.advance(500 * time.Millisecond)
	if len(j.outcomes) != 1 || j.outcomes[0] != sched.Completed {
		t.Errorf("the job came to %v %s", j.outcomes, j.reason)
	}
}
