package main

import (
	"sesameledge.dev/sesameledge/api"
)

// referenceObservation returns the observation that the omniscient reference would have made of
// the same arrivals: every job completes, with one message for each task.
func (o *observation) referenceObservation() *observation {
	out := *o
	out.results = make([]jobResult, len(o.schedule))
	out.messages = messages{}
	for i, response := range referenceResponses(o.net, o.fleet, o.slots, o.schedule, o.hostZones) {
		a := &o.schedule[i]
		out.results[i] = jobResult{response: response, outcome: api.Complete, cancelled: a.cancelAt > 0, minions: make([]string, len(a.runsMS))}
		out.messages.TaskMessages += len(a.runsMS)
	}
	return &out
}
