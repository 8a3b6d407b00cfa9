package sched

import (
	"cmp"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// handleDirectory replaces the list of known workers. A worker that has left the directory is kept
// while runs on it may be running.
func (s *State) handleDirectory(now time.Duration, list []fleet.Worker) {
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		w := s.workers[info.ID]
		if w == nil {
			w = &worker{runs: make(map[fleet.RunKey]*run), foreignRuns: make(map[fleet.RunKey]*foreignRun), speed: 1}
			s.workers[info.ID] = w
		}
		if info.Draining && !w.info.Draining {
			s.logEvent("", "worker drains", "worker", info.ID)
		}
		if info.ColdUntil > now && w.coldLeft(now) == 0 {
			s.logEvent("", "worker is cold", "worker", info.ID, "left", info.ColdUntil-now, "assumed_speed", s.cold.speed(info.Service))
		}
		former := w.info.ProcessStart
		w.info = info
		w.removed = false
		s.settleByEntry(info)
		s.compareEntry(now, w, former)
	}
	for id, w := range s.workers {
		if listed[id] {
			continue
		}
		w.removed = true
		if len(w.runs) == 0 && len(w.foreignRuns) == 0 {
			delete(s.workers, id)
		}
	}
	s.sortWorkers()
	s.needsPlacement = true
}

// sortWorkers keeps the workers in a fixed order, so that tests are repeatable.
func (s *State) sortWorkers() {
	s.sortedWorkers = s.sortedWorkers[:0]
	for _, w := range s.workers {
		s.sortedWorkers = append(s.sortedWorkers, w)
	}
	slices.SortFunc(s.sortedWorkers, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
}

// handleTake starts to take command of a worker, unless the host already commands it under this or
// a higher fencing token. It asks for the runs of the former commander.
func (s *State) handleTake(now time.Duration, e TakeWorker) {
	w := s.workers[e.Worker]
	if w == nil || w.phase != phaseNone && w.fence >= e.Fence {
		return
	}
	s.recordCellTake(now, e)
	w.phase = phaseTaking
	w.cleared, w.hasListed = false, false
	w.fence = e.Fence
	w.cell = e.Cell
	w.processedEnd, w.acknowledgedEnd = 0, 0
	w.holdOpen = false
	w.nextHold = now
	s.sendHold(now, w)
}

// handleRelease starts to give a worker up.
func (s *State) handleRelease(id string) {
	w := s.workers[id]
	if w == nil || w.phase == phaseNone {
		return
	}
	w.phase = phaseLeaving
	s.releaseIfIdle(w)
}

// releaseIfIdle gives up a released worker without runs. It keeps a worker that accepts tasks while its
// cell is closed and tasks wait for the cell's workers.
func (s *State) releaseIfIdle(w *worker) {
	if w.phase != phaseLeaving || len(w.runs) > 0 || w.cleared && s.closedCells[w.cell] && s.hasWaitingTasks(w.cell) {
		return
	}
	w.phase = phaseNone
	s.emit(WorkerReleased{Worker: w.info.ID})
}

// handleFenced gives up a worker that another host has taken, as its refusal of a call with the given
// fencing token shows. The runs there, foreign ones too, end with their lease, or earlier if the other host stops
// them.
// If this host has taken the worker again under a higher token since, the refusal tells nothing.
func (s *State) handleFenced(w *worker, fence int64) {
	if w.phase == phaseNone || fence < w.fence {
		return
	}
	s.logEvent("", "worker taken by another host", "worker", w.info.ID, "fence", w.fence, "runs", len(w.runs))
	w.phase = phaseNone
	s.emit(WorkerLost{Worker: w.info.ID})
}
