package member

import (
	"time"

	"sesameledge.dev/sesameledge/ticket"
)

// View is a member as operators see it.
type View struct {
	Record
	Self      bool
	LastHeard time.Duration // age of the last message of the member; negative if none
}

// Members returns this host and the others, ordered by host name.
func (s *State) Members(now time.Duration) []View {
	out := make([]View, 0, len(s.names)+1)
	self := View{Record: s.self, Self: true}
	placed := false
	for _, name := range s.names {
		if !placed && name > s.self.Host {
			out, placed = append(out, self), true
		}
		p := s.peers[name]
		v := View{Record: p.Record, LastHeard: -1}
		if p.heard >= 0 {
			v.LastHeard = now - p.heard
		}
		out = append(out, v)
	}
	if !placed {
		out = append(out, self)
	}
	return out
}

// Address returns the peer address to ask about an incarnation of a host. That is the
// address where the incarnation was seen, or else the host's present address.
func (s *State) Address(host string, inc ticket.Incarnation) (string, bool) {
	if host == s.self.Host {
		return s.self.Address, true
	}
	p, ok := s.peers[host]
	if !ok || p.Address == "" {
		return "", false
	}
	for _, old := range p.retired {
		if old.incarnation == inc && old.address != "" {
			return old.address, true
		}
	}
	return p.Address, true
}

// aheadNotice limits how often a peer that is ahead is reported.
type aheadNotice struct {
	revision uint64
	at       time.Duration
}

// aheadEvery is the pause between reports of the same revision.
const aheadEvery = time.Second

func (s *State) noticeAhead(now time.Duration, p *peer) {
	revision := p.ConfigRevision
	if revision <= s.self.ConfigRevision || revision <= s.ahead.revision && now-s.ahead.at < aheadEvery {
		return
	}
	s.ahead = aheadNotice{revision: revision, at: now}
	s.emit(PeerAhead{Host: p.Host, Address: p.Address, Revision: revision})
}
