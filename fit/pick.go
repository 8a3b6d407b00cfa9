package fit

import (
	"math"
	"time"

	"sesameledge.dev/sesameledge/place"
)

// Pick returns the worker for a task, or place.Full if none can take it now; smaller
// tasks may still find room. It prefers this host's availability zone, and avoids the
// worker that refused the task last unless there is no other.
func (s *Set) Pick(now time.Duration, task place.Task, avoid place.EndpointID) (place.Endpoint, place.Choice) {
	s.now = now
	g := s.group(task.Group)
	s.expireWaits(g)
	local, remote, last := s.candidates(g, task, avoid)
	near, nearCost := s.best(g, task, local)
	far, farCost := s.best(g, task, remote)
	switch {
	case near == nil && far == nil:
		near, _ = s.best(g, task, last)
	case near == nil || far != nil && farCost+remoteCost < nearCost && task.Size.Accelerators == 0:
		near = far
	}
	if near == nil {
		s.wait(g, task)
		return place.Endpoint{}, place.Full
	}
	return near.Endpoint, place.Start
}

// candidates returns workers that can take the task. It starts at a random one, so that
// large groups are sampled evenly.
func (s *Set) candidates(g *group, task place.Task, avoid place.EndpointID) (local, remote, last []*worker) {
	n := len(g.workers)
	if n == 0 {
		return nil, nil, nil
	}
	first := s.rng.IntN(n)
	for i := range n {
		w := g.workers[(first+i)%n]
		switch {
		case !s.takes(w, task) || !s.fits(w, task):
		case w.ID == avoid:
			last = append(last, w)
		case w.Zone == s.opts.Zone:
			local = append(local, w)
		case len(remote) < maxCandidates:
			remote = append(remote, w)
		}
		if len(local) == maxCandidates {
			break
		}
	}
	return local, remote, last
}

// takes reports whether a worker takes the task, apart from its size.
func (s *Set) takes(w *worker, task place.Task) bool {
	switch {
	case w.Leaving || s.now < w.pauseUntil:
		return false
	case w.heldFor != nil && w.heldFor.key != taskKey{task.Job, task.Index}:
		return false
	}
	return w.health.takes(s.now, w.ownTasks)
}

// best chooses among workers that fit and returns its cost; nil if there is none.
func (s *Set) best(g *group, task place.Task, list []*worker) (*worker, float64) {
	if task.Size.Accelerators == 0 {
		s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:min(len(list), choices)]
	}
	spread := s.jobs[task.Job]
	least := math.Inf(1)
	for _, w := range list {
		least = min(least, spread.share(g, w.Rack))
	}
	var best *worker
	lowest := math.Inf(1)
	for _, w := range list {
		lead := spread.share(g, w.Rack) - least
		if cost := s.cost(g, w, task, lead); cost < lowest {
			best, lowest = w, cost
		}
	}
	return best, lowest
}

// share is the number of a job's open tasks in a rack for each worker of the rack.
func (j *jobSpread) share(g *group, rack string) float64 {
	if j == nil {
		return 0
	}
	return float64(j.racks[rack]) / float64(max(g.racks[rack], 1))
}

// cost ranks a worker for a task; lower is better. lead is by how many tasks per worker
// the job already uses its rack more than the least used one.
func (s *Set) cost(g *group, w *worker, task place.Task, lead float64) float64 {
	free := w.Capacity.Accelerators - w.own.accelerators - w.foreign.accelerators
	if task.Size.Accelerators > 0 {
		// Best fit packs accelerators, so that large free blocks remain.
		cost := float64(free - task.Size.Accelerators)
		if lead*float64(max(g.racks[w.Rack], 1)) > acceleratorRackSlack {
			cost += 1e6
		}
		return cost
	}
	cost := s.need(w, task).plus(w.own).plus(w.foreign).fraction(capacity(w.Capacity))
	if free > 0 {
		// Workers with free accelerators are left to the tasks that need them.
		cost += 10
	}
	return cost + lead
}
