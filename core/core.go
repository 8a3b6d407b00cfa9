// Package core is the reducer of a daemon process. It routes every event to the state
// machine that owns the state concerned and returns the effects as data. It does no I/O
// and reads no clock, so the fuzzers drive the same code that runs in production.
package core

import (
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/limit"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// Event is a dispatch.Event, a forward.Event or an event of this package.
type Event any

// Effect is a dispatch.Effect, a forward.Effect or an effect of this package.
type Effect any

// ConfigRecord is one record of the config stream.
type ConfigRecord struct {
	Offset uint64
	Data   []byte
}

// Tick lets everything that is due take effect.
type Tick struct{}

// ConfigInForce says that a new revision took effect.
type ConfigInForce struct {
	Revision uint64
	Config   *config.Config
}

// ConfigRejected says that a record of the stream was not accepted.
type ConfigRejected struct{ Outcome config.Outcome }

// Options configures a State.
type Options struct {
	Host        string
	Incarnation ticket.Incarnation
	Zone        string
	Seed        uint64
}

// State is the state of a daemon process. It is not safe for concurrent use.
type State struct {
	Dispatch *dispatch.State
	Forward  *forward.State
	Config   *config.Fold
	effects  []Effect
}

// New returns the state of a new process.
func New(opts Options) *State {
	return &State{
		Dispatch: dispatch.New(dispatch.Options(opts)),
		Forward:  forward.New(),
		Config:   config.NewFold(),
	}
}

// Apply applies an event at the given time since process start and returns the effects,
// valid until the next call.
func (s *State) Apply(now time.Duration, ev Event) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case dispatch.Event:
		s.dispatch(now, ev)
	case forward.Event:
		s.forward(now, ev)
	case ConfigRecord:
		s.configRecord(now, ev)
	case Tick:
		s.dispatch(now, dispatch.Tick{})
		s.forward(now, forward.Tick{})
	}
	return s.effects
}

// NextWake returns when a Tick is due next.
func (s *State) NextWake() (time.Duration, bool) {
	at, ok := s.Dispatch.NextWake()
	if other, ok2 := s.Forward.NextWake(); ok2 && (!ok || other < at) {
		return other, true
	}
	return at, ok
}

func (s *State) dispatch(now time.Duration, ev dispatch.Event) {
	for _, e := range s.Dispatch.Apply(now, ev) {
		s.effects = append(s.effects, e)
	}
}

func (s *State) forward(now time.Duration, ev forward.Event) {
	for _, e := range s.Forward.Apply(now, ev) {
		s.effects = append(s.effects, e)
	}
}

func (s *State) configRecord(now time.Duration, ev ConfigRecord) {
	o := s.Config.Apply(ev.Offset, ev.Data)
	if !o.Accepted {
		s.effects = append(s.effects, ConfigRejected{Outcome: o})
		return
	}
	s.effects = append(s.effects, ConfigInForce{Revision: o.Revision, Config: s.Config.Current()})
	s.dispatch(now, dispatch.PolicyChanged{Policy: dispatchPolicy(s.Config.Current())})
}

// deadlineUse is the part of its deadline that a job may be expected to take: all of it
// if messages don't matter, and half of it if they matter most.
func deadlineUse(messageWeight float64) float64 { return 1 - messageWeight/2 }

// leastWindow keeps the window above 0, which means no window.
const leastWindow = 0.01

// jobWindow is the share of a job's tasks that may be in flight at a time: all of them if
// messages don't matter. The baselines have no window.
func jobWindow(p config.Policy) float64 {
	if name := place.Placement(p.Placement); name != "" && name != place.Adaptive {
		return 0
	}
	return max(1-p.Weight(), leastWindow)
}

// dispatchPolicy translates configuration into the dispatcher's policy.
func dispatchPolicy(c *config.Config) *dispatch.Policy {
	p := &dispatch.Policy{
		Kinds:       make(map[string]dispatch.Kind, len(c.Kinds)),
		Teams:       make(map[string]dispatch.Team, len(c.Teams)),
		MaxTasks:    c.Policy.MaxTasks,
		MaxAttempts: c.Policy.MaxAttempts,
		RetryDelay:  c.Policy.RetryDelay,
		Place: place.Policy{
			Placement:  place.Placement(c.Policy.Placement),
			MaxEjected: c.Policy.MaxEjected,
		},
		Limit: limit.Policy{
			MaxWait:     c.Policy.MaxWait,
			DeadlineUse: deadlineUse(c.Policy.Weight()),
			RetryShare:  c.Policy.RetryShare,
		},
		JobWindow: jobWindow(c.Policy),
	}
	for name, k := range c.Kinds {
		p.Kinds[name] = dispatch.Kind{
			Group:           k.Group,
			Idempotent:      k.Idempotent,
			DefaultDeadline: k.DefaultDeadline,
			MaxTasks:        k.MaxTasks,
		}
	}
	for name, t := range c.Teams {
		p.Teams[name] = dispatch.Team{Weight: t.Weight, MaxTasks: t.MaxTasks}
	}
	return p
}
