package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// hold asks a worker for its runs if it is time to.
func (s *State) hold(now time.Duration, w *worker) {
	if w.holding || w.phase == phaseNone || now < w.nextHold {
		return
	}
	order := fleet.HoldOrder{Fence: w.fence, Ack: w.cursor}
	switch {
	case w.phase == phaseTaking || w.misses > 0 && len(w.runs) == 0:
		// Reads only: nothing of this host runs there.
	case len(w.runs) > 0:
		if w.misses == 0 && !w.wanted {
			order.Wait = int(holdWait.Milliseconds())
		}
		if !w.withhold(now) && !w.stale(now) {
			order.Until = w.leaseEnd(now, leaseTime)
			w.grant(now, leaseTime)
		}
	case w.cursor == w.acked && !w.wanted:
		return
	}
	w.wanted = false
	if len(w.foreign) > 0 {
		order.Wait = int(stopRepeat.Milliseconds())
	}
	w.holdSeq++
	w.holding = true
	w.asking = order.Ack
	s.emit(HoldWorker{Worker: w.info, Seq: w.holdSeq, Order: order})
}

// look asks a worker for its runs at once. The answer to an open hold is not used; what it
// would have told is told again.
func (s *State) look(now time.Duration, w *worker) {
	w.holding = false
	w.wanted = true
	w.nextHold = now
	s.hold(now, w)
}

// held takes a worker's answer to a hold.
func (s *State) held(now time.Duration, e Held) {
	w := s.workers[e.Worker]
	if w == nil || !w.holding || e.Seq != w.holdSeq {
		return
	}
	w.holding = false
	if w.phase == phaseNone {
		return
	}
	switch e.Reply.Verdict {
	case fleet.Accepted:
		s.lists(now, w, e)
	case fleet.Fenced:
		s.fenced(w)
		return
	default:
		s.missed(now, w, e.Reply.Reply)
	}
	s.hold(now, w)
}

// missed notes a hold without a usable answer.
func (s *State) missed(now time.Duration, w *worker, r fleet.Reply) {
	if w.misses == 0 {
		s.note("", "worker does not answer", "worker", w.info.ID, "verdict", r.Verdict, "runs", len(w.runs), "err", r.Err)
	}
	w.misses++
	w.nextHold = now
	if w.misses > 1 {
		w.nextHold = now + probeTime
	}
}

// lists takes the lists of a worker's runs.
func (s *State) lists(now time.Duration, w *worker, e Held) {
	if w.misses > 0 {
		s.note("", "worker answers again", "worker", w.info.ID, "misses", w.misses)
		w.misses = 0
	}
	s.reborn(now, w, e.Reply.Born)
	w.observe(now, e.Reply.Clock)
	w.nextHold = now
	s.dirty = true
	w.acked = max(w.acked, w.asking)
	for _, f := range e.Reply.Finished {
		if f.Number <= w.cursor {
			continue
		}
		w.cursor = f.Number
		s.listedEnd(now, w, f)
	}
	running := s.listedRunning(now, w, e.Reply.Running)
	s.absent(now, w, e, running)
	if w.phase == phaseTaking {
		// The former commander may have extended the lease until just now, and it never shortens.
		w.grant(now, maxLease)
	}
	if w.phase == phaseTaking && len(w.foreign) == 0 {
		w.phase = phaseHeld
		s.note("", "worker taken", "worker", w.info.ID, "fence", w.fence)
	}
	if len(w.runs) == 0 && len(w.foreign) == 0 {
		w.nextHold = now + ackDelay
		s.leaveIfEmpty(w)
	}
}

// reborn takes note of a new incarnation of a worker. Runs that the earlier one has listed
// are over. Of the others it is not known which incarnation has their orders: they are
// stopped unless the new one lists them.
func (s *State) reborn(now time.Duration, w *worker, born int64) {
	if born == 0 || born == w.born {
		return
	}
	if w.born != 0 {
		s.note("", "worker restarted", "worker", w.info.ID, "born", born, "runs", len(w.runs))
		w.cursor, w.acked = 0, 0
		w.clock, w.clockAt = 0, 0
		w.foreign = make(map[fleet.RunKey]*foreignRun)
		for _, r := range sortedRuns(w) {
			if r.born == w.born {
				s.over(now, w, r, fleet.EndUnknown)
				continue
			}
			r.until = 0
			r.stop.acked = 0
			if r.confirmed == 0 && r.doubt == 0 {
				r.doubt = now
			}
		}
	}
	w.born = born
}

// listedEnd takes the end of a run.
func (s *State) listedEnd(now time.Duration, w *worker, f fleet.Finished) {
	delete(w.foreign, f.Run)
	r := w.runs[f.Run]
	if r == nil {
		return
	}
	s.over(now, w, r, f.How)
}

