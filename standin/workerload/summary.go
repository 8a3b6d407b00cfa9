package main

import (
	"fmt"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/platformsim"
)

// summary holds the measurements of a run.
type summary struct {
	Jobs          int            `json:"jobs"`
	Outcomes      map[string]int `json:"outcomes"`  // number of jobs by outcome and reason code
	Incorrect     int            `json:"not_whole"` // complete jobs with a missing or wrong task result
	Starts        int            `json:"starts"`
	RepeatedTasks int            `json:"repeated"` // tasks that started more than once
	// MessagesPerTask is the number of all requests to the worker interface, divided by Starts.
	MessagesPerTask       float64            `json:"messages_per_task"`
	MessagesPerTaskByPath map[string]float64 `json:"messages_per_task_by_path"`
	// OverheadP50MS and OverheadP99MS are quantiles, over the complete jobs, of the response time minus
	// the run time of the longest task.
	OverheadP50MS  float64                  `json:"beyond_p50_ms"`
	OverheadP99MS  float64                  `json:"beyond_p99_ms"`
	Utilisation    float64                  `json:"utilisation"`     // core time used / core time available, after the warm-up
	Overcommitment float64                  `json:"over_commitment"` // core time demanded above a worker's cores / core time demanded
	TaskStates     map[logapi.TaskState]int `json:"task_states"`
}

// summarise returns the measurements of a run. totals are the counts of the platform after the last job
// has ended.
func (g *generator) summarise(totals *platformsim.TaskTotals) *summary {
	s := &summary{
		Jobs:                  len(g.results),
		Outcomes:              make(map[string]int),
		Starts:                totals.Starts,
		RepeatedTasks:         totals.RepeatedTasks,
		MessagesPerTaskByPath: make(map[string]float64),
		TaskStates:            totals.States,
	}
	var overheads []time.Duration
	for _, r := range g.results {
		s.Outcomes[r.label()]++
		if r.err == nil && r.reply.Outcome == api.Complete {
			overheads = append(overheads, r.overhead)
			if !r.correct {
				s.Incorrect++
			}
		}
	}
	s.OverheadP50MS, s.OverheadP99MS = quantileMS(overheads, 0.5), quantileMS(overheads, 0.99)
	for path, n := range totals.RequestsByPath {
		perTask := float64(n) / float64(max(totals.Starts, 1))
		s.MessagesPerTaskByPath[path] = perTask
		s.MessagesPerTask += perTask
	}
	if cores := g.loadEndTotals.CoreMS - g.warmUpTotals.CoreMS; cores > 0 {
		s.Utilisation = (g.loadEndTotals.UsedCoreMS - g.warmUpTotals.UsedCoreMS) / cores
		s.Overcommitment = (g.loadEndTotals.ExcessCoreMS - g.warmUpTotals.ExcessCoreMS) / max(g.loadEndTotals.DemandedCoreMS-g.warmUpTotals.DemandedCoreMS, 1)
	}
	return s
}

// label returns the key of the result in summary.Outcomes.
func (r *jobResult) label() string {
	if r.err != nil {
		return "error: " + r.err.Error()
	}
	if r.reply.Reason == nil {
		return string(r.reply.Outcome)
	}
	return fmt.Sprintf("%s: %s", r.reply.Outcome, r.reply.Reason.Code)
}

// quantileMS returns the q-quantile of the values in milliseconds, 0 if there are none. It sorts values.
func quantileMS(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[int(q*float64(len(values)-1))]) / float64(time.Millisecond)
}
