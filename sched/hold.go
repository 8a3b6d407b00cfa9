package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// sendHold sends a worker a hold if one is due and none is open. The hold extends the lease only if
// runs of this host may be running there. A worker without runs gets a hold only if there are ends
// to acknowledge or the hold is urgent.
func (s *State) sendHold(now time.Duration, w *worker) {
	if w.holdOpen || w.phase == phaseNone || now < w.nextHold {
		return
	}
	withheld := s.withholdsLease(now, w)
	w.holdGrant = leaseGrant{}
	order := fleet.HoldOrder{Fence: w.fence, AckedNumber: w.processedEnd}
	switch {
	case w.phase == phaseTaking || w.missedHolds > 0 && len(w.runs) == 0:
		// Only lists the runs and extends no lease: no run of this host needs one.
	case len(w.runs) > 0:
		if w.missedHolds == 0 && !w.holdUrgent {
			order.WaitMillis = int(holdWait.Milliseconds())
		}
		if !withheld && !w.clockStale(now) {
			lease := s.leaseFor(now, w, nil)
			order.LeaseEnd = w.leaseEndOnWorkerClock(now, lease)
			w.holdGrant = w.raiseLeaseEndBound(now, lease)
		}
	case w.processedEnd == w.acknowledgedEnd && !w.holdUrgent:
		return
	}
	w.holdUrgent = false
	if len(w.foreignRuns) > 0 || withheld && order.WaitMillis > 0 {
		order.WaitMillis = int(stopRetryInterval.Milliseconds()) // the stops are answered by then
	}
	w.holdSeq++
	w.holdOpen = true
	w.openHoldAck = order.AckedNumber
	hold := HoldWorker{Worker: w.info, Seq: w.holdSeq, Order: order}
	s.setHoldLimits(now, w, &hold)
	s.emit(hold)
}

// sendUrgentHold sends a worker a hold that it answers at once. The answer to a hold that is still
// open is ignored; the new answer contains all that the ignored one would have reported.
func (s *State) sendUrgentHold(now time.Duration, w *worker) {
	w.holdOpen = false
	w.holdUrgent = true
	w.nextHold = now
	s.sendHold(now, w)
}

// handleHeld processes a worker's answer to a hold.
func (s *State) handleHeld(now time.Duration, e HoldReply) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	s.recordCall(now, w, e.Sent, e.Wait, e.Reply.Verdict)
	if !w.holdOpen || e.Seq != w.holdSeq {
		return
	}
	w.holdOpen = false
	if w.phase == phaseNone {
		return
	}
	switch e.Reply.Verdict {
	case fleet.Accepted:
		s.applyRunLists(now, w, e)
	case fleet.Fenced:
		s.handleFenced(w, e.Fence)
		return
	default:
		s.recordMissedHold(now, w, e.Reply.Reply)
	}
	s.sendHold(now, w)
}

// recordMissedHold counts a hold without a usable answer and schedules the next one: at once after
// the first miss, and after probeInterval from the second on.
func (s *State) recordMissedHold(now time.Duration, w *worker, r fleet.Reply) {
	if w.missedHolds == 0 {
		s.logEvent("", "worker does not answer", "worker", w.info.ID, "verdict", r.Verdict, "runs", len(w.runs), "err", r.Err)
	}
	w.missedHolds++
	if r.Refused {
		w.revoke(w.holdGrant)
		s.recordRefusal(now, w)
	}
	s.settleByFailure(w, r)
	w.nextHold = now
	if w.missedHolds > 1 {
		w.nextHold = now + probeInterval
	}
}