// listedRunning takes the runs at work and returns their keys.
func (s *State) listedRunning(now time.Duration, w *worker, list []fleet.Running) map[fleet.RunKey]bool {
	running := make(map[fleet.RunKey]bool, len(list))
	for _, row := range list {
		running[row.Run] = true
		if r := w.runs[row.Run]; r != nil {
			r.progress(now, row.Percent)
			r.born = w.born
			continue
		}
		if w.foreign[row.Run] == nil {
			s.stats.Foreign++
			s.note("", "stopping a run of another host", "worker", w.info.ID, "task", row.Run.Task, "attempt", row.Run.Attempt)
			f := &foreignRun{stop: stopping{wanted: now}}
			w.foreign[row.Run] = f
			s.sendStop(now, w, row.Run, &f.stop)
		}
	}
	for key := range w.foreign {
		if !running[key] {
			delete(w.foreign, key)
		}
	}
	return running
}

// progress notes that a run is at work.
func (r *run) progress(now time.Duration, percent float64) {
	if r.confirmed == 0 {
		r.confirmed = now
	}
	if percent > r.percent || r.percentAt == 0 {
		r.percent = percent
		r.percentAt = now
	}
}

// absent ends the runs that a complete list does not name and that can no longer start.
func (s *State) absent(now time.Duration, w *worker, e Held, running map[fleet.RunKey]bool) {
	for _, r := range sortedRuns(w) {
		if running[r.key] {
			continue
		}
		confirmed := r.confirmed != 0 && r.confirmed < e.Sent
		stopped := r.stop.acked != 0 && r.stop.acked < e.Sent
		expired := r.confirmed == 0 && r.sent < e.Sent && r.until != 0 && e.Reply.Clock > r.until
		if !confirmed && !stopped && !expired {
			s.stopDoubtful(now, w, r, e.Sent)
			continue
		}
		s.stats.Lost++
		s.note(r.job.spec.RequestID, "run is not listed", "worker", w.info.ID, "task", r.key.Task, "attempt", r.key.Attempt, "confirmed", confirmed, "stopped", stopped)
		s.over(now, w, r, fleet.EndUnknown)
	}
}

// stopDoubtful stops a run whose start went unanswered and which a later list does not name:
// its order may still be carried out.
func (s *State) stopDoubtful(now time.Duration, w *worker, r *run, sent time.Duration) {
	if r.doubt == 0 || r.doubt > sent || r.confirmed != 0 || r.stop.wanted != 0 {
		return
	}
	r.stop.wanted = now
	s.sendStop(now, w, r.key, &r.stop)
}

// started takes the answer to a start.
func (s *State) started(now time.Duration, e Started) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	w.observe(now, e.Reply.Clock)
	r := w.runs[e.Run]
	if r == nil {
		return
	}
	if e.Reply.Verdict == fleet.Accepted {
		w.backoff = 0
		if r.confirmed == 0 {
			r.confirmed = now
		}
		s.hold(now, w)
		return
	}
	if e.Reply.Verdict == fleet.NoAnswer {
		s.stats.Doubts++
		s.note(r.job.spec.RequestID, "start unanswered", "worker", w.info.ID, "task", r.key.Task, "attempt", r.key.Attempt, "err", e.Reply.Err)
		r.doubt = now
		s.look(now, w)
		return
	}
	s.rejected(now, w, r, e.Reply.Verdict)
}

// rejected takes back a run that a worker has refused to start.
func (s *State) rejected(now time.Duration, w *worker, r *run, v fleet.Verdict) {
	s.note(r.job.spec.RequestID, "start rejected", "worker", w.info.ID, "task", r.key.Task, "attempt", r.key.Attempt, "verdict", v)
	switch v {
	case fleet.Fenced:
		defer s.fenced(w)
	case fleet.Superseded:
		r.job.attempts[r.index] += attemptJump
	case fleet.NoRoom, fleet.Unhealthy, fleet.OtherIncarnation, fleet.NoTicket:
		w.block(now)
	case fleet.Invalid:
		r.job.failures[r.index] = r.job.route.MaxAttempts
	}
	r.job.begun-- // the start had no effect
	s.over(now, w, r, fleet.EndUnknown)
}

// stopped takes the answer to a stop.
func (s *State) stopped(now time.Duration, e Stopped) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Reply.Verdict == fleet.Fenced {
		s.fenced(w)
		return
	}
	if e.Reply.Verdict != fleet.Accepted {
		return // sent again by the next tick
	}
	w.observe(now, e.Reply.Clock)
	if r := w.runs[e.Run]; r != nil {
		r.stop.acked = now
		if r.doubt != 0 && r.confirmed == 0 {
			s.look(now, w)
		}
		return
	}
	if f := w.foreign[e.Run]; f != nil {
		f.stop.acked = now
	}
}
