package host

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/owner"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// fenceShift leaves room for a random part in a fencing token. The whole stays below
	// 2^53, which is exact in every JSON decoder.
	fenceShift = 16
	// fenceEpoch is the time of day in Unix ms from which tokens count.
	fenceEpoch = 1735689600000
	// fenceJump lifts a token over one that a worker has seen and this host has not. It
	// covers a clock that is ahead by that many ms, and doubles with each loss.
	fenceJump = int64(60000)
	// maxLosses bounds the doubling.
	maxLosses = 8
	// retakeTime is the pause before a single worker that obeys another host is taken again.
	retakeTime = 2 * time.Second
)

// newFence returns a fencing token above all that the host knows of. Its random part keeps
// apart hosts that take a cell at the same time.
func (s *State) newFence(now time.Duration) int64 {
	ms := s.opts.UnixMillis - fenceEpoch + (now - s.opts.Started).Milliseconds()
	order := max(ms, s.maxFence>>fenceShift+1)
	if s.losses > 0 {
		order += fenceJump << (min(s.losses, maxLosses) - 1)
	}
	s.maxFence = order<<fenceShift | s.rng.Int64N(1<<fenceShift)
	return s.maxFence
}

// decideCells takes cells without a commander and gives up those that obey another host, and
// those of an earlier division of their zone.
func (s *State) decideCells(now time.Duration) {
	others := s.others(now)
	s.divide(now, others)
	for _, c := range s.owner.Claims() {
		if s.outdated(c.Cell) && !c.Releasing {
			s.changeCell(now, c.Cell, owner.Decision{Kind: owner.HandOver, Reason: "the zone is divided anew"})
		}
	}
	for _, zone := range s.opts.Zones {
		for _, cell := range s.cellsOf(zone) {
			d, ok := s.owner.Decide(now, cell, others)
			if ok {
				s.changeCell(now, cell, d)
			}
			s.takeWorkers(now, cell, others)
		}
	}
}

func (s *State) changeCell(now time.Duration, cell fleet.Cell, d owner.Decision) {
	switch d.Kind {
	case owner.TakeCell:
		s.takeCell(now, cell, d.Reason)
	case owner.HandOver:
		s.note("owner", "", "handing over a cell", "cell", cell, "reason", d.Reason)
		s.owner.HandOver(cell)
		s.handOver(now, cell)
		s.beatAll()
	case owner.GiveUp:
		s.note("owner", "", "cell given up", "cell", cell, "reason", d.Reason)
		s.owner.Lose(now, cell)
		s.handOver(now, cell)
	}
}

// handOver returns the jobs of a cell that have not begun and releases its workers, each
// when its last run is over.
func (s *State) handOver(now time.Duration, cell fleet.Cell) {
	s.sched.Close(now, cell)
	s.releaseAll(now, cell)
	if len(s.heldWorkers(cell)) == 0 {
		s.owner.Released(cell)
	}
}

// beatAll makes frames to all hosts due.
func (s *State) beatAll() {
	for _, p := range s.peers {
		p.sentAt = -absentBeat
	}
}

func (s *State) takeCell(now time.Duration, cell fleet.Cell, reason string) {
	fence := s.newFence(now)
	s.owner.Take(now, cell, fence)
	s.emit(Announce{Fence: fence})
	s.sched.Open(cell)
	s.stats.CellsTaken++
	s.beatAll()
	s.note("owner", "", "cell taken", "cell", cell, "fence", fence, "reason", reason)
}