// applyRunLists processes the lists of a worker's running and finished runs.
func (s *State) applyRunLists(now time.Duration, w *worker, e HoldReply) {
	if w.missedHolds > 0 {
		s.logEvent("", "worker answers again", "worker", w.info.ID, "misses", w.missedHolds)
		w.missedHolds = 0
	}
	s.settleByAnswer(w, e.Reply.ProcessStart)
	s.detectRestart(now, w, e.Reply.ProcessStart)
	w.lossReported = false
	s.hearProcess(w, e.Reply.ProcessStart)
	s.recordClockOf(now, w, e.Sent, e.Wait, e.Reply.ClockMillis)
	w.nextHold = now
	s.needsPlacement = true
	w.acknowledgedEnd = max(w.acknowledgedEnd, w.openHoldAck)
	for _, f := range e.Reply.Finished {
		if f.Number <= w.processedEnd {
			continue
		}
		w.processedEnd = f.Number
		s.endListedRun(now, w, f)
	}
	running := s.updateRunning(now, w, e.Reply.Running)
	s.markUnlistedRuns(now, w, e, running)
	if !w.cleared {
		s.recordTakenList(now, w)
	}
	s.endOverRuns(now, w)
	if len(w.runs) == 0 && len(w.foreignRuns) == 0 {
		w.nextHold = now + maxAckDelay
		if w.entryOutdated() {
			w.nextHold, w.holdUrgent = now+entryProbeInterval, true
		}
		s.releaseIfIdle(w)
	}
}

// detectRestart handles a new incarnation (process) of a worker. Runs that the earlier incarnation
// has listed are over. For the others it is unknown which incarnation received their start, so they
// are stopped unless the new one lists them.
func (s *State) detectRestart(now time.Duration, w *worker, born int64) {
	if born == 0 || born == w.incarnation {
		return
	}
	if w.incarnation != 0 {
		s.logEvent("", "worker restarted", "worker", w.info.ID, "born", born, "runs", len(w.runs))
		s.recordRestart(now, w)
		w.processedEnd, w.acknowledgedEnd = 0, 0
		w.lastClock, w.lastClockAt, w.aliveAt = 0, 0, 0
		s.clearForeignRuns(w)
		for _, r := range sortedRuns(w) {
			if r.listedIncarnation == w.incarnation {
				s.endRun(now, w, r, ending{how: fleet.EndUnknown, basis: EndReplaced, over: now})
				continue
			}
			r.leaseUntil = 0
			r.stop.acceptedAt = 0
			if r.confirmedAt == 0 && r.unansweredAt == 0 {
				r.unansweredAt = now
			}
		}
	}
	w.incarnation = born
}

// endListedRun ends a run that a worker has listed as finished.
func (s *State) endListedRun(now time.Duration, w *worker, f fleet.FinishedRun) {
	s.removeForeignRun(w, f.Run)
	r := w.runs[f.Run]
	if r == nil {
		return
	}
	s.endRun(now, w, r, ending{how: f.End, basis: EndListed, over: now})
}

// updateRunning processes a worker's list of running runs and returns their keys. It stops foreign
// runs.
func (s *State) updateRunning(now time.Duration, w *worker, list []fleet.ActiveRun) map[fleet.RunKey]bool {
	running := make(map[fleet.RunKey]bool, len(list))
	for _, row := range list {
		running[row.Run] = true
		if r := w.runs[row.Run]; r != nil {
			r.overAt = 0
			r.recordProgress(now, row.Percent)
			r.listedIncarnation = w.incarnation
			continue
		}
		if f := w.foreignRuns[row.Run]; f != nil {
			f.overAt = 0
			continue
		}
		s.stats.Foreign++
		s.logEvent("", "stopping a run of another host", "worker", w.info.ID, "task", row.Run.Task, "attempt", row.Run.Attempt)
		f := &foreignRun{stop: stopState{wantedSince: now}}
		s.addForeignRun(w, row.Run, f)
		s.raiseForFormerCommander(now, w)
		s.sendStop(now, w, row.Run, &f.stop)
	}
	return running
}

// recordProgress records that a worker has listed the run as running, with its progress in percent.
func (r *run) recordProgress(now time.Duration, percent float64) {
	if r.confirmedAt == 0 {
		r.confirmedAt = now
	}
	if percent > r.percent || r.percentRoseAt == 0 {
		r.percent = percent
		r.percentRoseAt = now
	}
}
