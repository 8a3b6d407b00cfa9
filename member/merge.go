package member

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/ticket"
)

// handleReceived merges a peer's message and answers it.
func (s *State) handleReceived(now time.Duration, ev Received) {
	from := s.mergeMessage(now, &ev.Message)
	s.emit(Reply{Token: ev.Token, Message: s.buildMessage(from, ev.Message.From.Incarnation, ev.Message.Requested)})
}

// handleReplied merges an answer. The process that answers at an address is the current one
// there, so another incarnation in the answer proves that the expected one is gone.
func (s *State) handleReplied(now time.Duration, ev Replied) {
	p := s.peers[ev.Host]
	from := ev.Message.From
	if p != nil {
		p.lastFailed = -1
		if s.provesReplaced(p, ev) {
			s.replaceIncarnation(now, p, from)
		}
	}
	s.mergeMessage(now, &ev.Message)
	s.nameConfirmed = s.nameConfirmed || !s.namesOtherProcess(&ev.Message)
	s.requestWholeRecord(p, ev)
	for _, inc := range ev.Message.Requested {
		s.scheduleWholeRecord(inc)
	}
}

// provesReplaced reports whether an answer came from another process than the one that the
// view holds at that address. The answer proves nothing if the view has learned of another
// process since the call.
func (s *State) provesReplaced(p *peer, ev Replied) bool {
	from := ev.Message.From
	return from.Host == ev.Host && from.Address == ev.Address && from.Incarnation != p.Incarnation &&
		p.Address == ev.Address && p.Incarnation == ev.Incarnation
}

// requestWholeRecord calls the process that answered once more to ask for its whole record
// if the view does not have it. It makes at most one such call in a round.
func (s *State) requestWholeRecord(p *peer, ev Replied) {
	from := ev.Message.From
	if p == nil || from.Host != "" || s.peerByIncarnation(from.Incarnation) != nil || p.hasReplaced(from.Incarnation) || s.lastRequestRound == s.rounds {
		return
	}
	s.lastRequestRound = s.rounds
	s.missing = slices.Insert(s.missing, 0, from.Incarnation)
	s.emit(Send{Host: p.Host, Address: ev.Address, Message: s.buildMessage(p, 0, nil)})
}

// namesOtherProcess reports whether a message names another process under this host's name.
func (s *State) namesOtherProcess(m *Message) bool {
	return slices.ContainsFunc(m.Members, func(r Record) bool {
		return r.Host == s.self.Host && r.Incarnation != s.self.Incarnation
	})
}

// scheduleWholeRecord makes sure that the whole record of an incarnation is sent at least
// once more.
func (s *State) scheduleWholeRecord(inc ticket.Incarnation) {
	if inc == s.self.Incarnation {
		s.selfSendsLeft = max(s.selfSendsLeft, 1)
		return
	}
	if p := s.peerByIncarnation(inc); p != nil {
		p.sendsLeft, p.sendWhole = max(p.sendsLeft, 1), true
	}
}

// mergeMessage merges a message and returns the entry of its sender, or nil if the sender is
// not in the view.
func (s *State) mergeMessage(now time.Duration, m *Message) *peer {
	s.merge(now, m.From, m.From.Zone)
	from := s.peerByIncarnation(m.From.Incarnation)
	zone := m.From.Zone
	if from != nil {
		from.lastHeard, from.lastFailed = now, -1
		zone = from.Zone
		s.reportAhead(now, from)
	}
	for _, r := range m.Members {
		s.merge(now, r, zone)
	}
	for _, mark := range m.Marks {
		s.recordMark(now, mark)
	}
	if from == nil && m.From.Host != "" {
		return s.peers[m.From.Host]
	}
	return from
}

// peerByIncarnation returns the host whose current incarnation this is, or nil.
func (s *State) peerByIncarnation(inc ticket.Incarnation) *peer {
	host, ok := s.hostByIncarnation[inc]
	if !ok {
		return nil
	}
	return s.peers[host]
}

// merge applies a record if it is newer than the view. senderZone is the availability zone of
// the host that sent the record.
func (s *State) merge(now time.Duration, r Record, senderZone string) {
	switch {
	case r.Incarnation == 0 || r.Status == Unknown || r.Status > Gone:
	case r.Incarnation == s.self.Incarnation:
		s.refute(r)
	case r.Host == s.self.Host:
		s.handleNameConflict(now, r, senderZone)
	case r.Host == "":
		s.mergeCompact(now, r)
	default:
		s.mergeWhole(now, r)
	}
}

// mergeCompact applies a compact record. It asks for the whole record if the view lacks the
// incarnation or its configuration schema version.
func (s *State) mergeCompact(now time.Duration, r Record) {
	p := s.peerByIncarnation(r.Incarnation)
	if p == nil {
		if r.Status != Gone && !s.isReplaced(r.Incarnation) {
			s.addMissing(r.Incarnation)
		}
		return
	}
	if p.ConfigSchema == 0 {
		s.addMissing(r.Incarnation)
	}
	s.mergeSameIncarnation(now, p, r)
}

// addMissing adds an incarnation to those whose whole record the next message asks for.
func (s *State) addMissing(inc ticket.Incarnation) {
	if len(s.missing) < maxRequested && !slices.Contains(s.missing, inc) {
		s.missing = append(s.missing, inc)
	}
}