// takeWorkers takes the workers of an own cell that no other host, and no other cell, still uses.
func (s *State) takeWorkers(now time.Duration, cell fleet.Cell, others []owner.Host) {
	claim := s.owner.Claim(cell)
	if claim == nil || claim.Releasing {
		return
	}
	zone := cell.Zone()
	held := heldByOthers(zone, others)
	claim.Commanded = 0
	for _, e := range s.entries() {
		if e.info.Zone != zone || s.cellOf(e) != cell || e.gone(now) {
			continue
		}
		switch id := e.info.ID; {
		case s.sched.Commands(id):
			if s.sched.Obeys(id) && s.sched.CellOf(id) == cell {
				claim.Commanded++
			}
		case held[id] || now < s.lost[id]:
		default:
			fence := claim.Fence
			if _, lost := s.lost[id]; lost {
				fence = s.newFence(now)
				delete(s.lost, id)
			}
			s.updateDirectory(now)
			s.sched.Step(now, sched.Take{Worker: id, Cell: cell, Fence: fence})
		}
	}
}

// heldByOthers returns the workers of a zone that hosts which hand over a cell still use.
func heldByOthers(zone string, others []owner.Host) map[string]bool {
	held := make(map[string]bool)
	for _, h := range others {
		for _, c := range h.Claims {
			if c.Cell.Zone() != zone {
				continue
			}
			for _, id := range c.Held {
				held[id] = true
			}
		}
	}
	return held
}

// workerLost notes that a worker obeys another host. A cell that has lost most of its
// workers is given up.
func (s *State) workerLost(now time.Duration, id string) {
	e := s.workers[id]
	if e == nil {
		return
	}
	s.lost[id] = now + retakeTime
	cell := s.sched.CellOf(id)
	claim := s.owner.Claim(cell)
	if claim == nil {
		return
	}
	zone, total, lost := cell.Zone(), 0, 0
	for _, other := range s.entries() {
		if other.info.Zone != zone || s.cellOf(other) != cell {
			continue
		}
		total++
		if now < s.lost[other.info.ID] {
			lost++
		}
	}
	if 2*lost <= total {
		return
	}
	s.losses++
	s.stats.CellsLost++
	s.note("owner", "", "cell lost", "cell", cell, "fence", claim.Fence, "lost", lost, "workers", total)
	s.owner.Lose(now, cell)
	s.handOver(now, cell)
}

// releaseAll hands over the workers of a cell, each when its last run is over.
func (s *State) releaseAll(now time.Duration, cell fleet.Cell) {
	for _, id := range s.heldWorkers(cell) {
		s.sched.Step(now, sched.Release{Worker: id})
	}
}

// workerReleased notes that a worker can be taken by another host.
func (s *State) workerReleased(id string) {
	cell := s.sched.CellOf(id)
	claim := s.owner.Claim(cell)
	if claim == nil || !claim.Releasing {
		return
	}
	if len(s.heldWorkers(cell)) == 0 {
		s.note("owner", "", "cell handed over", "cell", cell)
		s.owner.Released(cell)
	}
}

// heldWorkers returns the workers of a cell that this host commands.
func (s *State) heldWorkers(cell fleet.Cell) []string {
	var held []string
	for _, e := range s.entries() {
		if s.sched.Commands(e.info.ID) && s.sched.CellOf(e.info.ID) == cell {
			held = append(held, e.info.ID)
		}
	}
	return held
}

// drain hands over the cells and returns the jobs that have not begun.
func (s *State) drain(now time.Duration) {
	s.draining = true
	s.owner.Drain()
	for _, c := range s.owner.Claims() {
		s.note("owner", "", "handing over a cell", "cell", c.Cell, "reason", "the host shuts down")
		s.handOver(now, c.Cell)
	}
	s.beatAll()
}

// status is what the host tells of itself.
func (s *State) status() *meshpb.Status {
	st := &meshpb.Status{Draining: s.draining, MaxFence: s.maxFence, StoreReachable: s.store}
	if s.config != nil {
		st.ConfigVersion = s.config.Version
	}
	for _, c := range s.owner.Claims() {
		cell := &meshpb.Cell{Name: string(c.Cell), Fence: c.Fence, Releasing: c.Releasing, Commanded: int64(c.Commanded)}
		if c.Releasing {
			cell.Held = s.heldWorkers(c.Cell)
		} else {
			cell.Loads = s.loads(c.Cell)
		}
		st.Cells = append(st.Cells, cell)
	}
	return st
}
