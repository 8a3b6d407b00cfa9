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
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// Event is a dispatch.Event, a forward.Event, a member.Event or an event of this package.
type Event any

// Effect is a dispatch.Effect, a forward.Effect, a member.Effect or an effect of this
// package.
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
	Member      member.Options // host, zone, incarnation and seed are taken from above
}

// State is the state of a daemon process. It is not safe for concurrent use.
type State struct {
	Dispatch *dispatch.State
	Forward  *forward.State
	Config   *config.Fold
	Member   *member.State
	effects  []Effect
}

// New returns the state of a new process.
func New(opts Options) *State {
	return &State{
		Dispatch: dispatch.New(dispatch.Options{Host: opts.Host, Incarnation: opts.Incarnation, Zone: opts.Zone, Seed: opts.Seed}),
		Forward:  forward.New(),
		Config:   config.NewFold(),
		Member:   newMember(opts),
	}
}

// Apply applies an event at the given time since process start and returns the effects,
// valid until the next call.
func (s *State) Apply(now time.Duration, ev Event) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case dispatch.Event:
		// The endpoint's mark comes first, so that a refused task is not offered to it again.
		s.observe(now, ev)
		s.dispatch(now, ev)
	case forward.Event:
		s.forward(now, ev)
	case member.Event:
		s.member(now, ev)
	case ConfigRecord:
		s.configRecord(now, ev)
	case Tick:
		s.dispatch(now, dispatch.Tick{})
		s.forward(now, forward.Tick{})
		s.member(now, member.Tick{})
	}
	return s.effects
}

// NextWake returns when a Tick is due next.
func (s *State) NextWake() (time.Duration, bool) {
	at := s.Member.NextWake()
	for _, next := range []func() (time.Duration, bool){s.Dispatch.NextWake, s.Forward.NextWake} {
		if other, ok := next(); ok {
			at = min(at, other)
		}
	}
	return at, true
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
	s.member(now, member.ConfigChanged{Revision: o.Revision})
}

// deadlineUse is the part of its deadline that a job may be expected to take: all of it
// if messages don't matter, and half of it if they matter most.
func deadlineUse(messageWeight float64) float64 { return 1 - messageWeight/2 }

// dispatchPolicy translates configuration into the dispatcher's policy.
func dispatchPolicy(c *config.Config) *dispatch.Policy {
	p := &dispatch.Policy{
		Kinds:       make(map[string]dispatch.Kind, len(c.Kinds)),
		Teams:       make(map[string]dispatch.Team, len(c.Teams)),
		MaxTasks:    c.Policy.MaxTasks,
		MaxAttempts: c.Policy.MaxAttempts,
		RetryDelay:  c.Policy.RetryDelay,
		Place: place.Policy{
			Placement:     place.Placement(c.Policy.Placement),
			MessageWeight: c.Policy.Weight(),
			MaxEjected:    c.Policy.MaxEjected,
		},
		Limit: limit.Policy{
			MaxWait:     c.Policy.MaxWait,
			DeadlineUse: deadlineUse(c.Policy.Weight()),
			RetryShare:  c.Policy.RetryShare,
		},
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
