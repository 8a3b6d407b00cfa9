// Package owner decides which host commands a cell: the workers of an availability zone, or a part
// of them. Each host decides for itself from what the other hosts announce. No decision needs
// agreement, because a worker obeys only the highest fencing token that it has seen. A wrong view
// therefore costs a change of command, but never leads to two commanders of a worker.
//
// A host keeps a cell while it lives, so hosts that join cause no change, with one exception: a
// host with a much larger share of processors for the cell gets it handed over, worker by worker. A
// cell without a live commander goes to the live host of its zone that has the largest share of
// processors for one more cell.
//
// The package does no I/O and reads no clock. Package host passes in the announcements, allots
// fencing tokens and carries out the decisions; package sched schedules the jobs of the cells that
// the host commands.
package owner

import (
	"cmp"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// listenTime is how long a new process listens to other hosts before it takes a cell.
	listenTime = 350 * time.Millisecond
	// minListenTime is that time if all hosts that could command the cell have been heard.
	minListenTime = 50 * time.Millisecond
	// restartListenTime is that time if the hosts of the zone have all just started. A live commander answers
	// within milliseconds.
	restartListenTime = 100 * time.Millisecond
	// largerHostListenTime is how long it listens if a much larger host of the zone is known, or likely
	// because it is small itself, to give that one time to be heard.
	largerHostListenTime = 1500 * time.Millisecond
	// smallHostWeight is the processor time, in thousandths of a core, below which a host counts as small.
	// Such a host cannot command a cell of 100 workers and exchange jobs with 100 hosts.
	smallHostWeight = 300
	// retakeDelay is the longest pause before a host takes a cell again that it has lost.
	retakeDelay = 2 * time.Second
	// minRetakeDelay is that pause after a claim was lost before establishedClaimAge, most likely
	// because the workers have seen a higher token of a process that is gone. It doubles with each
	// such loss in a row.
	minRetakeDelay = 150 * time.Millisecond
	// maxRetakeDoublings is the limit on the number of doublings.
	maxRetakeDoublings = 4
	// establishedClaimAge is the age of a claim from which on its loss is due to a live host.
	establishedClaimAge = time.Second
	// isolatedRetakeDelay is the pause after a loss for a host that hears no other one. It is more
	// likely cut off from the network than the last host alive.
	isolatedRetakeDelay = 10 * time.Second
	// isolatedTakeDelay is how long a host that no longer hears any other one waits before it takes a
	// cell.
	isolatedTakeDelay = 3 * time.Second
	// isolatedTakeDelayOfSmallHost is that delay for a host that knows a much larger one of its zone.
	isolatedTakeDelayOfSmallHost = 15 * time.Second
	// minHandOverAge is how long a larger host has to have been heard before a cell is handed over to
	// it.
	minHandOverAge = 2 * time.Second
)

// Host is what is known of a host, this one included.
type Host struct {
	Name     string
	Zone     string
	ID       uint64        // random identity of its process
	Weight   int64         // processors, in thousandths of a core
	Age      time.Duration // time since the host was first heard
	Draining bool
	Claims   []Claim
}

// Claim is the announcement of a host that it commands a cell.
type Claim struct {
	Cell           fleet.Cell
	Fence          int64
	Releasing      bool     // the cell is being handed over worker by worker
	HeldWorkers    []string // IDs of the workers not yet released
	CommandedCount int      // number of workers that obey the host
}

// Kind is the kind of a decision.
type Kind int

// The decisions.
const (
	TakeCell Kind = iota + 1 // claim the cell and take its workers
	HandOver                 // release each worker when its last run is over
	GiveUp                   // at once, because the workers obey another host
)

// Decision is a change of this host's claim on a cell.
type Decision struct {
	Kind   Kind
	Reason string
}

// State holds the claims of this host and what decides about them. Create it with New.
type State struct {
	self          Host
	startedAt     time.Duration // start of the process
	claims        map[fleet.Cell]*Claim
	retakeAfter   map[fleet.Cell]time.Duration // earliest time to take a lost cell again
	lostAt        map[fleet.Cell]time.Duration
	takenAt       map[fleet.Cell]time.Duration
	quickLosses   map[fleet.Cell]uint // losses in a row before establishedClaimAge
	largestWeight map[string]int64    // of the known hosts, by zone
	lastHeardAt   time.Duration       // when any other host was last heard; 0: never
	zoneHeard     bool                // see RecordZoneHeard
	zoneRestarts  bool
}

// New returns the state of a process that starts now.
func New(now time.Duration, self Host) *State {
	return &State{
		self:          self,
		startedAt:     now,
		claims:        make(map[fleet.Cell]*Claim),
		retakeAfter:   make(map[fleet.Cell]time.Duration),
		lostAt:        make(map[fleet.Cell]time.Duration),
		takenAt:       make(map[fleet.Cell]time.Duration),
		quickLosses:   make(map[fleet.Cell]uint),
		largestWeight: make(map[string]int64),
	}
}

// RecordKnownHost records that a host of a zone exists, with its weight, whether it is heard or not.
func (s *State) RecordKnownHost(zone string, weight int64) {
	s.largestWeight[zone] = max(s.largestWeight[zone], weight)
}

// RecordZoneHeard records what a new process has heard of its zone. all reports whether all hosts that may
// command its cells, or are as fit for it, have been heard, as far as they are known: listening for longer
// then brings no other claim to light. restarts reports whether those heard have all just started, so that
// most likely no commander is left.
func (s *State) RecordZoneHeard(all, restarts bool) { s.zoneHeard, s.zoneRestarts = all, restarts }

