package member

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// reviveEvery is the number of rounds between calls to a member that is gone or was
// never heard. They end a partition.
const reviveEvery = 4

func (s *State) roundsDue(now time.Duration) {
	if now < s.next {
		return
	}
	s.next = now + s.opts.Interval
	if s.replaced {
		return
	}
	s.rounds++
	s.counters.Rounds++
	s.forget(now)
	s.call(s.nextInZone())
	if s.rounds%reviveEvery == 0 && s.revive() {
		return
	}
	s.call(s.nextContact(now))
}

// call sends a message and reports whether there was a peer to call.
func (s *State) call(p *peer) bool {
	if p == nil {
		return false
	}
	s.emit(Send{Host: p.Host, Address: p.Address, Incarnation: p.Incarnation, Message: s.message(p, p.Incarnation, nil)})
	return true
}

// revive calls a member that the regular calls leave out, or the address that the
// platform's list names for a member seen elsewhere.
func (s *State) revive() bool {
	p := s.nextRevival()
	if p == nil {
		return false
	}
	hint := p.hint()
	if hint == "" || !s.callable(p) && s.rng.IntN(2) == 0 {
		return s.call(p)
	}
	// What a failed call to this address says does not concern the incarnation held.
	s.emit(Send{Host: p.Host, Address: hint, Message: s.message(p, 0, nil)})
	return true
}

// nextInZone returns a suspect, or else the next member of the own zone in a random
// order that visits each one before any again.
func (s *State) nextInZone() *peer {
	if p := s.aSuspect(); p != nil {
		return p
	}
	for range 2 {
		for len(s.ring) > 0 {
			p := s.peers[s.ring[0]]
			s.ring = s.ring[1:]
			if p != nil && s.callable(p) {
				return p
			}
		}
		s.refillRing()
	}
	return nil
}

func (s *State) aSuspect() *peer {
	if s.suspects == 0 {
		return nil
	}
	var all []*peer
	for _, name := range s.names {
		if p := s.peers[name]; p.Status == Suspect && p.Zone == s.opts.Zone {
			all = append(all, p)
		}
	}
	// Half of the calls go on along the ring, so that many suspects do not keep a host
	// from noticing other failures.
	if len(all) == 0 || s.rounds%2 == 0 && len(s.ring) > 0 {
		return nil
	}
	return all[s.rng.IntN(len(all))]
}

func (s *State) refillRing() {
	s.ring = s.ring[:0]
	for _, name := range s.names {
		if p := s.peers[name]; p.Zone == s.opts.Zone && s.callable(p) {
			s.ring = append(s.ring, name)
		}
	}
	s.rng.Shuffle(len(s.ring), func(i, j int) { s.ring[i], s.ring[j] = s.ring[j], s.ring[i] })
}

// callable reports whether a member belongs to the regular calls.
func (s *State) callable(p *peer) bool {
	return p.Address != "" && (p.Status == Live || p.Status == Leaving || p.Status == Suspect || p.Status == Unknown && p.failed < 0)
}

// nextRevival returns a random member that the regular calls leave out.
func (s *State) nextRevival() *peer {
	if s.faults.noRevive {
		return nil
	}
	var all []*peer
	for _, name := range s.names {
		if p := s.peers[name]; p.hint() != "" || p.Address != "" && !s.callable(p) {
			all = append(all, p)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[s.rng.IntN(len(all))]
}

// nextContact returns the next contact in another zone, in turn over all zones.
func (s *State) nextContact(now time.Duration) *peer {
	s.refreshContacts(now)
	var all []string
	zones := slices.Sorted(maps.Keys(s.contacts))
	for i := range s.opts.Contacts {
		for _, zone := range zones {
			if i < len(s.contacts[zone]) {
				all = append(all, s.contacts[zone][i])
			}
		}
	}
	if len(all) == 0 {
		return nil
	}
	s.contact = (s.contact + 1) % len(all)
	return s.peers[all[s.contact]]
}

// contactRetry is how long a contact that did not answer is left out if its zone has
// other hosts.
const contactRetry = 30 * time.Second

// refreshContacts drops contacts that failed or left and draws others in their place.
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
		s.contacts[zone] = s.drawContacts(now, s.contacts[zone], byZone[zone])
	}
}

func (s *State) drawContacts(now time.Duration, current, hosts []string) []string {
	good := func(name string) bool {
		p := s.peers[name]
		return p.failed < 0 || now-p.failed > contactRetry
	}
	kept := slices.DeleteFunc(current, func(name string) bool { return !slices.Contains(hosts, name) || !good(name) })
	// Each host of this zone begins at another place of the list. With random contacts
	// one host of 40 got a quarter more messages than the mean.
	hosts = rotate(hosts, s.rankInZone()*s.opts.Contacts)
	// Without a good host any will do: the zone may be cut off and come back.
	for _, accept := range []func(string) bool{good, func(string) bool { return true }} {
		for _, name := range hosts {
			if len(kept) < s.opts.Contacts && accept(name) && !slices.Contains(kept, name) {
				kept = append(kept, name)
			}
		}
		if len(kept) > 0 {
			break
		}
	}
	return kept
}

// rankInZone is the number of hosts of the own zone with a smaller name.
func (s *State) rankInZone() int {
	rank := 0
	for _, name := range s.names {
		if name < s.opts.Host && s.peers[name].Zone == s.opts.Zone {
			rank++
		}
	}
	return rank
}

// rotate returns the names from the n-th on, then those before it.
func rotate(names []string, n int) []string {
	if len(names) == 0 {
		return names
	}
	n %= len(names)
	return append(slices.Clone(names[n:]), names[:n]...)
}

func stableByDescending(names []string, key func(string) int) {
	sort.SliceStable(names, func(i, j int) bool { return key(names[i]) > key(names[j]) })
}
