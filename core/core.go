// Package core is the reducer of a daemon process. It routes every event to the state
// machine that owns the state concerned and returns the effects as data. It does no I/O
// and reads no clock, so the fuzzers drive the same code that runs in production.
package core

import (
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/ticket"
)

// Event is a dispatch.Event, a forward.Event or an event of this package.
type Event any

// Effect is a dispatch.Effect, a forward.Effect or an effect of this package.
type Effect any

// Tick lets everything that is due take effect.
type Tick struct{}

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
	return &State{
		Dispatch: dispatch.New(dispatch.Options(opts)),
		Forward:  forward.New(),
		Config:   config.NewFold(),
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
		s.ownTicket(now, ev)
	case forward.Event:
		s.forward(now, ev)
	case configEvent:
		s.configEvent(now, ev)
	case claimEvent:
		s.claimEvent(now, ev)
	case Tick:
		s.dispatch(now, dispatch.Tick{})
		s.forward(now, forward.Tick{})
	}
	s.keysTick(now)
	return s.effects
}

// NextWake returns when a Tick is due next.
func (s *State) NextWake() (time.Duration, bool) {
	at, ok := s.Dispatch.NextWake()
	if other, ok2 := s.Forward.NextWake(); ok2 && (!ok || other < at) {
		at, ok = other, true
	}
	if len(s.claims.timers) > 0 && (!ok || s.claims.timers[0].at < at) {
		return s.claims.timers[0].at, true
	}
	return at, ok
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
		s.effects = append(s.effects, e)
	}
}
