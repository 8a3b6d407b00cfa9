// Package core is the reducer of a daemon process. It routes every event to the state
// machine that owns the state concerned and returns the effects as data. It does no I/O
// and reads no clock, so the fuzzers drive the same code that runs in production.
package core

import (
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/ticket"
)

// Event is a dispatch.Event, a forward.Event, a member.Event or an event of this package.
type Event any

// Effect is a dispatch.Effect, a forward.Effect, a member.Effect or an effect of this
// package.
type Effect any

// Tick lets everything that is due take effect.
type Tick struct{}

// Options configures a State.
type Options struct {
	Host        string
	Incarnation ticket.Incarnation
	Zone        string
	Seed        uint64
	Member      member.Options // host, zone, incarnation, seed and schema are taken from above
	// ConfigSchema is the newest schema version of configuration that this process applies.
	// 0 means config.Schema.
	ConfigSchema int
}

// State is the state of a daemon process. It is not safe for concurrent use.
type State struct {
	Dispatch *dispatch.State
	Forward  *forward.State
	Config   *config.Fold
	Member   *member.State
	source   ConfigSource
	// snapshotSeen is when the newest snapshot in the log was read.
	snapshotSeen time.Duration
	claims       claims
	// incarnation is the one that mints this process's tickets.
	incarnation ticket.Incarnation
	effects     []Effect
}

// New returns the state of a new process.
func New(opts Options) *State {
	if opts.ConfigSchema == 0 {
		opts.ConfigSchema = config.Schema
	}
	return &State{
		Dispatch: dispatch.New(dispatch.Options{Host: opts.Host, Incarnation: opts.Incarnation, Zone: opts.Zone, Seed: opts.Seed}),
		Forward:  forward.New(),
		Config:   config.NewFoldKnowing(opts.ConfigSchema),
		Member:   newMember(opts),
		claims:   newClaims(),

		incarnation: opts.Incarnation,
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
		s.ownTicket(now, ev)
	case forward.Event:
		s.forward(now, ev)
	case member.Event:
		s.member(now, ev)
	case configEvent:
		s.configEvent(now, ev)
	case claimEvent:
		s.claimEvent(now, ev)
	case Tick:
		s.dispatch(now, dispatch.Tick{})
		s.forward(now, forward.Tick{})
		s.member(now, member.Tick{})
	}
	s.keysTick(now)
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
	if len(s.claims.timers) > 0 {
		at = min(at, s.claims.timers[0].at)
	}
	return at, true
}

func (s *State) dispatch(now time.Duration, ev dispatch.Event) {
	for _, e := range s.Dispatch.Apply(now, ev) {
		if r, ok := e.(dispatch.ReplyTo); ok {
			delete(s.claims.waiters, r.Waiter)
		}
		s.effects = append(s.effects, e)
	}
}

func (s *State) forward(now time.Duration, ev forward.Event) {
	for _, e := range s.Forward.Apply(now, ev) {
		if r, ok := e.(forward.ReplyTo); ok {
			e = s.keyReply(r)
		}
		s.effects = append(s.effects, e)
	}
}
