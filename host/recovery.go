package host

import (
	"cmp"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/owner"
)

const (
	// maxCellAbsence is how long jobs wait for a cell of the own zone that has no commander. A host that
	// starts takes one within a second and a half, also if a larger one has not come back.
	maxCellAbsence = 3 * time.Second
	// usefulLateness is the multiple of a job's objective after which its answer is of no use.
	usefulLateness = 3
	// drawnCellSlack is the share of a job's slack for which it waits for the one cell that was drawn for
	// it while another cell of the zone is there. The rest is for the wait in that one.
	drawnCellSlack = 0.5
	// maxDrawnAbsence is how long after a cell was first missed jobs wait for the one that was drawn.
	maxDrawnAbsence = time.Second
	// crowdTime is how long after the own zone has come back refused jobs are offered again once, and
	// offerAgainDelay the time until that. The crowd of jobs that have waited fills all cells at once, and room
	// appears again as soon as the first of them have ended.
	crowdTime       = 2 * time.Second
	offerAgainDelay = 60 * time.Millisecond
	// unknownTaskDuration is assumed for tasks whose caller gives no estimate.
	unknownTaskDuration = 200 * time.Millisecond
)

// recovery is what the host knows of cells that are about to come back: workers are listed and no host has
// announced that it commands them. That is so for a moment after all machines or those of a zone have lost
// power. The first cells that are announced then have all workers free and would be offered the jobs of
// all hosts.
type recovery struct {
	checked        bool          // cells have been looked at
	since          time.Duration // when a cell of the own zone was first without a commander; 0: none is
	missing        []fleet.Cell  // cells of the own zone without a commander
	lastMissing    time.Duration // when a cell of the own zone was last without a commander; 0: never
	starting       bool          // this process is new and knows no commander in its zone
	returningHosts int64         // hosts of the zones that have such cells, at least 1
}

// updateRecovery looks for cells without a commander.
func (s *State) updateRecovery(now time.Duration, others []owner.Host) {
	r := &s.recovery
	r.checked = true
	all := append(others, s.ownHost())
	r.missing = s.cellsWithoutCommander(s.opts.Self.Zone, all)
	r.starting = now-s.opts.Started < maxCellAbsence && len(r.missing) == len(s.zoneCells(s.opts.Self.Zone))
	if len(r.missing) == 0 {
		r.since = 0
		return
	}
	if r.since == 0 {
		r.since = now
	}
	r.lastMissing = now
	returning := make(map[string]bool)
	for _, zone := range s.opts.Zones {
		returning[zone] = len(s.cellsWithoutCommander(zone, all)) > 0
	}
	r.returningHosts = 1
	for _, p := range s.sortedPeers {
		if returning[p.zone()] {
			r.returningHosts++
		}
	}
}

// cellsWithoutCommander returns the cells of a zone that none of the hosts commands.
func (s *State) cellsWithoutCommander(zone string, hosts []owner.Host) []fleet.Cell {
	var missing []fleet.Cell
	for _, cell := range s.zoneCells(zone) {
		if _, _, found := owner.CommanderOf(cell, hosts); !found {
			missing = append(missing, cell)
		}
	}
	return missing
}

// recheckRecovery lets the jobs that wait for a cell go there as soon as a host of the own zone announces
// one. The cells that are still missing may be for this host to take then.
func (s *State) recheckRecovery(now time.Duration, p *peer) {
	if s.recovery.since == 0 || p.info.GetZone() != s.opts.Self.Zone || !p.commands() {
		return
	}
	before := len(s.recovery.missing)
	s.updateRecovery(now, s.liveHosts(now))
	if left := len(s.recovery.missing); left > 0 && left < before {
		s.decideCells(now)
	}
	s.retryJobs(now)
}

// comesBack reports whether a cell of the own zone is expected to get a commander soon.
func (s *State) comesBack(now time.Duration, cell fleet.Cell) bool {
	return s.recovery.since != 0 && now-s.recovery.since < maxCellAbsence && slices.Contains(s.recovery.missing, cell) && !s.draining
}

// serviceComesBack reports whether a cell of the own zone with workers of a service is expected to get a
// commander soon. While no worker is known at all, every cell may have some.
func (s *State) serviceComesBack(now time.Duration, service string) bool {
	if s.recovery.since == 0 || now-s.recovery.since >= maxCellAbsence || s.draining || s.evacuations.evacuated(s.opts.Self.Zone) {
		return false
	}
	for _, e := range s.sortedEntries() {
		if e.serves(s.opts.Self.Zone, service) && s.comesBack(now, s.workerCell(e)) {
			return true
		}
	}
	return len(s.workers) == 0
}

