package sched

import "time"

// WorkerDump is the state of a worker for operators. Times are in ms.
type WorkerDump struct {
	Worker   string    `json:"worker"`
	Zone     string    `json:"zone"`
	Cell     string    `json:"cell"`
	Phase    string    `json:"phase"`
	Fence    int64     `json:"fence"`
	Draining bool      `json:"draining"`
	Removed  bool      `json:"removed"`
	Speed    float64   `json:"speed"`    // relative to the mean of all workers
	ColdMS   int64     `json:"cold_ms"`  // how much longer it stays slow after its start
	Misses   int       `json:"misses"`   // failed holds in a row
	FreeCPU  int64     `json:"free_cpu"` // thousandths of a core
	LeaseMS  int64     `json:"lease_ms"`
	Foreign  int       `json:"foreign_runs"`
	Outdated bool      `json:"entry_outdated"` // its entry describes another process; it gets no tasks
	Withheld bool      `json:"lease_withheld"`
	Runs     []RunDump `json:"runs"`
}

// RunDump is a run that may be running.
type RunDump struct {
	Task      string  `json:"task"`
	Attempt   int64   `json:"attempt"`
	Request   string  `json:"request"`
	AgeMS     int64   `json:"age_ms"`
	Percent   float64 `json:"percent"`
	Confirmed bool    `json:"confirmed"`
	Stopping  bool    `json:"stopping"`
}

// phaseNames are the names of the phases in a WorkerDump.
var phaseNames = [...]string{"none", "taking", "held", "leaving"}

// WorkerDump returns the workers that the host commands or has runs on, in the order of their IDs.
func (s *State) Dump(now time.Duration) []WorkerDump {
	var list []WorkerDump
	for _, w := range s.sortedWorkers {
		if w.phase == phaseNone && len(w.runs) == 0 {
			continue
		}
		d := WorkerDump{
			Worker: w.info.ID, Zone: w.info.Zone, Cell: string(w.cell), Phase: phaseNames[w.phase], Fence: w.fence,
			Draining: w.info.Draining, Removed: w.removed, Speed: w.speed, ColdMS: w.coldLeft(now).Milliseconds(), Misses: w.missedHolds,
			FreeCPU: w.freeCapacity().CPU, LeaseMS: max(0, w.leaseEndBound-now).Milliseconds(), Foreign: len(w.foreignRuns),
			Outdated: w.entryOutdated(), Withheld: s.withholdsLease(now, w),
		}
		for _, r := range sortedRuns(w) {
			d.Runs = append(d.Runs, RunDump{
				Task: r.key.Task.String(), Attempt: r.key.Attempt, Request: r.job.spec.RequestID,
				AgeMS: (now - r.startSentAt).Milliseconds(), Percent: r.percent,
				Confirmed: r.confirmedAt != 0, Stopping: r.stop.wantedSince != 0,
			})
		}
		list = append(list, d)
	}
	return list
}
