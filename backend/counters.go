package backend

import (
	"sync/atomic"

	"sesameledge.dev/sesameledge/dispatch"
)

// Counters holds totals since New.
type Counters struct {
	// TaskMessages counts task requests of which at least the header may have been sent.
	TaskMessages uint64 `json:"task_messages"`
	// CancelMessages counts cancel requests.
	CancelMessages uint64 `json:"cancel_messages"`
	// ContinueWaits counts task requests sent with Expect: 100-continue, whose body waits for the answer.
	ContinueWaits uint64 `json:"proofs"`
	// Dials counts connection attempts.
	Dials uint64 `json:"dials"`
	// Outcomes counts ended attempts by outcome and reason, such as
	// "not_started/busy". Absent keys are zero.
	Outcomes map[string]uint64 `json:"outcomes"`
}

type outcomeKey struct {
	outcome dispatch.AttemptOutcome
	reason  Reason
}

type counters struct {
	taskMessages   atomic.Uint64
	cancelMessages atomic.Uint64
	continueWaits  atomic.Uint64
	dials          atomic.Uint64
	outcomes       map[outcomeKey]*atomic.Uint64 // all keys are set by newCounters, so reads need no lock
}

func newCounters() *counters {
	c := &counters{outcomes: make(map[outcomeKey]*atomic.Uint64)}
	for outcome := range outcomeNames {
		for _, reason := range allReasons {
			c.outcomes[outcomeKey{outcome, reason}] = new(atomic.Uint64)
		}
	}
	return c
}

func (c *counters) snapshot() Counters {
	out := Counters{
		TaskMessages:   c.taskMessages.Load(),
		CancelMessages: c.cancelMessages.Load(),
		ContinueWaits:  c.continueWaits.Load(),
		Dials:          c.dials.Load(),
		Outcomes:       make(map[string]uint64),
	}
	for key, n := range c.outcomes {
		if v := n.Load(); v > 0 {
			out.Outcomes[outcomeNames[key.outcome]+"/"+string(key.reason)] = v
		}
	}
	return out
}
