package main

import (
	"sort"

	"sesameledge.dev/sesameledge/api"
)

// withReference returns the observation that the omniscient reference would have made of
// the same arrivals: every job completes, with one message for each task.
func (o *observation) withReference() *observation {
	out := *o
	ids := make([]string, 0, len(o.speeds))
	for id := range o.speeds {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	speeds := make([]float64, len(ids))
	for i, id := range ids {
		speeds[i] = o.speeds[id]
	}
	out.results = make([]jobResult, len(o.schedule))
	out.messages = messages{}
	for i, response := range referenceResponses(speeds, o.slots, o.schedule) {
		a := &o.schedule[i]
		out.results[i] = jobResult{response: response, outcome: api.Complete, cancelled: a.cancelAt > 0, minions: make([]string, len(a.runsMS))}
		out.messages.TaskMessages += len(a.runsMS)
	}
	return &out
}