// hasListened reports whether the process has listened long enough to take a cell of a zone.
func (s *State) hasListened(now time.Duration, zone string) bool {
	if s.zoneHeard && now >= s.startedAt+minListenTime {
		return true
	}
	if s.self.Weight < smallHostWeight || muchLarger(s.largestWeight[zone], s.self.Weight) {
		return now >= s.startedAt+largerHostListenTime
	}
	if s.zoneRestarts {
		return now >= s.startedAt+restartListenTime
	}
	return now >= s.startedAt+listenTime
}

// takeDelayWhenIsolated returns how long a host that no longer hears any other one waits before it
// takes a cell of a zone. A host that knows a much larger one of the zone waits longer, since it is
// more likely short of processor time.
func (s *State) takeDelayWhenIsolated(zone string) time.Duration {
	if muchLarger(s.largestWeight[zone], s.self.Weight) {
		return isolatedTakeDelayOfSmallHost
	}
	return isolatedTakeDelay
}

// Claim returns the claim of this host on a cell, or nil. The caller keeps its HeldWorkers and CommandedCount
// up to date.
func (s *State) Claim(cell fleet.Cell) *Claim { return s.claims[cell] }

// HasClaims reports whether this host claims any cell.
func (s *State) HasClaims() bool { return len(s.claims) > 0 }

// Claims returns the claims of this host, sorted by cell.
func (s *State) Claims() []*Claim {
	list := make([]*Claim, 0, len(s.claims))
	for _, c := range s.claims {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *Claim) int { return cmp.Compare(a.Cell, b.Cell) })
	return list
}

// RecordTake records that this host claims a cell under a fencing token.
func (s *State) RecordTake(now time.Duration, cell fleet.Cell, fence int64) {
	s.claims[cell] = &Claim{Cell: cell, Fence: fence}
	s.takenAt[cell] = now
}

// RecordLoss records that the workers of a cell obey another host, and sets when this host may take it
// again.
func (s *State) RecordLoss(now time.Duration, cell fleet.Cell) {
	delete(s.claims, cell)
	s.lostAt[cell] = now
	pause := retakeDelay
	if now-s.takenAt[cell] < establishedClaimAge {
		pause = min(pause, minRetakeDelay<<min(s.quickLosses[cell], maxRetakeDoublings))
		s.quickLosses[cell]++
	} else {
		s.quickLosses[cell] = 0
	}
	s.retakeAfter[cell] = now + pause
}

// StartDrain marks all cells as being handed over. The host takes no cell any more.
func (s *State) StartDrain() {
	s.self.Draining = true
	for _, c := range s.claims {
		c.Releasing = true
	}
}

// StartHandOver marks a cell as being handed over.
func (s *State) StartHandOver(cell fleet.Cell) {
	if c := s.claims[cell]; c != nil {
		c.Releasing = true
	}
}

// RecordRelease records that a cell has been handed over completely.
func (s *State) RecordRelease(cell fleet.Cell) { delete(s.claims, cell) }

// Decide returns what to change about a cell, given the other hosts that are heard now. It returns
// false if nothing is to be changed.
func (s *State) Decide(now time.Duration, cell fleet.Cell, others []Host) (Decision, bool) {
	if len(others) > 0 {
		s.lastHeardAt = now
	}
	own := s.claims[cell]
	holding, found := holdingClaim(cell, others)
	switch {
	case own != nil && own.Releasing:
		return Decision{}, false
	case own != nil:
		if found && own.weakerThan(holding) {
			return Decision{Kind: GiveUp, Reason: "another host commands more workers of the cell"}, true
		}
		if s.muchStrongerHostExists(cell, others) {
			return Decision{Kind: HandOver, Reason: "a larger host can command the cell"}, true
		}
		return Decision{}, false
	case found || s.self.Draining || !s.hasListened(now, cell.Zone()) || now < s.retakeAfter[cell]:
		return Decision{}, false
	case len(others) == 0 && s.lastHeardAt != 0 && now < s.lastHeardAt+s.takeDelayWhenIsolated(cell.Zone()):
		return Decision{}, false
	case len(others) == 0 && s.lostAt[cell] != 0 && now < s.lostAt[cell]+isolatedRetakeDelay:
		return Decision{}, false
	case s.isBestCandidate(cell, others):
		return Decision{Kind: TakeCell, Reason: "no host commands the cell"}, true
	}
	return Decision{}, false
}

// CommanderOf returns the host whose claim on a cell prevails, and that claim. Hosts that drain or hand
// the cell over do not count.
func CommanderOf(cell fleet.Cell, hosts []Host) (Host, Claim, bool) {
	var host Host
	var best Claim
	found := false
	for _, h := range hosts {
		for _, c := range h.Claims {
			if c.Cell != cell || c.Releasing || h.Draining {
				continue
			}
			if !found || best.weakerThan(c) {
				host, best, found = h, c, true
			}
		}
	}
	return host, best, found
}

// holdingClaim returns the claim on a cell that prevails.
func holdingClaim(cell fleet.Cell, hosts []Host) (Claim, bool) {
	_, c, found := CommanderOf(cell, hosts)
	return c, found
}

// weakerThan reports whether a claim gives way to another one on the same cell. The host that more
// workers obey keeps the cell, so that a host returning from a network partition does not take it
// away.
func (c Claim) weakerThan(other Claim) bool {
	if c.CommandedCount != other.CommandedCount {
		return c.CommandedCount < other.CommandedCount
	}
	return c.Fence < other.Fence
}
