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
	// leaseDuration.
	maxCallTimeout = 350 * time.Millisecond
	// MaxReplyAge is the time after which the answer to a call is of no use, beyond the wait that a
	// hold asks for. It is below minRestartTime, so that an answer never outlives the process that gave
	// it by so much that another process of the worker has given answers since.
	MaxReplyAge = 900 * time.Millisecond
)

// orderTimeout returns how long to wait for the answer to a start or a stop. The estimate over all
// calls covers what slows all of them, such as the link of this host; that of the worker covers what
// slows this one.
func (s *State) orderTimeout(w *worker) time.Duration {
	return max(s.calls.Timeout(minOrderTimeout, maxCallTimeout), w.calls.Timeout(minOrderTimeout, maxCallTimeout))
}

// holdTimeout returns how long to wait for the answer to a hold, beyond the wait that it asks for.
func (s *State) holdTimeout(w *worker) time.Duration { return max(minHoldTimeout, s.orderTimeout(w)) }

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
func (w *worker) recordClockOf(now, sent, wait time.Duration, clock int64) {
	if now-sent-wait <= MaxReplyAge {
		w.recordClock(now, clock)
	}
}

// CallTimeout returns the time after which a call to a worker without a history of its own counts as
// unanswered, for metrics.
func (s *State) CallTimeout() time.Duration { return s.calls.Timeout(minOrderTimeout, maxCallTimeout) }
