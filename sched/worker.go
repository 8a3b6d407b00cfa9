package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// phase of the command over a worker.
type phase int

const (
	phaseNone    phase = iota // another host's, or nobody's
	phaseTaking               // runs of the former commander are being read and stopped
	phaseHeld                 // takes tasks
	phaseLeaving              // takes no new tasks; given up when empty
)

// worker is what the host knows of a worker.
type worker struct {
	info  fleet.Worker
	cell  fleet.Cell // under which it was taken
	phase phase
	fence int64
	born  int64 // incarnation that the lists came from; 0 before the first

	clock      int64         // the worker's clock when clockAt was the latest possible time
	clockAt    time.Duration //
	leaseBound time.Duration // every lease granted has ended by then

	runs    map[fleet.RunKey]*run
	foreign map[fleet.RunKey]*foreignRun // at work, but not of this host's doing

	cursor int64 // number of the newest end that was processed
	acked  int64 // newest cursor that the worker is known to have received
	asking int64 // cursor in the hold that is open

	holdSeq  uint64
	holding  bool
	nextHold time.Duration // earliest time of the next hold
	wanted   bool          // tasks wait for a fresh reading of the clock

	misses  int           // calls without an answer since the last answer
	blocked time.Duration // no new tasks until then
	backoff time.Duration

	speed    float64 // against the mean of all workers
	failures int     // runs in a row that ended failed
	removed  bool    // no longer in the directory
}

// run is a run that the worker may be at work on, now or later.
type run struct {
	key       fleet.RunKey
	job       *job
	index     int // of the task
	need      fleet.Resources
	sent      time.Duration
	predicted time.Duration // duration on this worker
	confirmed time.Duration // when the worker was first known to run it; 0: not yet
	until     int64         // the start's own lease on the worker's clock; 0: not comparable
	born      int64         // incarnation that has listed the run; 0: none
	percent   float64
	percentAt time.Duration
	doubt     time.Duration // when its start went unanswered; 0: it did not
	stop      stopping
}

// stopping is the state of ending a run.
type stopping struct {
	wanted time.Duration // since when; 0: not wanted
	sent   time.Duration
	acked  time.Duration // 0: not yet
}

// foreignRun is a run of a former commander, or one that was carried out late.
type foreignRun struct{ stop stopping }

// Clock drift of a worker: its steady clock may be this much slow.
const clockRate = 0.98

// leaseEnd returns the end on the worker's clock of a lease that ends at now + d at the
// latest, whatever the worker's clock rate is.
func (w *worker) leaseEnd(now, d time.Duration) int64 {
	elapsed := float64(now-w.clockAt) * clockRate
	return w.clock + int64((time.Duration(elapsed) + d).Milliseconds())
}

// grant notes that a lease of length d may begin now.
func (w *worker) grant(now, d time.Duration) {
	w.leaseBound = max(w.leaseBound, now+time.Duration(float64(d)/clockRate))
}

// stale reports whether the worker has been silent for so long that it may have started
// again, with another clock. Leases that are reckoned on the old clock could then allow an
// order to be carried out seconds late.
func (w *worker) stale(now time.Duration) bool { return now-w.clockAt > restartTime }

// observe takes a reading of the worker's clock. Its latest possible time is now.
func (w *worker) observe(now time.Duration, clock int64) {
	if clock == 0 {
		return
	}
	if clock < w.leaseEnd(now, 0) && w.clockAt != 0 {
		return // an older reading
	}
	w.clock = clock
	w.clockAt = now
}

// free returns what the worker has left for new tasks.
func (w *worker) free() fleet.Resources {
	left := w.info.Capacity
	for _, r := range w.runs {
		left = left.Sub(r.need)
	}
	return left
}

// usable reports whether new tasks may be started on the worker.
func (w *worker) usable(now time.Duration) bool {
	return (w.phase == phaseHeld || w.phase == phaseLeaving) && !w.info.Draining && !w.removed && w.misses == 0 &&
		len(w.foreign) == 0 && now >= w.blocked && !w.withhold(now)
}

// counts reports whether the worker adds to the capacity of its service, now or soon.
func (w *worker) counts() bool {
	return w.phase == phaseHeld && !w.info.Draining && !w.removed && w.misses == 0
}

// withhold reports whether the worker's lease is left to end, because something runs under
// it that must end and whose stop stays unanswered.
func (w *worker) withhold(now time.Duration) bool {
	for _, r := range w.runs {
		if r.stop.overdue(now) {
			return true
		}
	}
	return len(w.foreign) > 0
}

// overdue reports whether a stop has taken too long to go on extending the lease.
func (s stopping) overdue(now time.Duration) bool {
	return s.wanted != 0 && now-s.wanted > stopPatience
}

// due reports whether a stop has to be sent, for the first time or again.
func (s stopping) due(now time.Duration) bool {
	return s.wanted != 0 && s.acked == 0 && (s.sent == 0 || now-s.sent >= stopRepeat)
}

// block keeps new tasks away for a time that doubles with each call in a row.
func (w *worker) block(now time.Duration) {
	w.backoff = min(max(2*w.backoff, blockMin), blockMax)
	w.blocked = now + w.backoff
}