// serves reports whether the entry is that of a worker of a service in a zone that takes tasks.
func (e *workerEntry) serves(zone, service string) bool {
	return e.info.Zone == zone && e.info.Service == service && e.removedAt == 0 && !e.info.Draining && e.info.Capacity.CPU > 0
}

// workerForwardDelayWithoutStore is the delay before entries of workers are forwarded to a new process that
// the store does not answer. Hosts that the store answers have read them by then.
const workerForwardDelayWithoutStore = 500 * time.Millisecond

// workerForwardDelayFor returns how long a new process has to read the workers itself.
func workerForwardDelayFor(p *peer) time.Duration {
	if p.status.GetStarting() && !p.status.GetStoreReachable() {
		return workerForwardDelayWithoutStore
	}
	return workerForwardDelay
}

// lacksAllSources reports whether a peer can learn of the workers of its zone neither from the store nor from
// a commander there. Commanders of other zones then forward what they have read of its zone.
func (s *State) lacksAllSources(p *peer) bool {
	if p.status.GetStoreReachable() {
		return false
	}
	return len(s.cellsWithoutCommander(p.info.GetZone(), append(s.liveHosts(0), s.ownHost()))) > 0
}

// waitsForOwnZone reports whether a job waits for a cell of its own zone that comes back, instead of going
// to the given cell, which may be nil.
func (s *State) waitsForOwnZone(now time.Duration, j *job, c *cellCandidate) bool {
	switch {
	case now >= j.usefulStart() || !s.serviceComesBack(now, j.route.Service):
		return false
	case c == nil:
		return true
	case c.name.Zone() != s.opts.Self.Zone:
		return !s.hasRoomForReturning(c, j)
	}
	if j.drawnCell == "" {
		j.drawnCell = s.drawCell(j.route.Service)
	}
	return s.comesBack(now, j.drawnCell) && now-s.recovery.since < maxDrawnAbsence && now < j.arrived+time.Duration(drawnCellSlack*float64(j.slack()))
}

// offersAgain reports whether a job that all cells have refused just after the own zone has come back is
// offered to them again a moment later.
func (s *State) offersAgain(now time.Duration, j *job) bool {
	r := &s.recovery
	if r.lastMissing == 0 || now-r.lastMissing > crowdTime || j.offerAgainAt != 0 || now+offerAgainDelay >= j.usefulStart() || s.draining {
		return false
	}
	j.offerAgainAt = now + offerAgainDelay
	clear(j.refusedBy)
	return true
}

// hasRoomForReturning reports whether a cell of another zone has free room for a job now, if all hosts of
// zones that come back send jobs there. They all know the same of its load.
func (s *State) hasRoomForReturning(c *cellCandidate, j *job) bool {
	if c.peer == nil {
		return true
	}
	assigned := c.peer.assignedWork[c.name]
	need := int64(j.spec.Tasks) * j.spec.Need.CPU
	return c.wait == 0 && assigned+need <= (c.load.FreeCPU+assigned)/max(1, s.recovery.returningHosts)
}

// drawCell draws a cell of the own zone by the CPU of its listed workers of a service, so that jobs are
// spread over the cells by what these will have. It returns an empty name if no worker is listed.
func (s *State) drawCell(service string) fleet.Cell {
	var drawn fleet.Cell
	total := int64(0)
	for _, e := range s.sortedEntries() {
		if !e.serves(s.opts.Self.Zone, service) {
			continue
		}
		total += e.info.Capacity.CPU
		if s.rng.Int64N(total) < e.info.Capacity.CPU {
			drawn = s.workerCell(e)
		}
	}
	return drawn
}

// taskDuration returns the duration of the job's tasks as far as this host knows it.
func (j *job) taskDuration() time.Duration { return cmp.Or(j.spec.Estimate, unknownTaskDuration) }

// slack returns the time for which the job can wait and still be answered within its objective.
func (j *job) slack() time.Duration {
	return time.Duration((max(1, j.route.SlackFactor)-1)*float64(j.taskDuration())) + j.route.ObjectiveOffset
}

// usefulStart returns the time after which a start of the job's tasks is of no use, at least cellWaitLimit
// after its arrival.
func (j *job) usefulStart() time.Duration {
	objective := j.slack() + j.taskDuration()
	useful := min(j.arrived+usefulLateness*objective, j.deadline) - j.taskDuration()
	return max(useful, min(j.arrived+cellWaitLimit, j.deadline))
}
