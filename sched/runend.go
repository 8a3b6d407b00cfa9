package sched

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// This file decides when a run is over whose end its worker has not listed. A worker takes time to end a run
// that has lost its lease or that it was told to stop, and may list it neither as running nor as ended meanwhile.
// All that rests on such an end waits until timing.Budget.RunOver.

// markUnlistedRuns finds out when the runs are over that are missing from a list. A list that has no room for all ends
// shows nothing: a run that it lacks may have ended as done.
func (s *State) markUnlistedRuns(now time.Duration, w *worker, e HoldReply, running map[fleet.RunKey]bool) {
	if e.Reply.MoreEnds {
		return
	}
	for _, r := range sortedRuns(w) {
		if running[r.key] || r.overAt != 0 {
			continue
		}
		if !r.cannotStart(e) {
			s.stopUnansweredStart(now, w, r, e.Sent)
			continue
		}
		r.overAt = s.unlistedRunOver(now, r.stop)
	}
	for key, f := range w.foreignRuns {
		if !running[key] && f.overAt == 0 {
			f.overAt = s.unlistedRunOver(now, f.stop)
		}
	}
}

// cannotStart reports whether the worker of a run that is missing from its list can no longer start it: it was
// known to run it before the hold was sent, it had accepted a stop by then, or the lease in its start has ended.
func (r *run) cannotStart(e HoldReply) bool {
	confirmed := r.confirmedAt != 0 && r.confirmedAt < e.Sent
	stopped := r.stop.acceptedAt != 0 && r.stop.acceptedAt < e.Sent
	expired := r.confirmedAt == 0 && r.startSentAt < e.Sent && r.leaseUntil != 0 && e.Reply.ClockMillis > r.leaseUntil
	return confirmed || stopped || expired
}

// unlistedRunOver returns when a run is over that is missing from a list that has come now. The worker has begun
// to end it by then, and when it accepted a stop, if it did so earlier.
func (s *State) unlistedRunOver(now time.Duration, stop stopState) time.Duration {
	if stop.acceptedAt != 0 {
		return s.timing.RunOver(min(now, stop.acceptedAt))
	}
	return s.timing.RunOver(now)
}

// recordTakenList records that a worker that is not cleared has listed its runs.
func (s *State) recordTakenList(now time.Duration, w *worker) {
	s.raiseForFormerCommander(now, w)
	if !w.hasListed {
		w.hasListed = true // from now on the worker refuses what the former commander orders
		w.formerRunsEnd = s.timing.RunOver(now)
	}
}

// raiseForFormerCommander records that another commander may have extended the lease of a worker just before this
// host commanded it. A lease never shortens.
func (s *State) raiseForFormerCommander(now time.Duration, w *worker) {
	w.raiseLeaseEndBound(now, s.timing.MaxLease)
}

// awaitOver makes the first Place from a time on end the runs that are over then. A Tick would come later.
func (s *State) awaitOver(at time.Duration) {
	if s.nextOver == 0 || at < s.nextOver {
		s.nextOver = at
	}
}

// endAllOverRuns ends the runs of all workers that are over.
func (s *State) endAllOverRuns(now time.Duration) {
	s.nextOver = 0
	for _, w := range s.sortedWorkers {
		s.endOverRuns(now, w)
	}
}

// endOverRuns ends the runs of a worker that are certainly over, and completes the take of a worker on which
// no run of a former commander is left.
func (s *State) endOverRuns(now time.Duration, w *worker) {
	if len(w.runs) > 0 {
		s.endLapsedRuns(now, w)
		s.endUnlistedRuns(now, w)
	}
	s.endForeignRuns(now, w)
	s.completeTake(now, w)
}

// completeTake lets a worker accept tasks on which no run of a former commander is left.
func (s *State) completeTake(now time.Duration, w *worker) {
	switch {
	case w.phase != phaseTaking || !w.hasListed || len(w.foreignRuns) > 0:
	case now < w.formerRunsEnd:
		s.awaitOver(w.formerRunsEnd)
	default:
		w.phase = phaseHeld
		w.cleared = true
		s.needsPlacement = true
		s.logEvent("", "worker taken", "worker", w.info.ID, "fence", w.fence)
	}
}

// endLapsedRuns ends all runs of a worker whose lease has certainly ended so long ago that they are over.
func (s *State) endLapsedRuns(now time.Duration, w *worker) {
	over := s.runsOver(w)
	if now <= over {
		s.awaitOver(over + 1)
		return
	}
	s.recordLapse(now, w)
	for _, r := range sortedRuns(w) {
		s.logEvent(r.job.spec.RequestID, "run lapsed", "worker", w.info.ID, "task", r.key.Task, "attempt", r.key.Attempt,
			"lease_ended_ago", now-w.leaseEndBound, "silent", now-w.aliveAt)
		s.stats.Lapsed++
		s.endRun(now, w, r, ending{how: fleet.EndLeaseExpired, basis: EndLeaseOver, over: over})
	}
}

// endUnlistedRuns ends the runs of a worker that its newest list lacks and that are over.
func (s *State) endUnlistedRuns(now time.Duration, w *worker) {
	for _, r := range slices.Clone(w.runList) {
		switch {
		case r.overAt == 0:
			continue
		case now < r.overAt:
			s.awaitOver(r.overAt)
			continue
		}
		s.stats.Lost++
		s.logEvent(r.job.spec.RequestID, "run is not listed", "worker", w.info.ID, "task", r.key.Task, "attempt", r.key.Attempt,
			"confirmed", r.confirmedAt != 0, "stopped", r.stop.acceptedAt != 0)
		s.endRun(now, w, r, ending{how: fleet.EndUnknown, basis: EndUnlisted, over: r.overAt})
	}
}

// endForeignRuns forgets the foreign runs of a worker that are over. No commander extends a lease beside them, so
// they end with it also where no list comes any more.
func (s *State) endForeignRuns(now time.Duration, w *worker) {
	lapsed := now > s.runsOver(w)
	for key, f := range w.foreignRuns {
		switch {
		case lapsed || f.overAt != 0 && now >= f.overAt:
			s.removeForeignRun(w, key)
			s.needsPlacement = true
		case f.overAt != 0:
			s.awaitOver(f.overAt)
		}
	}
}
