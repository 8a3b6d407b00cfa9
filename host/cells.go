package host

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/owner"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// workerRetakeDelay is how long this host waits before it takes command again of a worker that has
	// refused its fencing token.
	workerRetakeDelay = 2 * time.Second
)

// decideCells takes cells, hands them over or gives them up as package owner decides, and hands
// over the cells of an earlier division of their zone.
func (s *State) decideCells(now time.Duration) {
	others := s.liveHosts(now)
	s.updateZoneParts(now, others)
	if now-s.opts.Started < maxStartTime {
		s.owner.RecordZoneHeard(s.hasHeardZone(), s.zoneRestarts())
	}
	for _, c := range s.owner.Claims() {
		if s.outdated(c.Cell) && !c.Releasing {
			s.applyDecision(now, c.Cell, owner.Decision{Kind: owner.HandOver, Reason: "the zone is divided anew"})
		}
	}
	for _, zone := range s.opts.Zones {
		for _, cell := range s.zoneCells(zone) {
			d, ok := s.owner.Decide(now, cell, others)
			if ok {
				s.applyDecision(now, cell, d)
			}
			s.takeWorkers(now, cell, others)
		}
	}
	s.readsWorkers = s.needsWorkerReads(others)
	s.updateRecovery(now, others)
}

// applyDecision carries out a decision of package owner about a cell.
func (s *State) applyDecision(now time.Duration, cell fleet.Cell, d owner.Decision) {
	switch d.Kind {
	case owner.TakeCell:
		s.takeCell(now, cell, d.Reason)
	case owner.HandOver:
		s.log("owner", "", "handing over a cell", "cell", cell, "reason", d.Reason)
		s.owner.StartHandOver(cell)
		s.handOverCell(now, cell)
		s.makeAllFramesDue()
	case owner.GiveUp:
		s.log("owner", "", "cell given up", "cell", cell, "reason", d.Reason)
		s.owner.RecordLoss(now, cell)
		s.handOverCell(now, cell)
	}
}

// handOverCell refuses the jobs of a cell that have not started, so that their hosts can send them
// elsewhere, and releases each worker when its last run has ended.
func (s *State) handOverCell(now time.Duration, cell fleet.Cell) {
	s.sched.CloseCell(now, cell)
	s.releaseWorkers(now, cell)
	if len(s.heldWorkers(cell)) == 0 {
		s.owner.RecordRelease(cell)
	}
}

// makeAllFramesDue makes the next Step send a frame to every host.
func (s *State) makeAllFramesDue() {
	for _, p := range s.peers {
		p.makeFrameDue()
	}
}

// takeCell takes a cell with a new fencing token and makes a frame to every peer due.
func (s *State) takeCell(now time.Duration, cell fleet.Cell, reason string) {
	fence := s.newFence(now)
	s.owner.RecordTake(now, cell, fence)
	s.emit(AnnounceFence{Fence: fence})
	s.sched.OpenCell(cell)
	s.stats.CellsTaken++
	s.makeAllFramesDue()
	s.log("owner", "", "cell taken", "cell", cell, "fence", fence, "reason", reason)
}

// takeWorkers takes command of those workers of an own cell that are not still used by another host or
// by another cell of this host.
func (s *State) takeWorkers(now time.Duration, cell fleet.Cell, others []owner.Host) {
	claim := s.owner.Claim(cell)
	if claim == nil || claim.Releasing {
		return
	}
	zone := cell.Zone()
	held := heldByOthers(zone, others)
	before := claim.CommandedCount
	defer func() {
		if claim.CommandedCount >= max(1, 2*before) {
			s.makeAllFramesDue() // hosts of other zones would hear of the workers at the next heartbeat only
		}
	}()
	claim.CommandedCount = 0
	for _, e := range s.sortedEntries() {
		if e.info.Zone != zone || s.workerCell(e) != cell || e.expired(now) {
			continue
		}
		switch id := e.info.ID; {
		case s.sched.Commands(id):
			if s.sched.AcceptedBy(id) && s.sched.CellOf(id) == cell {
				claim.CommandedCount++
			}
		case held[id] || now < s.fencedUntil[id]:
		default:
			fence := claim.Fence
			if _, lost := s.fencedUntil[id]; lost {
				fence = s.newFence(now)
				delete(s.fencedUntil, id)
			}
			s.updateDirectory(now)
			s.sched.Step(now, sched.TakeWorker{Worker: id, Cell: cell, Fence: fence})
		}
	}
}

