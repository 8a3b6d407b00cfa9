package member

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// roundsPerReconnect is the number of rounds from one call to a member outside the regular
// calls to the next. Such calls go to members that are gone or were never heard from, so
// that the two sides of a partition find each other again.
const roundsPerReconnect = 4

// runDueRound makes the calls of a round if one is due: one in this host's zone and one to
// a contact in another zone or to a member outside the regular calls.
func (s *State) runDueRound(now time.Duration) {
	if now < s.nextRound {
		return
	}
	s.nextRound = now + s.opts.Interval
	if s.selfReplaced {
		return
	}
	s.rounds++
	s.counters.Rounds++
	s.removeStaleMembers(now)
	s.call(s.nextZoneMember())
	if s.rounds%roundsPerReconnect == 0 && s.reconnect() {
		return
	}
	s.call(s.nextContact(now))
}

// call sends a gossip message to a peer. It reports false if the peer is nil.
func (s *State) call(p *peer) bool {
	if p == nil {
		return false
	}
	s.emit(Send{Host: p.Host, Address: p.Address, Incarnation: p.Incarnation, Message: s.buildMessage(p, p.Incarnation, nil)})
	return true
}

// reconnect calls a member outside the regular calls, or the address that the platform's
// list names for a member that the view holds at another address. It reports whether it
// made a call.
func (s *State) reconnect() bool {
	p := s.pickReconnect()
	if p == nil {
		return false
	}
	address := p.alternativeAddress()
	if address == "" || !s.inRegularCalls(p) && s.rng.IntN(2) == 0 {
		return s.call(p)
	}
	// The call expects no incarnation, because a failure at this address says nothing about
	// the incarnation that the view holds.
	s.emit(Send{Host: p.Host, Address: address, Message: s.buildMessage(p, 0, nil)})
	return true
}

// nextZoneMember returns a suspect of this host's zone, or else the next member from the
// call queue. The queue holds each member of the zone once, in random order, and is
// refilled when it is empty. It returns nil if there is no member to call.
func (s *State) nextZoneMember() *peer {
	if p := s.pickSuspect(); p != nil {
		return p
	}
	for range 2 {
		for len(s.callQueue) > 0 {
			p := s.peers[s.callQueue[0]]
			s.callQueue = s.callQueue[1:]
			if p != nil && s.inRegularCalls(p) {
				return p
			}
		}
		s.refillCallQueue()
	}
	return nil
}

// pickSuspect returns a random suspect of this host's zone, or nil if the round goes on with
// the call queue.
func (s *State) pickSuspect() *peer {
	if s.suspectCount == 0 {
		return nil
	}
	var suspects []*peer
	for _, name := range s.names {
		if p := s.peers[name]; p.Status == Suspect && p.Zone == s.opts.Zone {
			suspects = append(suspects, p)
		}
	}
	// Every second round goes on with the call queue, so that many suspects do not keep a
	// host from detecting other failures.
	if len(suspects) == 0 || s.rounds%2 == 0 && len(s.callQueue) > 0 {
		return nil
	}
	return suspects[s.rng.IntN(len(suspects))]
}

func (s *State) refillCallQueue() {
	s.callQueue = s.callQueue[:0]
	for _, name := range s.names {
		if p := s.peers[name]; p.Zone == s.opts.Zone && s.inRegularCalls(p) {
			s.callQueue = append(s.callQueue, name)
		}
	}
	s.rng.Shuffle(len(s.callQueue), func(i, j int) { s.callQueue[i], s.callQueue[j] = s.callQueue[j], s.callQueue[i] })
}

// inRegularCalls reports whether the rounds call a member regularly: its address is known,
// it is not gone, and if it was never heard from, no call to it has failed.
func (s *State) inRegularCalls(p *peer) bool {
	return p.Address != "" && (p.Status == Live || p.Status == Leaving || p.Status == Suspect || p.Status == Unknown && p.lastFailed < 0)
}

// pickReconnect returns a random member that is outside the regular calls or has an
// alternative address, or nil if there is none.
func (s *State) pickReconnect() *peer {
	if s.disabled.reconnection {
		return nil
	}
	var candidates []*peer
	for _, name := range s.names {
		if p := s.peers[name]; p.alternativeAddress() != "" || p.Address != "" && !s.inRegularCalls(p) {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.rng.IntN(len(candidates))]
}

// nextContact returns the next contact in another zone, or nil if there is none. The
// contacts take turns, one of each zone after the other.
func (s *State) nextContact(now time.Duration) *peer {
	s.refreshContacts(now)
	var names []string
	zones := slices.Sorted(maps.Keys(s.contacts))
	for i := range s.opts.ContactsPerZone {
		for _, zone := range zones {
			if i < len(s.contacts[zone]) {
				names = append(names, s.contacts[zone][i])
			}
		}
	}
	if len(names) == 0 {
		return nil
	}
	s.contactIndex = (s.contactIndex + 1) % len(names)
	return s.peers[names[s.contactIndex]]
}

// contactRetryDelay is how long a host that did not answer is not chosen as a contact if
// its zone has other hosts.
const contactRetryDelay = 30 * time.Second

// refreshContacts replaces contacts that failed or are gone and forgets zones without hosts.
func (s *State) refreshContacts(now time.Duration) {
	byZone := make(map[string][]string)
	for _, name := range s.names {
		p := s.peers[name]
		if p.Zone != s.opts.Zone && p.Zone != "" && p.Address != "" && p.Status != Gone {
			byZone[p.Zone] = append(byZone[p.Zone], name)
		}
	}
	for zone := range s.contacts {
		if len(byZone[zone]) == 0 {
			delete(s.contacts, zone)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		s.contacts[zone] = s.selectContacts(now, s.contacts[zone], byZone[zone])
	}
}

// selectContacts keeps the current contacts of a zone that still answer and fills up to
// Options.ContactsPerZone from the zone's hosts.
func (s *State) selectContacts(now time.Duration, current, hosts []string) []string {
	responsive := func(name string) bool {
		p := s.peers[name]
		return p.lastFailed < 0 || now-p.lastFailed > contactRetryDelay
	}
	kept := slices.DeleteFunc(current, func(name string) bool { return !slices.Contains(hosts, name) || !responsive(name) })
	// Each host of this zone starts at another position in the list, which spreads the
	// load. With random contacts, one host of 40 got a quarter more messages than the mean.
	hosts = rotate(hosts, s.rankInZone()*s.opts.ContactsPerZone)
	// If no host of the zone is responsive, the others are tried too: the zone may be cut
	// off and come back.
	for _, accept := range []func(string) bool{responsive, func(string) bool { return true }} {
		for _, name := range hosts {
			if len(kept) < s.opts.ContactsPerZone && accept(name) && !slices.Contains(kept, name) {
				kept = append(kept, name)
			}
		}
		if len(kept) > 0 {
			break
		}
	}
	return kept
}

// rankInZone returns the number of hosts in this host's zone with a smaller name.
func (s *State) rankInZone() int {
	rank := 0
	for _, name := range s.names {
		if name < s.opts.Host && s.peers[name].Zone == s.opts.Zone {
			rank++
		}
	}
	return rank
}

// rotate returns a copy of names that starts at index n modulo the length and wraps around.
func rotate(names []string, n int) []string {
	if len(names) == 0 {
		return names
	}
	n %= len(names)
	return append(slices.Clone(names[n:]), names[:n]...)
}

func sortStableDescending(names []string, key func(string) int) {
	sort.SliceStable(names, func(i, j int) bool { return key(names[i]) > key(names[j]) })
}
