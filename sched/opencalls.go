package sched

import (
	"maps"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// maxOpenOrders is the number of starts, and that of stops, of one worker that may be unanswered at a time. Each takes
// a connection and memory until it is answered, which takes milliseconds, and a job may have thousands of tasks.
const maxOpenOrders = 8

// openOrders counts the unanswered starts and stops of a worker.
type openOrders struct{ starts, stops int }

// takesStarts reports whether another start may be sent.
func (o openOrders) takesStarts() bool { return o.starts < maxOpenOrders }

// takesStops reports whether another stop may be sent.
func (o openOrders) takesStops() bool { return o.stops < maxOpenOrders }

// closeStart records that a start was answered, or that no answer is awaited any more.
func (w *worker) closeStart(r *run) {
	if r.startOpen {
		r.startOpen = false
		w.open.starts--
	}
}

// openStop records that a stop is sent.
func (w *worker) openStop(st *stopState) {
	if !st.open {
		st.open = true
		w.open.stops++
	}
}

// closeStop does for a stop what closeStart does for a start.
func (w *worker) closeStop(st *stopState) {
	if st.open {
		st.open = false
		w.open.stops--
	}
}

// handleStartClosed lets tasks start that a worker could take no start for.
func (s *State) handleStartClosed(w *worker, r *run) {
	if !w.open.takesStarts() {
		s.needsPlacement = true
	}
	w.closeStart(r)
}

// closeStopOf records the answer to the stop of a run, own or foreign. It reports whether other stops of the worker may
// have waited for it.
func (w *worker) closeStopOf(key fleet.RunKey) (waited bool) {
	waited = !w.open.takesStops()
	if r := w.runs[key]; r != nil {
		w.closeStop(&r.stop)
	}
	if f := w.foreignRuns[key]; f != nil {
		w.closeStop(&f.stop)
	}
	return waited
}

// sendDueStops sends the stops of a worker that are due, as many as it takes.
func (s *State) sendDueStops(now time.Duration, w *worker) {
	for _, r := range sortedRuns(w) {
		if r.stop.isDue(now) {
			s.sendStop(now, w, r.key, &r.stop)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(w.foreignRuns), compareRunKeys) {
		if f := w.foreignRuns[key]; f.stop.isDue(now) {
			s.sendStop(now, w, key, &f.stop)
		}
	}
}

// withoutFull returns the workers that take another start.
func withoutFull(workers []*candidate) []*candidate {
	return slices.DeleteFunc(workers, func(c *candidate) bool { return !c.w.open.takesStarts() })
}
