package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// listTime is how long a worker that is being taken needs until it has listed its runs: a call on a new
	// connection, with the answer.
	listTime = 30 * time.Millisecond
	// foreignRunsTime is how long after the take runs of the former commander have been stopped.
	foreignRunsTime = 120 * time.Millisecond
	// returnTime is how long after the take of a cell without workers its late jobs wait for room. The jobs
	// that came while it was away arrive at once, and callers whose connections broke come back within 1.3 s.
	returnTime = 2 * time.Second
)

// isBeingTaken reports whether the worker will accept tasks soon: it has been asked for its runs, and no
// such call has stayed unanswered. Its room counts as capacity, so that jobs that arrive while all workers
// of a cell are taken at once wait for them and are not refused as if the cell were full.
func (w *worker) isBeingTaken() bool { return w.phase == phaseTaking && w.missedHolds == 0 }

// takeTime returns how long after its take a worker accepts tasks.
func (s *State) takeTime(w *worker) time.Duration {
	if len(w.foreignRuns) > 0 {
		return max(foreignRunsTime, s.timing.RunOver(listTime))
	}
	return s.timing.RunOver(listTime)
}

// addComing adds the room of a worker that accepts tasks after a time to a forecast.
func (f *forecast) addComing(w *worker, after time.Duration) {
	cpu := int64(packingEfficiency * float64(w.freeCapacity().CPU))
	if cpu <= 0 {
		return
	}
	f.coming += cpu
	f.releases = append(f.releases, cpuRelease{after: after, cpu: cpu})
}

// hasRoom reports whether so much CPU is free now or on workers that are being taken.
func (f *forecast) hasRoom(cpu int64) bool {
	return cpu <= int64(packingEfficiency*float64(f.free))+f.coming
}

// cellTake is the newest take of a cell of which no worker was commanded.
type cellTake struct {
	fence int64
	at    time.Duration
}

// recordCellTake records the take of a cell with that of its first worker.
func (s *State) recordCellTake(now time.Duration, e TakeWorker) {
	if s.cellTakes[e.Cell].fence == e.Fence {
		return
	}
	for _, w := range s.workers {
		if w.cell == e.Cell && w.phase == phaseHeld {
			return
		}
	}
	s.cellTakes[e.Cell] = cellTake{fence: e.Fence, at: now}
}

// comesBack reports whether a cell was taken so recently that jobs that are late wait for room as long as
// their answer is of use. They are late because nobody commanded the cell, and a caller that is refused
// then only adds to the crowd.
func (s *State) comesBack(now time.Duration, cell fleet.Cell) bool {
	take, ok := s.cellTakes[cell]
	return ok && now-take.at < returnTime
}
