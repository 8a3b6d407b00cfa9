package core

import (
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/member"
)

// newMember returns the membership reducer of this process.
func newMember(opts Options) *member.State {
	m := opts.Member
	m.Host, m.Zone, m.Incarnation, m.Seed = opts.Host, opts.Zone, opts.Incarnation, opts.Seed
	m.ConfigSchema = uint32(opts.ConfigSchema)
	return member.New(m)
}

// member applies a membership event. The list of endpoints goes on to the dispatcher;
// the other effects are for the shell.
func (s *State) member(now time.Duration, ev member.Event) {
	for _, e := range s.Member.Apply(now, ev) {
		if changed, ok := e.(member.EndpointsChanged); ok {
			s.dispatch(now, dispatch.EndpointsChanged{Endpoints: changed.Endpoints, EntryHosts: changed.EntryHosts})
			continue
		}
		s.effects = append(s.effects, e)
	}
}

// observe tells the membership reducer what an event of the dispatcher says about an
// endpoint or about this host.
func (s *State) observe(now time.Duration, ev dispatch.Event) {
	switch ev := ev.(type) {
	case dispatch.AttemptEnded:
		if ev.Leaving {
			s.member(now, member.EndpointLeaving{Endpoint: ev.Endpoint.ID, Identity: ev.Endpoint.Identity})
		}
	case dispatch.DrainStarted:
		s.member(now, member.Leave{})
	}
}
