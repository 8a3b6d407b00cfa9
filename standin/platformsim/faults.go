package platformsim

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Service identifies a part of the platform that can fail independently of the others.
type Service string

// The services of the platform.
const (
	ServiceLog     Service = "log"
	ServiceHosts   Service = "hosts"
	ServiceWorkers Service = "workers"
)

var services = []Service{ServiceLog, ServiceHosts, ServiceWorkers}

// Outage says whether a service is down and how it then behaves.
type Outage string

// The kinds of outage.
const (
	OutageOff         Outage = "off"
	OutageHang        Outage = "hang" // requests get no answer; their connections are closed when the outage changes
	OutageUnavailable Outage = "503"  // requests are answered with status 503
)

var outages = []Outage{OutageOff, OutageHang, OutageUnavailable}

// Faults holds the injected faults of one service.
type Faults struct {
	Outage     Outage  `json:"outage"`
	DelayMS    int     `json:"delay_ms"`    // delay before each request is handled, in milliseconds
	LostAnswer float64 `json:"lost_answer"` // probability from 0 to 1 that a POST request takes effect but gets no answer
}

// FaultsRequest changes injected faults and limits. Fields that are absent change nothing.
type FaultsRequest struct {
	Service    Service  `json:"service,omitempty"` // empty for all services
	Outage     *Outage  `json:"outage,omitempty"`
	DelayMS    *int     `json:"delay_ms,omitempty"`
	LostAnswer *float64 `json:"lost_answer,omitempty"`
	Retention  *int     `json:"retention,omitempty"`   // maximum number of records kept in each stream
	HostLagMS  *int     `json:"host_lag_ms,omitempty"` // delay of the served host list, in milliseconds
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

// faultState holds the injected faults of one service. It is safe for concurrent use.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed when the outage changes
	random  *rand.Rand
}

func newFaultState(seed, randomStream uint64) *faultState {
	return &faultState{
		faults:  Faults{Outage: OutageOff},
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(seed, randomStream)),
	}
}

// apply applies the request and reports whether it ended an outage.
func (s *faultState) apply(f FaultsRequest) (ended bool) {
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

func (s *faultState) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// outage returns the current outage and a channel that is closed when the outage changes.
func (s *faultState) outage() (Outage, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage, s.changed
}

// drawLostAnswer decides at random whether the next answer is lost.
func (s *faultState) drawLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LostAnswer > 0 && s.random.Float64() < s.faults.LostAnswer
}

func (s *faultState) delay() time.Duration {
	return time.Duration(s.current().DelayMS) * time.Millisecond
}
