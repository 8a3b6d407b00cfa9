package platformsim

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Service names a part of the platform that fails on its own.
type Service string

// The services of the platform.
const (
	ServiceLog     Service = "log"
	ServiceHosts   Service = "hosts"
	ServiceWorkers Service = "workers"
)

var services = []Service{ServiceLog, ServiceHosts, ServiceWorkers}

// Outage tells how a service that is down behaves.
type Outage string

// The kinds of outage.
const (
	OutageOff         Outage = "off"
	OutageHang        Outage = "hang" // requests wait; their connections close at its end
	OutageUnavailable Outage = "503"  // requests are answered with status 503
)

var outages = []Outage{OutageOff, OutageHang, OutageUnavailable}

// Faults are the faults of one service.
type Faults struct {
	Outage     Outage  `json:"outage"`
	DelayMS    int     `json:"delay_ms"`    // added before each request is handled
	LostAnswer float64 `json:"lost_answer"` // share of POST requests that act without an answer
}

// FaultsRequest changes faults. Absent fields leave a fault as it is.
type FaultsRequest struct {
	Service    Service  `json:"service,omitempty"` // empty for all
	Outage     *Outage  `json:"outage,omitempty"`
	DelayMS    *int     `json:"delay_ms,omitempty"`
	LostAnswer *float64 `json:"lost_answer,omitempty"`
	Retention  *int     `json:"retention,omitempty"`   // records kept of each stream
	HostLagMS  *int     `json:"host_lag_ms,omitempty"` // age of the served host list
}

func (f FaultsRequest) check() error {
	switch {
	case f.Service != "" && !slices.Contains(services, f.Service):
		return errors.Newf("unknown service %q", f.Service)
	case f.Outage != nil && !slices.Contains(outages, *f.Outage):
		return errors.Newf("unknown outage %q", *f.Outage)
	case f.DelayMS != nil && *f.DelayMS < 0:
		return errors.Newf("delay_ms %d is negative", *f.DelayMS)
	case f.LostAnswer != nil && (*f.LostAnswer < 0 || *f.LostAnswer > 1):
		return errors.Newf("lost_answer %v is not between 0 and 1", *f.LostAnswer)
	case f.Retention != nil && *f.Retention < 0:
		return errors.Newf("retention %d is negative", *f.Retention)
	}
	return nil
}

// faultSwitch holds the faults of one service.
type faultSwitch struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed when the outage changes
	random  *rand.Rand
}

func newFaultSwitch(seed, stream uint64) *faultSwitch {
	return &faultSwitch{
		faults:  Faults{Outage: OutageOff},
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(seed, stream)),
	}
}

// set changes the faults and reports whether an outage ended.
func (s *faultSwitch) set(f FaultsRequest) (ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.DelayMS != nil {
		s.faults.DelayMS = *f.DelayMS
	}
	if f.LostAnswer != nil {
		s.faults.LostAnswer = *f.LostAnswer
	}
	if f.Outage == nil || *f.Outage == s.faults.Outage {
		return false
	}
	s.faults.Outage = *f.Outage
	close(s.changed)
	s.changed = make(chan struct{})
	return s.faults.Outage == OutageOff
}

func (s *faultSwitch) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// outage returns the present outage and a channel that is closed when it changes.
func (s *faultSwitch) outage() (Outage, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage, s.changed
}

// loses draws whether the next answer is lost.
func (s *faultSwitch) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LostAnswer > 0 && s.random.Float64() < s.faults.LostAnswer
}

func (s *faultSwitch) delay() time.Duration {
	return time.Duration(s.get().DelayMS) * time.Millisecond
}
