package minionsim

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault names a fault of a minion.
type Fault string

// The faults of a minion.
const (
	FaultNone      Fault = "none"
	FaultFailFast  Fault = "fail_fast" // every task starts and fails at once
	FaultCrash     Fault = "crash"     // closes the connection in the middle of the task
	FaultBusy      Fault = "busy"      // refuses every task as busy
	FaultSilent    Fault = "silent"    // open connections go silent permanently, new ones work
	FaultLate      Fault = "late"      // answers DelayMS after the task has ended
	FaultTruncated Fault = "truncated" // well-formed answer with half of the result
	FaultCutShort  Fault = "cut_short" // closes the connection halfway through the result
	FaultCrossed   Fault = "crossed"   // answers with another task's header
)

var faults = []Fault{FaultNone, FaultFailFast, FaultCrash, FaultBusy, FaultSilent,
	FaultLate, FaultTruncated, FaultCutShort, FaultCrossed}

// FaultRequest switches the fault of a minion. FaultSilent acts once, on the connections
// that are open; the other faults last until the next request.
type FaultRequest struct {
	Minion      string  `json:"minion"` // identifier; "*" for all
	Fault       Fault   `json:"fault"`
	Probability float64 `json:"probability,omitempty"` // share of tasks affected; 0 means all
	DelayMS     int     `json:"delay_ms,omitempty"`    // of FaultLate
}

func (f FaultRequest) check() error {
	if !slices.Contains(faults, f.Fault) {
		return errors.Newf("unknown fault %q", f.Fault)
	}
	if f.Probability < 0 || f.Probability > 1 {
		return errors.Newf("probability %v is not between 0 and 1", f.Probability)
	}
	if f.DelayMS < 0 {
		return errors.Newf("delay_ms %d is negative", f.DelayMS)
	}
	return nil
}

// faultSwitch holds the active fault of one minion.
type faultSwitch struct {
	mu     sync.Mutex
	active FaultRequest
	random *rand.Rand
}

func newFaultSwitch(seed, stream uint64) *faultSwitch {
	return &faultSwitch{
		active: FaultRequest{Fault: FaultNone},
		random: rand.New(rand.NewPCG(seed, stream)),
	}
}

func (s *faultSwitch) set(f FaultRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = f
}

func (s *faultSwitch) get() FaultRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// draw returns the fault that affects the next task, and the delay of FaultLate.
func (s *faultSwitch) draw() (Fault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.active.Probability; p > 0 && s.random.Float64() >= p {
		return FaultNone, 0
	}
	return s.active.Fault, time.Duration(s.active.DelayMS) * time.Millisecond
}
