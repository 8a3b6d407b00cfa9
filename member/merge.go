package member

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/ticket"
)

// received merges a peer's message and answers it.
func (s *State) received(now time.Duration, ev Received) {
	from := s.mergeMessage(now, &ev.Message)
	s.emit(Reply{Token: ev.Token, Message: s.message(from, ev.Message.From.Incarnation, ev.Message.Wanted)})
}

// repliedBy merges an answer. The process that answers at an address is the one that
// holds it, so another incarnation there proves that the one expected is gone.
func (s *State) repliedBy(now time.Duration, ev Replied) {
	p := s.peers[ev.Host]
	from := ev.Message.From
	if p != nil {
		p.failed = -1
		if s.provesReplaced(p, ev) {
			s.replace(now, p, from)
		}
	}
	s.mergeMessage(now, &ev.Message)
	s.settled = s.settled || !s.contests(&ev.Message)
	s.askAgain(p, ev)
	for _, inc := range ev.Message.Wanted {
		s.sendWhole(inc)
	}
}

// provesReplaced reports whether another process than the expected one answered at its
// address. An answer that was overtaken by news of another process proves nothing.
func (s *State) provesReplaced(p *peer, ev Replied) bool {
	from := ev.Message.From
	return from.Host == ev.Host && from.Address == ev.Address && from.Incarnation != p.Incarnation &&
		p.Address == ev.Address && p.Incarnation == ev.Incarnation
}

// askAgain asks the process that answered for its whole record if it is not known. At
// most one such call is made in a round.
func (s *State) askAgain(p *peer, ev Replied) {
	from := ev.Message.From
	if p == nil || from.Host != "" || s.byIncarnation(from.Incarnation) != nil || p.hasRetired(from.Incarnation) || s.asked == s.rounds {
		return
	}
	s.asked = s.rounds
	s.wanted = slices.Insert(s.wanted, 0, from.Incarnation)
	s.emit(Send{Host: p.Host, Address: ev.Address, Message: s.message(p, 0, nil)})
}

// contests reports whether a message names another process under this host's name.
func (s *State) contests(m *Message) bool {
	return slices.ContainsFunc(m.Members, func(r Record) bool {
		return r.Host == s.self.Host && r.Incarnation != s.self.Incarnation
	})
}

// sendWhole passes the whole record of an incarnation on once more.
func (s *State) sendWhole(inc ticket.Incarnation) {
	if inc == s.self.Incarnation {
		s.selfSend = max(s.selfSend, 1)
		return
	}
	if p := s.byIncarnation(inc); p != nil {
		p.sends, p.full = max(p.sends, 1), true
	}
}

// mergeMessage merges all parts of a message and returns the entry of its sender, or nil
// if the sender is not known.
func (s *State) mergeMessage(now time.Duration, m *Message) *peer {
	s.merge(now, m.From, m.From.Zone)
	from := s.byIncarnation(m.From.Incarnation)
	zone := m.From.Zone
	if from != nil {
		from.heard, from.failed = now, -1
		zone = from.Zone
		s.noticeAhead(now, from)
	}
	for _, r := range m.Members {
		s.merge(now, r, zone)
	}
	for _, mark := range m.Marks {
		s.mark(now, mark)
	}
	if from == nil && m.From.Host != "" {
		return s.peers[m.From.Host]
	}
	return from
}

func (s *State) byIncarnation(inc ticket.Incarnation) *peer {
	host, ok := s.byInc[inc]
	if !ok {
		return nil
	}
	return s.peers[host]
}

// merge takes over a record if it is newer than what the view holds. The zone is that of
// the sender.
func (s *State) merge(now time.Duration, r Record, senderZone string) {
	switch {
	case r.Incarnation == 0 || r.Status == Unknown || r.Status > Gone:
	case r.Incarnation == s.self.Incarnation:
		s.refute(r)
	case r.Host == s.self.Host:
		s.contested(now, r, senderZone)
	case r.Host == "":
		s.mergeCompact(now, r)
	default:
		s.mergeWhole(now, r)
	}
}

func (s *State) mergeCompact(now time.Duration, r Record) {
	p := s.byIncarnation(r.Incarnation)
	if p == nil {
		if r.Status != Gone && !s.isRetired(r.Incarnation) {
			s.want(r.Incarnation)
		}
		return
	}
	if p.ConfigSchema == 0 {
		s.want(r.Incarnation)
	}
	s.mergeSame(now, p, r)
}

func (s *State) want(inc ticket.Incarnation) {
	if len(s.wanted) < maxWanted && !slices.Contains(s.wanted, inc) {
		s.wanted = append(s.wanted, inc)
	}
}

