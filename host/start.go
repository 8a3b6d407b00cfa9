package host

import (
	"time"

	"sesameledge.dev/sesameledge/owner"
)

// StartPhase is a step between the start of a process and its work at the full rate.
type StartPhase int

// The phases, in their usual order.
const (
	StartConfig       StartPhase = iota // a configuration is in force
	StartHosts                          // the list of hosts was read
	StartWorkers                        // workers of the own zone are known
	StartContact                        // another host has answered
	StartCellTaken                      // this host has taken a cell
	StartFirstWorker                    // a worker obeys this host
	StartWorkersHeld                    // nine in ten of the workers of the own cells do
	StartCellsCovered                   // all cells of the own zone have a commander
	StartFirstJob                       // a job was assigned to a cell
	startPhases
)

var startPhaseNames = [startPhases]string{
	"config", "hosts", "workers", "contact", "cell_taken", "first_worker", "workers_held", "cells_covered", "first_job",
}

// StartPhases returns the names of the phases.
func StartPhases() []string { return startPhaseNames[:] }

// String implements fmt.Stringer.
func (p StartPhase) String() string { return startPhaseNames[p] }

const (
	// maxStartTime is the time after which a start is logged although phases are missing. Hosts without a
	// cell or without callers never reach some of them.
	maxStartTime = 10 * time.Second
	// minStartLogAge is the earliest time for that line. Starts write many lines, of which the bound of the log
	// leaves some out.
	minStartLogAge = 3 * time.Second
	// heldTenths is the share, in tenths, of the workers of the own cells for StartWorkersHeld. A few
	// listed workers may be down.
	heldTenths = 9
	// restartWitnesses is the number of hosts for zoneRestarts in a zone of more than four.
	restartWitnesses = 2
)

// startRecord holds when the process reached each phase, counted from its start.
type startRecord struct {
	after  [startPhases]time.Duration // 0: not yet
	logged bool
}

// recordStart records that a phase has been reached, the first time.
func (s *State) recordStart(now time.Duration, p StartPhase) {
	if s.start.after[p] == 0 {
		s.start.after[p] = max(1, now-s.opts.Started)
	}
}

// StartTimes returns the time from the start of the process to each phase that it has reached.
func (s *State) StartTimes() map[string]time.Duration {
	times := make(map[string]time.Duration)
	for p, d := range s.start.after {
		if d > 0 {
			times[StartPhase(p).String()] = d
		}
	}
	return times
}

// trackStart records the phases that have been reached and logs the breakdown of the start when all of
// them have been, or after maxStartTime.
func (s *State) trackStart(now time.Duration) {
	if s.start.logged {
		return
	}
	record := func(p StartPhase, reached func() bool) {
		if s.start.after[p] == 0 && reached() {
			s.recordStart(now, p)
		}
	}
	record(StartConfig, func() bool { return s.config != nil })
	record(StartHosts, func() bool { return s.hostsRead })
	record(StartWorkers, s.knowsOwnWorkers)
	record(StartContact, s.hasContact)
	record(StartCellTaken, func() bool { return s.stats.CellsTaken > 0 })
	record(StartCellsCovered, func() bool { return s.config != nil && s.recovery.checked && len(s.recovery.missing) == 0 })
	s.trackHeldWorkers(now)
	complete := true
	for p, d := range s.start.after {
		ofCommander := StartPhase(p) >= StartCellTaken && StartPhase(p) <= StartWorkersHeld
		complete = complete && (d > 0 || ofCommander && !s.owner.HasClaims())
	}
	if now-s.opts.Started < minStartLogAge || !complete && now-s.opts.Started < maxStartTime {
		return
	}
	s.start.logged = true
	fields := []any{"complete", complete}
	for p, d := range s.start.after {
		if d > 0 {
			fields = append(fields, StartPhase(p).String(), d.Round(time.Millisecond))
		}
	}
	s.log("host", "", "start", fields...)
}

// trackHeldWorkers records the phases that concern the workers of own cells.
func (s *State) trackHeldWorkers(now time.Duration) {
	if !s.owner.HasClaims() || s.start.after[StartFirstWorker] > 0 && s.start.after[StartWorkersHeld] > 0 {
		return
	}
	held, listed := 0, 0
	for _, e := range s.sortedEntries() {
		if s.owner.Claim(s.workerCell(e)) == nil || e.removedAt != 0 {
			continue
		}
		listed++
		if s.sched.AcceptedBy(e.info.ID) {
			held++
		}
	}
	if held > 0 {
		s.recordStart(now, StartFirstWorker)
	}
	if listed > 0 && 10*held >= heldTenths*listed {
		s.recordStart(now, StartWorkersHeld)
	}
}

// knowsOwnWorkers reports whether a worker of the own zone is known.
func (s *State) knowsOwnWorkers() bool {
	for _, e := range s.sortedEntries() {
		if e.info.Zone == s.opts.Self.Zone {
			return true
		}
	}
	return false
}

// hasContact reports whether another host is live.
func (s *State) hasContact() bool {
	for _, p := range s.sortedPeers {
		if p.live {
			return true
		}
	}
	return false
}

// hasHeardZone reports whether all hosts of the own zone have been heard that may command its cells, or
// are as fit for it as this one. No other host can then have a claim that this one does not know, so that
// it need not listen for longer before it takes a cell. Records of hosts that are gone for good make it
// false, as does a list without hosts of the zone, which may only not be written yet; it then listens for the
// full time.
func (s *State) hasHeardZone() bool {
	if !s.hostsRead || !s.knowsOwnWorkers() {
		return false
	}
	heard := false
	for _, p := range s.sortedPeers {
		if !p.listed || p.discoveredZone != s.opts.Self.Zone {
			continue
		}
		if !p.live && (p.commanded || owner.Comparable(p.listedWeight, s.opts.Self.Weight)) {
			return false
		}
		heard = heard || p.live
	}
	return heard
}

// zoneRestarts reports whether some hosts of the own zone are live and all of them have started a moment ago
// and know no commander. The zone then most likely comes back from a loss of all its hosts, since a host that
// kept running would have answered as well.
func (s *State) zoneRestarts() bool {
	listed, starting := 0, 0
	for _, p := range s.sortedPeers {
		if p.zone() != s.opts.Self.Zone {
			continue
		}
		if p.live && !p.status.GetStarting() {
			return false
		}
		if p.live {
			starting++
		}
		if p.listed {
			listed++
		}
	}
	return s.hostsRead && s.knowsOwnWorkers() && starting > 0 && starting >= min(restartWitnesses, (listed+1)/2)
}

// recordListedHosts records what the store tells of other hosts.
func (s *State) recordListedHosts(e HostsDiscovered) {
	for _, h := range e.Hosts {
		if p := s.peers[h.GetAddr()]; p != nil && e.FromStore {
			p.listed, p.listedWeight, p.commanded = true, h.GetWeight(), e.Records[h.GetAddr()].Commanded
		}
	}
	s.hostsRead = s.hostsRead || e.FromStore
}
