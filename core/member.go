package core

import (
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/member"
)

// newMember returns the membership state machine of this process.
func newMember(opts Options) *member.State {
	m := opts.Member
	m.Host, m.Zone, m.Incarnation, m.Seed = opts.Host, opts.Zone, opts.Incarnation, opts.Seed
	m.ConfigSchema = uint32(opts.ConfigSchema)
	return member.New(m)
}

// applyMember passes an event to the membership state machine. A changed list of endpoints goes
// to the dispatcher; the other effects go to the daemon.
func (s *State) applyMember(now time.Duration, ev member.Event) {
	for _, e := range s.Member.Apply(now, ev) {
		if changed, ok := e.(member.EndpointsChanged); ok {
			s.applyDispatch(now, dispatch.EndpointsChanged{Endpoints: changed.Endpoints, EntryHosts: changed.EntryHosts})
			continue
		}
		s.effects = append(s.effects, e)
	}
}

// reportToMember tells the membership state machine what a dispatcher event says about
// membership: that an endpoint is shutting down, or that this host is.
func (s *State) reportToMember(now time.Duration, ev dispatch.Event) {
	switch ev := ev.(type) {
	case dispatch.AttemptEnded:
		if ev.Leaving {
			s.applyMember(now, member.EndpointLeaving{Endpoint: ev.Endpoint.ID, Identity: ev.Endpoint.Identity})
		}
	case dispatch.DrainStarted:
		s.applyMember(now, member.Leave{})
	}
}