// heldByOthers returns the workers of a zone that are still used by hosts that hand over a cell.
func heldByOthers(zone string, others []owner.Host) map[string]bool {
	held := make(map[string]bool)
	for _, h := range others {
		for _, c := range h.Claims {
			if c.Cell.Zone() != zone {
				continue
			}
			for _, id := range c.HeldWorkers {
				held[id] = true
			}
		}
	}
	return held
}

// handleWorkerFenced records that a worker obeys another host. A cell that has lost more than half
// of its workers is given up.
func (s *State) handleWorkerFenced(now time.Duration, id string) {
	e := s.workers[id]
	if e == nil {
		return
	}
	s.fencedUntil[id] = now + workerRetakeDelay
	cell := s.sched.CellOf(id)
	claim := s.owner.Claim(cell)
	if claim == nil {
		return
	}
	zone, total, lost := cell.Zone(), 0, 0
	for _, other := range s.sortedEntries() {
		if other.info.Zone != zone || s.workerCell(other) != cell {
			continue
		}
		total++
		if now < s.fencedUntil[other.info.ID] {
			lost++
		}
	}
	if 2*lost <= total {
		return
	}
	s.recordCellLoss(now)
	s.stats.CellsLost++
	s.log("owner", "", "cell lost", "cell", cell, "fence", claim.Fence, "lost", lost, "workers", total)
	s.owner.RecordLoss(now, cell)
	s.handOverCell(now, cell)
}

// releaseWorkers releases each worker of a cell when its last run has ended.
func (s *State) releaseWorkers(now time.Duration, cell fleet.Cell) {
	for _, id := range s.heldWorkers(cell) {
		s.sched.Step(now, sched.ReleaseWorker{Worker: id})
	}
}

// handleWorkerReleased completes the handover of a cell when its last worker has been released.
func (s *State) handleWorkerReleased(id string) {
	cell := s.sched.CellOf(id)
	claim := s.owner.Claim(cell)
	if claim == nil || !claim.Releasing {
		return
	}
	if len(s.heldWorkers(cell)) == 0 {
		s.log("owner", "", "cell handed over", "cell", cell)
		s.owner.RecordRelease(cell)
	}
}

// heldWorkers returns the workers of a cell that this host commands.
func (s *State) heldWorkers(cell fleet.Cell) []string {
	var held []string
	for _, e := range s.sortedEntries() {
		if s.sched.Commands(e.info.ID) && s.sched.CellOf(e.info.ID) == cell {
			held = append(held, e.info.ID)
		}
	}
	return held
}

// handleDrain hands over all cells and refuses their jobs that have not started.
func (s *State) handleDrain(now time.Duration) {
	s.draining = true
	s.owner.StartDrain()
	for _, c := range s.owner.Claims() {
		s.log("owner", "", "handing over a cell", "cell", c.Cell, "reason", "the host shuts down")
		s.handOverCell(now, c.Cell)
	}
	s.makeAllFramesDue()
}

// ownStatus returns the status that the host sends to its peers.
func (s *State) ownStatus() *meshpb.Status {
	st := &meshpb.Status{Draining: s.draining, MaxFence: s.maxFence, StoreReachable: s.storeReachable, ConfigWait: s.configWait(), ServesConfig: true, Starting: s.recovery.starting, EvacuationOffset: s.evacuations.wirePosition()}
	if s.config != nil {
		st.ConfigVersion = s.config.Version
	}
	for _, c := range s.owner.Claims() {
		cell := &meshpb.Cell{Name: string(c.Cell), Fence: c.Fence, Releasing: c.Releasing, Commanded: int64(c.CommandedCount)}
		if c.Releasing {
			cell.Held = s.heldWorkers(c.Cell)
		} else {
			cell.Loads = s.ownLoads(c.Cell)
		}
		st.Cells = append(st.Cells, cell)
	}
	return st
}
