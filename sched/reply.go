package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// This file processes the answers to starts and stops.

// stopUnansweredStart stops a run whose start was unanswered and which is missing from a later
// list: the worker may still carry out the start.
func (s *State) stopUnansweredStart(now time.Duration, w *worker, r *run, sent time.Duration) {
	if r.unansweredAt == 0 || r.unansweredAt > sent || r.confirmedAt != 0 || r.stop.wantedSince != 0 {
		return
	}
	r.stop.wantedSince = now
	s.sendStop(now, w, r.key, &r.stop)
}

// handleStarted processes the answer to a start.
func (s *State) handleStarted(now time.Duration, e StartReply) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	s.recordCall(now, w, e.Sent, 0, e.Reply.Verdict)
	s.recordClockOf(now, w, e.Sent, 0, e.Reply.ClockMillis)
	r := w.runs[e.Run]
	if r == nil {
		return
	}
	s.handleStartClosed(w, r)
	if e.Reply.Verdict == fleet.Accepted {
		s.hearOrder(now, w, e.Reply.ProcessStart)
		w.lastBlockTime = 0
		if r.confirmedAt == 0 {
			r.confirmedAt = now
		}
		s.sendHold(now, w)
		return
	}
	if e.Reply.Verdict == fleet.NoAnswer && !e.Reply.Refused {
		if r.confirmedAt != 0 {
			return // a list or the answer itself has come in the meantime
		}
		s.stats.Doubts++
		s.logEvent(r.job.spec.RequestID, "start unanswered", "worker", w.info.ID, "task", r.key.Task, "attempt", r.key.Attempt, "err", e.Reply.Err)
		r.unansweredAt = now
		r.startBroken = e.Reply.Broken
		s.sendUrgentHold(now, w)
		return
	}
	s.handleRejectedStart(now, w, r, e)
}

// handleRejectedStart ends a run that a worker has refused to start, or whose start was not sent.
func (s *State) handleRejectedStart(now time.Duration, w *worker, r *run, e StartReply) {
	v := e.Reply.Verdict
	if e.Reply.Refused {
		w.revoke(r.grant)
		defer s.sendUrgentHold(now, w)
	}
	s.logEvent(r.job.spec.RequestID, "start rejected", "worker", w.info.ID, "task", r.key.Task, "attempt", r.key.Attempt, "verdict", v, "refused", e.Reply.Refused)
	switch v {
	case fleet.Fenced:
		defer s.handleFenced(w, e.Fence)
	case fleet.Superseded:
		r.job.attempts[r.index] += supersededAttemptStep
	case fleet.NoAnswer, fleet.InsufficientCapacity, fleet.Unhealthy, fleet.OtherIncarnation, fleet.NoTicket:
		w.block(now)
	case fleet.Invalid:
		r.job.failures[r.index] = r.job.route.MaxAttempts
	}
	r.job.unrejectedStarts-- // the worker has not started the task
	s.endRun(now, w, r, ending{how: fleet.EndUnknown, basis: EndRejected, over: now})
}

// handleStopped processes the answer to a stop.
func (s *State) handleStopped(now time.Duration, e StopReply) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	s.recordCall(now, w, e.Sent, 0, e.Reply.Verdict)
	if w.closeStopOf(e.Run) {
		defer s.sendDueStops(now, w)
	}
	if e.Reply.Verdict == fleet.Fenced {
		s.handleFenced(w, e.Fence)
		return
	}
	if e.Reply.Verdict != fleet.Accepted {
		return // a later Tick sends it again
	}
	s.recordClockOf(now, w, e.Sent, 0, e.Reply.ClockMillis)
	s.hearOrder(now, w, e.Reply.ProcessStart)
	if r := w.runs[e.Run]; r != nil {
		r.stop.acceptedAt = now
		if r.unansweredAt != 0 && r.confirmedAt == 0 {
			s.sendUrgentHold(now, w)
		}
		return
	}
	if f := w.foreignRuns[e.Run]; f != nil {
		f.stop.acceptedAt = now
	}
}
