// Package owner decides which host commands a cell: the workers of an availability zone, or a
// part of them. Each host decides for itself from what the others announce; no decision needs agreement,
// because a worker obeys only the highest fencing token it has seen. A wrong view therefore
// costs a change of command, never a second commander.
//
// Command stays where it is while its holder lives, so hosts that join cause no change. A
// cell without a live holder goes to the live host of its zone that is the largest for the
// cells that it has; a much larger one that joins is given the cell in good order.
package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// settleTime is how long a new process listens before it takes a cell.
	settleTime = 350 * time.Millisecond
	// expectTime is how long it waits if a much larger host of the zone is known and has not
	// been heard.
	expectTime = 1500 * time.Millisecond
	// retryTime is the pause before a host takes a cell again that it has lost.
	retryTime = 2 * time.Second
	// quickRetry is that pause after a cell was lost as soon as it was taken, most likely to a
	// token of a process that is gone. It doubles with each such loss.
	quickRetry = 150 * time.Millisecond
	// maxDoublings bounds the doubling.
	maxDoublings = 4
	// firmTime is the age of a claim from which its loss is due to a living host.
	firmTime = time.Second
	// aloneRetry is that pause for a host that hears no other one. It is more likely cut off
	// than the last one alive.
	aloneRetry = 10 * time.Second
	// aloneTime is how long a host that has lost all others waits before it takes a cell.
	aloneTime = 3 * time.Second
	// starvedTime is that time for a host that knows a much larger one of its zone.
	starvedTime = 15 * time.Second
	// steadyTime is how long a larger host has to be in contact before it is given a cell.
	steadyTime = 2 * time.Second
)

// Host is what a host knows of one that it hears, itself included.
type Host struct {
	Name     string
	Zone     string
	ID       uint64        // of its process
	Weight   int64         // processors, in thousandths of a core
	Age      time.Duration // since it was first heard
	Draining bool
	Claims   []Claim
}

// Claim is the announcement that a host commands a cell.
type Claim struct {
	Cell      fleet.Cell
	Fence     int64
	Releasing bool     // handed over worker by worker
	Held      []string // workers not yet released
	Commanded int      // workers that obey
}

// Kind of a decision.
type Kind int

// The decisions.
const (
	TakeCell Kind = iota + 1
	HandOver      // worker by worker, each when its last run is over
	GiveUp        // at once; the workers obey another host
)

// Decision is a change of this host's claims.
type Decision struct {
	Kind   Kind
	Reason string
}

// State holds this host's claims.
type State struct {
	self    Host
	started time.Duration
	claims  map[fleet.Cell]*Claim
	retry   map[fleet.Cell]time.Duration // earliest time to take a cell again
	lostAt  map[fleet.Cell]time.Duration
	takenAt map[fleet.Cell]time.Duration
	quick   map[fleet.Cell]uint // losses in a row right after a take
	largest map[string]int64    // weight of the largest known host, by zone
	heard   time.Duration       // when any other host was last heard; 0: never
}

// New returns the state of a process that starts now.
func New(now time.Duration, self Host) *State {
	return &State{
		self:    self,
		started: now,
		claims:  make(map[fleet.Cell]*Claim),
		retry:   make(map[fleet.Cell]time.Duration),
		lostAt:  make(map[fleet.Cell]time.Duration),
		takenAt: make(map[fleet.Cell]time.Duration),
		quick:   make(map[fleet.Cell]uint),
		largest: make(map[string]int64),
	}
}

// Expect notes that a host of a zone is known, whether it is heard or not.
func (s *State) Expect(zone string, weight int64) {
	s.largest[zone] = max(s.largest[zone], weight)
}

// settled reports whether the process has listened for long enough to take a zone's cell.
func (s *State) settled(now time.Duration, zone string) bool {
	if muchLarger(s.largest[zone], s.self.Weight) {
		return now >= s.started+expectTime
	}
	return now >= s.started+settleTime
}

// patience returns how long the host waits without hearing any other one. One that knows a
// much larger host of the zone is more likely short of processor time.
func (s *State) patience(zone string) time.Duration {
	if muchLarger(s.largest[zone], s.self.Weight) {
		return starvedTime
	}
	return aloneTime
}

// muchLarger reports whether a weight is so much larger than another one that a change of
// command pays.
func muchLarger(a, b int64) bool { return a > 0 && 2*a >= 3*b }

// Claim returns the claim on a cell, or nil. The caller keeps Held and Commanded up to date.
func (s *State) Claim(cell fleet.Cell) *Claim { return s.claims[cell] }

// Claims returns the claims in a fixed order.
func (s *State) Claims() []*Claim {
	list := make([]*Claim, 0, len(s.claims))
	for _, c := range s.claims {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *Claim) int { return cmp.Compare(a.Cell, b.Cell) })
	return list
}

