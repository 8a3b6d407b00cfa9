package host

import (
	"slices"

	"sesameledge.dev/sesameledge/fleet"
)

// priorityLevels holds the priorities of the routes of each service, the most urgent first, each once.
type priorityLevels map[string][]int

func newPriorityLevels(c *fleet.Config) priorityLevels {
	levels := make(priorityLevels)
	for _, r := range c.Routes {
		levels[r.Service] = append(levels[r.Service], r.Priority)
	}
	for service, list := range levels {
		slices.Sort(list)
		levels[service] = slices.Compact(list)
	}
	return levels
}

// below returns the number of priorities of the service that are less urgent than that of a route.
func (l priorityLevels) below(r fleet.Route) int {
	n := 0
	for _, p := range l[r.Service] {
		if p > r.Priority {
			n++
		}
	}
	return n
}

// mayOffer reports whether a job is offered to a cell after others have refused it. A cell that has refused
// jobs for overload would most likely refuse this one too, and its caller would wait for nothing. Only a job
// that goes before those of less urgent routes has a chance there, which is worth one try for each of their
// priorities.
func (s *State) mayOffer(j *job, c *cellCandidate) bool {
	if !s.opts.Placement.LookAhead || !c.load.Overloaded {
		return true
	}
	return len(j.refusedBy) <= s.priorities.below(j.route)
}
