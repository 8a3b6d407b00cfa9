package owner

import (
	"github.com/cespare/xxhash/v2"

	"sesameledge.dev/sesameledge/fleet"
)

// This file compares the hosts that may command a cell.

// muchLarger reports whether weight a is so much larger than weight b (by half or more) that a
// change of command is worth its cost.
func muchLarger(a, b int64) bool { return a > 0 && 2*a >= 3*b }

// Comparable reports whether a host of weight a is not so much smaller than one of weight b that it never
// commands a cell while the other one lives.
func Comparable(a, b int64) bool { return !muchLarger(b, a) }

// isBestCandidate reports whether this host is the one to take a cell without a commander: the host
// of the zone with the largest share for one more cell. Ties are broken by a hash of cell and host.
func (s *State) isBestCandidate(cell fleet.Cell, others []Host) bool {
	zone := cell.Zone()
	if s.self.Zone != zone {
		return false
	}
	share := s.self.Weight / int64(len(s.claims)+1)
	for _, h := range others {
		if h.Zone == zone && !h.Draining && isBetterCandidate(cell, h.Name, h.shareWithOneMoreCell(), s.self.Name, share) {
			return false
		}
	}
	return true
}

// shareWithOneMoreCell returns the processors, in thousandths of a core, that the host would have
// for each cell if it took one more.
func (h Host) shareWithOneMoreCell() int64 { return h.Weight / int64(len(h.Claims)+1) }

// isBetterCandidate reports whether host a, with its share of processors, goes before host b for a
// cell.
func isBetterCandidate(cell fleet.Cell, a string, shareA int64, b string, shareB int64) bool {
	if shareA != shareB {
		return shareA > shareB
	}
	return tieBreak(cell, a) < tieBreak(cell, b)
}

// muchStrongerHostExists reports whether another host of the zone would have so many more
// processors for the cell than this host, which commands it, that a change of command is worth its
// cost.
func (s *State) muchStrongerHostExists(cell fleet.Cell, others []Host) bool {
	zone := cell.Zone()
	kept := 0 // cells that are being handed over will not need this host's processors
	for _, c := range s.claims {
		if !c.Releasing {
			kept++
		}
	}
	share := s.self.Weight / int64(max(1, kept))
	for _, h := range others {
		if h.Zone == zone && !h.Draining && h.Age >= minHandOverAge && muchLarger(h.shareWithOneMoreCell(), share) {
			return true
		}
	}
	return false
}

// tieBreak returns a hash that orders hosts with equal shares differently for each cell.
func tieBreak(cell fleet.Cell, host string) uint64 {
	return xxhash.Sum64String(string(cell) + "\x00" + host)
}
