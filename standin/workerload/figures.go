package main

import (
	"fmt"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/platformsim"
)

// figures is what a run measured.
type figures struct {
	Jobs     int            `json:"jobs"`
	Outcomes map[string]int `json:"outcomes"` // jobs by outcome and reason
	NotWhole int            `json:"not_whole"`
	Starts   int            `json:"starts"`
	Repeated int            `json:"repeated"` // tasks that started more than once
	// MessagesPerTask counts every message to the worker interface, for each start.
	MessagesPerTask float64            `json:"messages_per_task"`
	ByPath          map[string]float64 `json:"messages_per_task_by_path"`
	// Beyond is the response time beyond the longest task's run time, milliseconds.
	BeyondP50   float64                  `json:"beyond_p50_ms"`
	BeyondP99   float64                  `json:"beyond_p99_ms"`
	Utilisation float64                  `json:"utilisation"`     // used cores / cores
	OverCommit  float64                  `json:"over_commitment"` // cores wanted beyond a worker's / cores wanted
	States      map[logapi.TaskState]int `json:"task_states"`
}

func (g *generator) figures(after *platformsim.TaskTotals) *figures {
	f := &figures{
		Jobs:     len(g.answers),
		Outcomes: make(map[string]int),
		Starts:   after.Starts,
		Repeated: after.Repeated,
		ByPath:   make(map[string]float64),
		States:   after.States,
	}
	var beyond []time.Duration
	for _, a := range g.answers {
		f.Outcomes[a.name()]++
		if a.err == nil && a.reply.Outcome == api.Complete {
			beyond = append(beyond, a.beyond)
			if !a.whole {
				f.NotWhole++
			}
		}
	}
	f.BeyondP50, f.BeyondP99 = quantileMS(beyond, 0.5), quantileMS(beyond, 0.99)
	for path, n := range after.Messages {
		perTask := float64(n) / float64(max(after.Starts, 1))
		f.ByPath[path] = perTask
		f.MessagesPerTask += perTask
	}
	if cores := g.end.CoreMS - g.warm.CoreMS; cores > 0 {
		f.Utilisation = (g.end.UsedCoreMS - g.warm.UsedCoreMS) / cores
		f.OverCommit = (g.end.OverCoreMS - g.warm.OverCoreMS) / max(g.end.WantedCoreMS-g.warm.WantedCoreMS, 1)
	}
	return f
}

func (a *answer) name() string {
	if a.err != nil {
		return "error: " + a.err.Error()
	}
	if a.reply.Reason == nil {
		return string(a.reply.Outcome)
	}
	return fmt.Sprintf("%s: %s", a.reply.Outcome, a.reply.Reason.Code)
}

func quantileMS(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[int(q*float64(len(values)-1))]) / float64(time.Millisecond)
}