// Take notes that the host takes a cell under a fencing token.
func (s *State) Take(now time.Duration, cell fleet.Cell, fence int64) {
	s.claims[cell] = &Claim{Cell: cell, Fence: fence}
	s.takenAt[cell] = now
}

// Lose notes that the workers of a cell obey another host.
func (s *State) Lose(now time.Duration, cell fleet.Cell) {
	delete(s.claims, cell)
	s.lostAt[cell] = now
	pause := retryTime
	if now-s.takenAt[cell] < firmTime {
		pause = min(pause, quickRetry<<min(s.quick[cell], maxDoublings))
		s.quick[cell]++
	} else {
		s.quick[cell] = 0
	}
	s.retry[cell] = now + pause
}

// Drain starts to hand over all cells.
func (s *State) Drain() {
	s.self.Draining = true
	for _, c := range s.claims {
		c.Releasing = true
	}
}

// HandOver starts to hand over a cell.
func (s *State) HandOver(cell fleet.Cell) {
	if c := s.claims[cell]; c != nil {
		c.Releasing = true
	}
}

// Released notes that a cell has been handed over completely.
func (s *State) Released(cell fleet.Cell) { delete(s.claims, cell) }

// Decide returns what to change about a cell, given the other hosts that are heard.
func (s *State) Decide(now time.Duration, cell fleet.Cell, others []Host) (Decision, bool) {
	if len(others) > 0 {
		s.heard = now
	}
	mine := s.claims[cell]
	best, found := holder(cell, others)
	switch {
	case mine != nil && mine.Releasing:
		return Decision{}, false
	case mine != nil:
		if found && mine.weaker(best) {
			return Decision{Kind: GiveUp, Reason: "another host commands more workers of the cell"}, true
		}
		if s.muchStronger(cell, others) {
			return Decision{Kind: HandOver, Reason: "a larger host can command the cell"}, true
		}
		return Decision{}, false
	case found || s.self.Draining || !s.settled(now, cell.Zone()) || now < s.retry[cell]:
		return Decision{}, false
	case len(others) == 0 && s.heard != 0 && now < s.heard+s.patience(cell.Zone()):
		return Decision{}, false
	case len(others) == 0 && s.lostAt[cell] != 0 && now < s.lostAt[cell]+aloneRetry:
		return Decision{}, false
	case s.rankedFirst(cell, others):
		return Decision{Kind: TakeCell, Reason: "no host commands the cell"}, true
	}
	return Decision{}, false
}

// Holder returns the host whose claim on a cell counts. A host that hands the cell
// over does not hold it.
func Holder(cell fleet.Cell, hosts []Host) (Host, Claim, bool) {
	var host Host
	var best Claim
	found := false
	for _, h := range hosts {
		for _, c := range h.Claims {
			if c.Cell != cell || c.Releasing || h.Draining {
				continue
			}
			if !found || best.weaker(c) {
				host, best, found = h, c, true
			}
		}
	}
	return host, best, found
}

func holder(cell fleet.Cell, hosts []Host) (Claim, bool) {
	_, c, found := Holder(cell, hosts)
	return c, found
}

// weaker orders claims on one cell: the host that more workers obey keeps it, so that one
// returning from a partition does not take it away.
func (c Claim) weaker(other Claim) bool {
	if c.Commanded != other.Commanded {
		return c.Commanded < other.Commanded
	}
	return c.Fence < other.Fence
}

// rankedFirst reports whether this host is the one to take a cell without a holder: the largest
// of its zone for the cells that it has, and of several such the first in a hash of cell and host.
func (s *State) rankedFirst(cell fleet.Cell, others []Host) bool {
	zone := cell.Zone()
	if s.self.Zone != zone {
		return false
	}
	share := s.self.Weight / int64(len(s.claims)+1)
	for _, h := range others {
		if h.Zone == zone && !h.Draining && ranksBefore(cell, h.Name, h.share(), s.self.Name, share) {
			return false
		}
	}
	return true
}

// share returns the processors that the host would have for one more cell.
func (h Host) share() int64 { return h.Weight / int64(len(h.Claims)+1) }

// ranksBefore orders two hosts by the processors that they have for a cell.
func ranksBefore(cell fleet.Cell, a string, shareA int64, b string, shareB int64) bool {
	if shareA != shareB {
		return shareA > shareB
	}
	return hash(cell, a) < hash(cell, b)
}

// muchStronger reports whether a host of the zone has so much more processor time for the cell
// than this one, which has it, that a change of command pays.
func (s *State) muchStronger(cell fleet.Cell, others []Host) bool {
	zone := cell.Zone()
	share := s.self.Weight / int64(max(1, len(s.claims)))
	for _, h := range others {
		if h.Zone == zone && !h.Draining && h.Age >= steadyTime && muchLarger(h.share(), share) {
			return true
		}
	}
	return false
}

func hash(cell fleet.Cell, host string) uint64 {
	return xxhash.Sum64String(string(cell) + "\x00" + host)
}
