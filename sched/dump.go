package sched

import "time"

// Dump is the state of a worker for people. Times are in ms.
type Dump struct {
	Worker   string    `json:"worker"`
	Zone     string    `json:"zone"`
	Cell     string    `json:"cell"`
	Phase    string    `json:"phase"`
	Fence    int64     `json:"fence"`
	Draining bool      `json:"draining"`
	Removed  bool      `json:"removed"`
	Speed    float64   `json:"speed"`
	Misses   int       `json:"misses"`
	FreeCPU  int64     `json:"free_cpu"`
	LeaseMS  int64     `json:"lease_ms"`
	Foreign  int       `json:"foreign_runs"`
	Runs     []RunDump `json:"runs"`
}

// RunDump is a run that may be at work.
type RunDump struct {
	Task      string  `json:"task"`
	Attempt   int64   `json:"attempt"`
	Request   string  `json:"request"`
	AgeMS     int64   `json:"age_ms"`
	Percent   float64 `json:"percent"`
	Confirmed bool    `json:"confirmed"`
	Stopping  bool    `json:"stopping"`
}

var phaseNames = [...]string{"none", "taking", "held", "leaving"}

// Dump returns the workers that the host commands or has runs on.
func (s *State) Dump(now time.Duration) []Dump {
	var list []Dump
	for _, w := range s.order {
		if w.phase == phaseNone && len(w.runs) == 0 {
			continue
		}
		d := Dump{
			Worker: w.info.ID, Zone: w.info.Zone, Cell: string(w.cell), Phase: phaseNames[w.phase], Fence: w.fence,
			Draining: w.info.Draining, Removed: w.removed, Speed: w.speed, Misses: w.misses,
			FreeCPU: w.free().CPU, LeaseMS: max(0, w.leaseBound-now).Milliseconds(), Foreign: len(w.foreign),
		}
		for _, r := range sortedRuns(w) {
			d.Runs = append(d.Runs, RunDump{
				Task: r.key.Task.String(), Attempt: r.key.Attempt, Request: r.job.spec.RequestID,
				AgeMS: (now - r.sent).Milliseconds(), Percent: r.percent,
				Confirmed: r.confirmed != 0, Stopping: r.stop.wanted != 0,
			})
		}
		list = append(list, d)
	}
	return list
}