func (s *State) mergeWhole(now time.Duration, r Record) {
	if _, known := s.peers[r.Host]; !known && r.Status == Gone {
		return
	}
	p := s.ensure(r.Host)
	switch {
	case p == nil:
	case p.Incarnation == r.Incarnation:
		if r.Heartbeat > p.Heartbeat {
			p.Address, p.Zone = r.Address, r.Zone
		}
		p.ConfigSchema = max(p.ConfigSchema, r.ConfigSchema)
		s.mergeSame(now, p, r)
	case p.hasRetired(r.Incarnation):
		s.counters.Outdated++
	case p.Incarnation == 0 || r.Heartbeat > p.Heartbeat:
		s.replace(now, p, r)
	}
}

// mergeSame merges a record of the incarnation that the view holds. The revision never
// goes back and needs no heartbeat of its own.
func (s *State) mergeSame(now time.Duration, p *peer, r Record) {
	p.ConfigRevision = max(p.ConfigRevision, r.ConfigRevision)
	if r.Status == Suspect && p.Zone != s.opts.Zone {
		return
	}
	newer := r.Heartbeat > p.Heartbeat || r.Heartbeat == p.Heartbeat && rank(r.Status) > rank(p.Status)
	if !newer {
		return
	}
	// What the platform's list names already, every host knows from there.
	known := p.Heartbeat == 0 && p.Status == r.Status
	p.Heartbeat = r.Heartbeat
	s.setStatus(now, p, r.Status)
	if !known {
		s.startRumor(p)
	}
}

// rank orders the statuses of one heartbeat. Live and leaving are the member's own word
// and give way to what others found out since.
func rank(st Status) int {
	switch st {
	case Suspect:
		return 1
	case Gone:
		return 2
	}
	return 0
}

// replace puts another incarnation in the place of the one that the view holds. One that
// only the platform's lagging list named is not taken for the older of the two.
func (s *State) replace(now time.Duration, p *peer, r Record) {
	if p.Incarnation != 0 {
		s.counters.Replacements++
		delete(s.byInc, p.Incarnation)
		if !s.faults.noRetire && p.Heartbeat > 0 {
			p.retired = append(p.retired, retired{incarnation: p.Incarnation, address: p.Address})
			p.retired = p.retired[max(len(p.retired)-maxRetired, 0):]
		}
	}
	// A process that answers at the address is current even if an overtaken message of
	// another one had displaced it.
	p.retired = slices.DeleteFunc(p.retired, func(old retired) bool { return old.incarnation == r.Incarnation })
	before := p.Status
	p.Record = r
	p.heard, p.failed = -1, -1
	s.byInc[r.Incarnation] = r.Host
	p.Status = before
	s.setStatus(now, p, r.Status)
	if before == r.Status {
		s.emit(StatusChanged{Record: p.Record, Before: before})
	}
	s.startRumor(p)
	p.full = true
}

func (p *peer) hasRetired(inc ticket.Incarnation) bool {
	return slices.ContainsFunc(p.retired, func(r retired) bool { return r.incarnation == inc })
}

func (s *State) isRetired(inc ticket.Incarnation) bool {
	for _, name := range s.names {
		if s.peers[name].hasRetired(inc) {
			return true
		}
	}
	return false
}

func (s *State) startRumor(p *peer) {
	p.sends = s.rumorSends()
	p.full = p.full && p.sends > 0
}

// refute raises the own heartbeat above a record that calls this process suspect or gone.
func (s *State) refute(r Record) {
	if s.faults.noRefute || rank(r.Status) == 0 || r.Heartbeat < s.self.Heartbeat {
		return
	}
	s.counters.Refutations++
	s.self.Heartbeat = r.Heartbeat + 1
	s.selfSend = s.rumorSends()
}

// contested handles a record of another process under this host's name that has a higher
// heartbeat. One at this address was here before, and so was a gone one that peers still
// know when this process starts. A later one at another address has replaced this
// process if it stays live; only hosts of the own zone are believed about that, because
// they call their members regularly.
func (s *State) contested(now time.Duration, r Record, senderZone string) {
	switch {
	case r.Heartbeat < s.self.Heartbeat:
	case r.Address == s.self.Address || r.Status == Gone && !s.settled:
		s.self.Heartbeat = r.Heartbeat + 1
		s.selfSend = s.rumorSends()
		s.contest = -1
	case senderZone != s.opts.Zone || s.replaced:
	case s.contest < 0:
		s.contest = now
	case now-s.contest >= contestedFor:
		s.replaced = true
		s.emit(SelfReplaced{By: r})
	}
}
