package sched

import "time"

const (
	// takeTime is how long a worker that is being taken needs until it accepts tasks: a call on a new
	// connection, with the answer.
	takeTime = 30 * time.Millisecond
	// takeTimeWithRuns is that time if runs of the former commander have to be stopped first.
	takeTimeWithRuns = 120 * time.Millisecond
)

// isBeingTaken reports whether the worker will accept tasks soon: it has been asked for its runs, and no
// such call has stayed unanswered. Its room counts as capacity, so that jobs that arrive while all workers
// of a cell are taken at once wait for them and are not refused as if the cell were full.
func (w *worker) isBeingTaken() bool { return w.phase == phaseTaking && w.missedHolds == 0 }

// addComing adds the room of a worker that is being taken to a forecast.
func (f *forecast) addComing(w *worker) {
	cpu := int64(packingEfficiency * float64(w.freeCapacity().CPU))
	if cpu <= 0 {
		return
	}
	after := takeTime
	if len(w.foreignRuns) > 0 {
		after = takeTimeWithRuns
	}
	f.coming += cpu
	f.releases = append(f.releases, cpuRelease{after: after, cpu: cpu})
}

// hasRoom reports whether so much CPU is free now or on workers that are being taken.
func (f *forecast) hasRoom(cpu int64) bool {
	return cpu <= int64(packingEfficiency*float64(f.free))+f.coming
}
