package member

import (
	"time"

	"sesameledge.dev/sesameledge/ticket"
)

// MemberView is the entry of a member that operators see.
type MemberView struct {
	Record
	Self      bool
	LastHeard time.Duration // time since the last message from the member; negative if none
}

// Members returns the entries of this host and all others, ordered by host name.
func (s *State) Members(now time.Duration) []MemberView {
	out := make([]MemberView, 0, len(s.names)+1)
	self := MemberView{Record: s.self, Self: true}
	selfAdded := false
	for _, name := range s.names {
		if !selfAdded && name > s.self.Host {
			out, selfAdded = append(out, self), true
		}
		p := s.peers[name]
		v := MemberView{Record: p.Record, LastHeard: -1}
		if p.lastHeard >= 0 {
			v.LastHeard = now - p.lastHeard
		}
		out = append(out, v)
	}
	if !selfAdded {
		out = append(out, self)
	}
	return out
}

// Address returns the peer address at which to ask about an incarnation of a host: the
// address where that incarnation was seen, or else the host's current address. It reports
// false if the view has no address for the host.
func (s *State) Address(host string, inc ticket.Incarnation) (string, bool) {
	if host == s.self.Host {
		return s.self.Address, true
	}
	p, ok := s.peers[host]
	if !ok || p.Address == "" {
		return "", false
	}
	for _, old := range p.replaced {
		if old.incarnation == inc && old.address != "" {
			return old.address, true
		}
	}
	return p.Address, true
}

// aheadReport is the last PeerConfigAhead effect. It limits how often the same revision is
// reported.
type aheadReport struct {
	revision   uint64
	reportedAt time.Duration
}

// aheadReportInterval is the least time between reports of the same revision.
const aheadReportInterval = time.Second

// reportAhead emits PeerConfigAhead if a peer has a higher configuration revision than this host.
func (s *State) reportAhead(now time.Duration, p *peer) {
	revision := p.ConfigRevision
	if revision <= s.self.ConfigRevision || revision <= s.lastAhead.revision && now-s.lastAhead.reportedAt < aheadReportInterval {
		return
	}
	s.lastAhead = aheadReport{revision: revision, reportedAt: now}
	s.emit(PeerConfigAhead{Host: p.Host, Address: p.Address, Revision: revision})
}
