// Package core joins the state machines of a daemon process into one: jobs of this host (package
// dispatch), requests forwarded to other hosts (forward), membership (member), configuration
// (config) and idempotency keys (claim). It routes every event to the state machine concerned,
// passes on what one of them tells another, and returns the other effects as data. Package daemon
// does the I/O that the effects ask for. This package does no I/O and reads no clock, so fuzz
// tests run the same code as production.
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

// Tick says that time has passed: the state machines handle all timers that are due.
type Tick struct{}

// Options configures a State.
type Options struct {
	Host        string
	Incarnation ticket.Incarnation
	Zone        string
	Seed        uint64
	// Member: Host, Zone, Incarnation, Seed and ConfigSchema are overwritten with the fields here.
	Member member.Options
	// ConfigSchema is the newest schema version of the configuration that this process applies;
	// 0 means config.Schema.
	ConfigSchema int
}

// State is the state of a daemon process. It is not safe for concurrent use.
type State struct {
	Dispatch     *dispatch.State
	Forward      *forward.State
	Config       *config.Fold
	Member       *member.State
	configSource ConfigSource
	// lastSnapshotRead is when the newest snapshot in the log was read, since process start.
	lastSnapshotRead time.Duration
	claims           claims
	// incarnation identifies this process in the tickets that it mints.
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
		Config:   config.NewFoldForSchema(opts.ConfigSchema),
		Member:   newMember(opts),
		claims:   newClaims(),

		incarnation: opts.Incarnation,
	}
}

// Apply handles an event at the time now, measured since process start, and returns its effects.
// The slice is valid until the next call.
func (s *State) Apply(now time.Duration, ev Event) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case dispatch.Event:
		// Membership marks a leaving endpoint first, so that the dispatcher doesn't offer the task
		// that it refused to the same endpoint again.
		s.reportToMember(now, ev)
		s.handleTicketEvent(now, ev)
	case forward.Event:
		s.applyForward(now, ev)
	case member.Event:
		s.applyMember(now, ev)
	case configEvent:
		s.handleConfigEvent(now, ev)
	case claimEvent:
		s.handleClaimEvent(now, ev)
	case Tick:
		s.applyDispatch(now, dispatch.Tick{})
		s.applyForward(now, forward.Tick{})
		s.applyMember(now, member.Tick{})
	}
	s.expireKeyedJobs(now)
	return s.effects
}

// NextWake returns the time since process start at which the next Tick is due.
func (s *State) NextWake() (time.Duration, bool) {
	due := s.Member.NextWake()
	for _, next := range []func() (time.Duration, bool){s.Dispatch.NextWake, s.Forward.NextWake} {
		if other, ok := next(); ok {
			due = min(due, other)
		}
	}
	if len(s.claims.timers) > 0 {
		due = min(due, s.claims.timers[0].due)
	}
	return due, true
}

// applyDispatch passes an event to the dispatcher and collects its effects.
func (s *State) applyDispatch(now time.Duration, ev dispatch.Event) {
	for _, e := range s.Dispatch.Apply(now, ev) {
		if r, ok := e.(dispatch.ReplyTo); ok {
			delete(s.claims.waiters, r.Waiter)
		}
		s.effects = append(s.effects, e)
	}
}

// applyForward passes an event to the state machine for forwarded requests and collects its effects.
func (s *State) applyForward(now time.Duration, ev forward.Event) {
	for _, e := range s.Forward.Apply(now, ev) {
		if r, ok := e.(forward.ReplyTo); ok {
			e = s.adaptForwardedReply(r)
		}
		s.effects = append(s.effects, e)
	}
}
