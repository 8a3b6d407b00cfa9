package host

import (
	"time"
)

// This file tells a zone whose hosts are all gone from one that is cut off. A cut zone goes on with its workers, so a
// cancellation has to reach its commanders; nobody starts tasks in a lost one. The store is the witness: a commander
// that hears no host of another zone signs its record there again and again. A zone of which neither a host is heard
// nor such a sign is read is lost, or cut off from the store too.

const (
	// signInterval is the time between two signs of life of a commander.
	signInterval = 2 * time.Second
	// lostZoneTime is the time without a sign of life after which a zone counts as lost. It covers the time in which
	// a commander finds out that it hears no host of another zone, signInterval, and a slow answer of the store.
	lostZoneTime = 3500 * time.Millisecond
	// hostsReadPause is the shortest time between two reads of the hosts that a cancellation asks for.
	hostsReadPause = 300 * time.Millisecond
)

// SignHost writes the record of this host into the store again, as a sign of life.
type SignHost struct{}

// ReadHosts asks for a read of the hosts' records from the store at once.
type ReadHosts struct{}

// signs is what the host knows of signs of life in the store.
type signs struct {
	signedAt time.Duration // when this host last signed its record
	readAt   time.Duration // when records were last read, if only to find none new; 0: never
	askedAt  time.Duration // when a read was last asked for
}

// sign is the newest record of a host in the store that was read.
type sign struct {
	next  int64         // offset after the record; 0: none was read
	at    time.Duration // when it was read
	again bool          // the host signs again when it is isolated
}

// recordSigns records the signs of life among the records of hosts that were read. Hosts that the settings name come
// without records.
func (s *State) recordSigns(now time.Duration, e HostsDiscovered) {
	if e.Records == nil {
		return
	}
	s.signs.readAt = now
	for addr, r := range e.Records {
		p := s.peers[addr]
		if next := r.Offset + 1; p != nil && next > p.lastSign.next {
			p.lastSign = sign{next: next, at: now, again: r.SignsWhenIsolated}
		}
	}
}

// signLife signs the record of this host if it commands cells and hears no host of some other zone.
func (s *State) signLife(now time.Duration) {
	if !s.owner.HasClaims() || now-max(s.signs.signedAt, s.opts.Started) < signInterval {
		return
	}
	for _, zone := range s.opts.Zones {
		if zone != s.opts.Self.Zone && s.isSilent(zone) {
			s.signs.signedAt = now
			s.emit(SignHost{})
			return
		}
	}
}

// isSilent reports whether a zone has hosts and none of them is heard.
func (s *State) isSilent(zone string) bool {
	known := false
	for _, p := range s.sortedPeers {
		if p.zone() != zone {
			continue
		}
		if p.live {
			return false
		}
		known = true
	}
	return known
}

// goesOn returns why a zone without a known commander may go on with its workers, or an empty string if it is lost.
// Hosts of an earlier version, or whose zone is not known, may go on without a sign.
func (s *State) goesOn(now time.Duration, zone string) string {
	if zone == s.opts.Self.Zone {
		return "it is that of this host"
	}
	lastSign := time.Duration(0)
	for _, p := range s.sortedPeers {
		switch {
		case p.zone() == "":
			return "the zone of a host is not known"
		case p.zone() != zone:
			continue
		case p.live:
			return "host " + p.info.GetName() + " is heard"
		case !p.lastSign.again:
			return "a host gives no signs of life"
		}
		lastSign = max(lastSign, p.lastSign.at, p.session.LastContact())
	}
	switch {
	case !s.storeReachable:
		return "the store does not answer"
	case now-lastSign < lostZoneTime:
		return "its last sign of life is not old enough"
	case s.signs.readAt-lastSign < lostZoneTime:
		s.wantHosts(now)
		return "newer signs of life are being read"
	}
	return ""
}

// wantHosts asks for a read of the hosts' records.
func (s *State) wantHosts(now time.Duration) {
	if now-s.signs.askedAt >= hostsReadPause {
		s.signs.askedAt = now
		s.emit(ReadHosts{})
	}
}