// mergeWhole applies a whole record of another host. An incarnation that the view does not
// hold replaces the one that it holds if its heartbeat is higher.
func (s *State) mergeWhole(now time.Duration, r Record) {
	if _, known := s.peers[r.Host]; !known && r.Status == Gone {
		return
	}
	p := s.getOrAdd(r.Host)
	switch {
	case p == nil:
	case p.Incarnation == r.Incarnation:
		if r.Heartbeat > p.Heartbeat {
			p.Address, p.Zone = r.Address, r.Zone
		}
		p.ConfigSchema = max(p.ConfigSchema, r.ConfigSchema)
		s.mergeSameIncarnation(now, p, r)
	case p.hasReplaced(r.Incarnation):
		s.counters.OutdatedIncarnations++
	case p.Incarnation == 0 || r.Heartbeat > p.Heartbeat:
		s.replaceIncarnation(now, p, r)
	}
}

// mergeSameIncarnation applies a record of the incarnation that the view holds. The
// configuration revision of an incarnation never decreases, so the highest one is taken
// whatever the heartbeat.
func (s *State) mergeSameIncarnation(now time.Duration, p *peer, r Record) {
	p.ConfigRevision = max(p.ConfigRevision, r.ConfigRevision)
	if r.Status == Suspect && p.Zone != s.opts.Zone {
		return
	}
	newer := r.Heartbeat > p.Heartbeat || r.Heartbeat == p.Heartbeat && statusPrecedence(r.Status) > statusPrecedence(p.Status)
	if !newer {
		return
	}
	// A status that the platform's list has given already needs no rumor, because every host
	// gets that list.
	known := p.Heartbeat == 0 && p.Status == r.Status
	p.Heartbeat = r.Heartbeat
	s.setStatus(now, p, r.Status)
	if !known {
		s.scheduleRumor(p)
	}
}

// statusPrecedence orders statuses with the same heartbeat; the higher one wins. Live and
// leaving come from the member itself and are overridden by what others observe later.
func statusPrecedence(st Status) int {
	switch st {
	case Suspect:
		return 1
	case Gone:
		return 2
	}
	return 0
}

// replaceIncarnation puts another incarnation of a host in place of the one that the view
// holds. The old one is remembered as replaced unless only the platform's list has named it:
// the list lags, so that does not show which of the two is older.
func (s *State) replaceIncarnation(now time.Duration, p *peer, r Record) {
	if p.Incarnation != 0 {
		s.counters.Replacements++
		delete(s.hostByIncarnation, p.Incarnation)
		if !s.disabled.replacedMemory && p.Heartbeat > 0 {
			p.replaced = append(p.replaced, replacedIncarnation{incarnation: p.Incarnation, address: p.Address})
			p.replaced = p.replaced[max(len(p.replaced)-maxReplacedPerHost, 0):]
		}
	}
	// The new incarnation may have been replaced before by a delayed message of another
	// process. It answers at the address, so it is the current one.
	p.replaced = slices.DeleteFunc(p.replaced, func(old replacedIncarnation) bool { return old.incarnation == r.Incarnation })
	before := p.Status
	p.Record = r
	p.lastHeard, p.lastFailed = -1, -1
	s.hostByIncarnation[r.Incarnation] = r.Host
	p.Status = before
	s.setStatus(now, p, r.Status)
	if before == r.Status {
		s.emit(StatusChanged{Record: p.Record, Before: before})
	}
	s.scheduleRumor(p)
	p.sendWhole = true
}

// hasReplaced reports whether the incarnation is an earlier one of this host.
func (p *peer) hasReplaced(inc ticket.Incarnation) bool {
	return slices.ContainsFunc(p.replaced, func(r replacedIncarnation) bool { return r.incarnation == inc })
}

// isReplaced reports whether any host has replaced the incarnation.
func (s *State) isReplaced(inc ticket.Incarnation) bool {
	for _, name := range s.names {
		if s.peers[name].hasReplaced(inc) {
			return true
		}
	}
	return false
}

// scheduleRumor makes the next messages carry the member's record.
func (s *State) scheduleRumor(p *peer) {
	p.sendsLeft = s.rumorSends()
	p.sendWhole = p.sendWhole && p.sendsLeft > 0
}

// refute raises the heartbeat of this process above a record that calls it suspect or gone.
func (s *State) refute(r Record) {
	if s.disabled.refutation || statusPrecedence(r.Status) == 0 || r.Heartbeat < s.self.Heartbeat {
		return
	}
	s.counters.Refutations++
	s.self.Heartbeat = r.Heartbeat + 1
	s.selfSendsLeft = s.rumorSends()
}

// handleNameConflict handles a record of another process under this host's name. It ignores
// a record with a lower heartbeat. A process at the address of this one ran before it, and
// so did a gone process that peers still know when this one starts; this process then raises
// its heartbeat above theirs. A process at another address has replaced this one if it keeps
// the name for nameConflictTimeout. Only records from hosts of this host's zone count for
// that, because those hosts call the members of the zone regularly.
func (s *State) handleNameConflict(now time.Duration, r Record, senderZone string) {
	switch {
	case r.Heartbeat < s.self.Heartbeat:
	case r.Address == s.self.Address || r.Status == Gone && !s.nameConfirmed:
		s.self.Heartbeat = r.Heartbeat + 1
		s.selfSendsLeft = s.rumorSends()
		s.nameConflictSince = -1
	case senderZone != s.opts.Zone || s.selfReplaced:
	case s.nameConflictSince < 0:
		s.nameConflictSince = now
	case now-s.nameConflictSince >= nameConflictTimeout:
		s.selfReplaced = true
		s.emit(SelfReplaced{By: r})
	}
}
