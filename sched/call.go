package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// minOrderTimeout and minHoldTimeout are the shortest times after which a start or a stop, or a
	// hold beyond the wait that it asks for, counts as unanswered. Workers answer within a few ms.
	minOrderTimeout = 80 * time.Millisecond
	minHoldTimeout  = 100 * time.Millisecond
	// maxCallTimeout is the longest such time. With holdWait it leaves time for another hold within
	// a lease.
	maxCallTimeout = 350 * time.Millisecond
	// MaxReplyAge is the time after which the answer to a call is of no use, beyond the wait that a
	// hold asks for. It is below minRestartTime, so that an answer arrives before another process of the
	// worker can have answered.
	MaxReplyAge = 900 * time.Millisecond
	// callMargin covers the delay with which a call is ended at its limit.
	callMargin = 50 * time.Millisecond
)

// orderTimeout returns how long to wait for the answer to a start or a stop. The estimate over all
// calls covers what slows all of them, such as the link of this host; that of the worker covers what
// slows this one.
func (s *State) orderTimeout(w *worker) time.Duration {
	return max(s.calls.Timeout(minOrderTimeout, maxCallTimeout), w.calls.Timeout(minOrderTimeout, maxCallTimeout))
}

// orderLimits returns the limits of a stop.
func (s *State) orderLimits(now time.Duration, w *worker) CallLimits {
	return CallLimits{Decided: now, Timeout: s.orderTimeout(w), Limit: MaxReplyAge}
}

// startLimits returns the limits of a start.
func (s *State) startLimits(now time.Duration, w *worker) CallLimits {
	limit := min(MaxReplyAge, w.leaseCallLimit(now))
	return CallLimits{Decided: now, Timeout: min(s.orderTimeout(w), limit), Limit: limit}
}

// setHoldLimits sets the limits of a hold. It shortens the wait that the hold asks for if there is not
// enough time for it.
func (s *State) setHoldLimits(now time.Duration, w *worker, h *HoldWorker) {
	timeout := max(minHoldTimeout, s.orderTimeout(w))
	wait := time.Duration(h.Order.WaitMillis) * time.Millisecond
	limit := wait + MaxReplyAge
	if h.Order.LeaseEnd != 0 {
		limit = min(limit, w.leaseCallLimit(now))
		wait = max(0, min(wait, limit-timeout))
		h.Order.WaitMillis = int(wait.Milliseconds())
	}
	h.CallLimits = CallLimits{Decided: now, Timeout: min(wait+timeout, limit), Limit: limit}
}

// leaseCallLimit returns how long a call that grants a lease may be under way. The lease is reckoned on
// the clock of the process that was last heard. The call must not reach a later process of the worker,
// whose clock began anew and which would take the lease for a longer one.
func (w *worker) leaseCallLimit(now time.Duration) time.Duration {
	return minRestartTime - callMargin - (now - w.aliveAt)
}

// clockStale reports whether the process that the last reading of the worker's clock came from was heard
// too long ago for calls that grant a lease.
func (w *worker) clockStale(now time.Duration) bool { return w.leaseCallLimit(now) < minOrderTimeout }

// recordCall adds the time of an answered call to the estimates. wait is what the worker was asked to
// wait; an answer that came earlier tells nothing. Answers older than MaxReplyAge have waited in this
// process, for example while it was suspended.
func (s *State) recordCall(now time.Duration, w *worker, sent, wait time.Duration, v fleet.Verdict) {
	took := now - sent - wait
	if v == fleet.NoAnswer || took < 0 || took > MaxReplyAge {
		return
	}
	s.calls.Observe(took)
	w.calls.Observe(took)
}

// recordClockOf records the reading of a worker's clock in the answer to a call, unless the answer is so
// old that the worker may have another process by now, whose clock began anew.
func (s *State) recordClockOf(now time.Duration, w *worker, sent, wait time.Duration, clock int64) {
	if now-sent-wait <= MaxReplyAge && w.recordClock(now, sent, s.timing.MaxLease, clock) {
		w.aliveAt = max(w.aliveAt, sent)
	}
}

// CallTimeout returns the time after which a call to a worker without a history of its own counts as
// unanswered, for metrics.
func (s *State) CallTimeout() time.Duration { return s.calls.Timeout(minOrderTimeout, maxCallTimeout) }
