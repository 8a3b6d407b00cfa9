package fit

import (
	"math"
	"time"

	"sesameledge.dev/sesameledge/place"
)

// Pick returns the worker for a task, or place.Full if none can take it now; smaller tasks may
// still find room then. It prefers this host's availability zone, and avoids the worker avoid,
// which refused the task last, unless there is no other. now is a time on the monotonic clock of
// the caller.
func (s *Set) Pick(now time.Duration, task place.Task, avoid place.EndpointID) (place.Endpoint, place.Choice) {
	s.now = now
	g := s.groupFor(task.Group)
	s.expireWaits(g)
	local, remote, avoided := s.candidates(g, task, avoid)
	best, localCost := s.bestOf(g, task, local)
	bestRemote, remoteCost := s.bestOf(g, task, remote)
	switch {
	case best == nil && bestRemote == nil:
		best, _ = s.bestOf(g, task, avoided)
	case best == nil || bestRemote != nil && remoteCost+remoteZoneCost < localCost && task.Size.Accelerators == 0:
		best = bestRemote
	}
	if best == nil {
		s.recordWait(g, task)
		return place.Endpoint{}, place.Full
	}
	return best.Endpoint, place.Start
}

// candidates returns the workers that can take the task: those of the local availability zone, of
// other zones, and the one to avoid. It starts at a random worker, so that large groups are
// sampled evenly.
func (s *Set) candidates(g *group, task place.Task, avoid place.EndpointID) (local, remote, avoided []*worker) {
	n := len(g.workers)
	if n == 0 {
		return nil, nil, nil
	}
	first := s.rng.IntN(n)
	for i := range n {
		w := g.workers[(first+i)%n]
		switch {
		case !s.accepts(w, task) || !s.fits(w, task):
		case w.ID == avoid:
			avoided = append(avoided, w)
		case w.Zone == s.opts.Zone:
			local = append(local, w)
		case len(remote) < maxCandidates:
			remote = append(remote, w)
		}
		if len(local) == maxCandidates {
			break
		}
	}
	return local, remote, avoided
}

// accepts reports whether a worker may get the task, whatever the task's size.
func (s *Set) accepts(w *worker, task place.Task) bool {
	switch {
	case w.Leaving || s.now < w.pausedUntil:
		return false
	case w.reservedFor != nil && w.reservedFor.key != taskKey{task.Job, task.Index}:
		return false
	}
	return w.health.accepts(s.now, w.ownTasks)
}

// bestOf returns the worker of a list with the lowest cost, and that cost; nil for an empty list.
// Without accelerators, it compares a few random workers only.
func (s *Set) bestOf(g *group, task place.Task, list []*worker) (*worker, float64) {
	if task.Size.Accelerators == 0 {
		s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:min(len(list), sampledWorkers)]
	}
	jobTasks := s.jobs[task.Job]
	lowestDensity := math.Inf(1)
	for _, w := range list {
		lowestDensity = min(lowestDensity, jobTasks.tasksPerWorker(g, w.Rack))
	}
	var best *worker
	lowestCost := math.Inf(1)
	for _, w := range list {
		lead := jobTasks.tasksPerWorker(g, w.Rack) - lowestDensity
		if cost := s.cost(g, w, task, lead); cost < lowestCost {
			best, lowestCost = w, cost
		}
	}
	return best, lowestCost
}

// tasksPerWorker returns the number of the job's open tasks in a rack divided by the workers of
// the rack.
func (j *jobTasks) tasksPerWorker(g *group, rack string) float64 {
	if j == nil {
		return 0
	}
	return float64(j.byRack[rack]) / float64(max(g.racks[rack], 1))
}

// cost ranks a worker for a task; lower is better. lead is how many more tasks per worker the job
// has in the worker's rack than in the least used rack of the candidates.
func (s *Set) cost(g *group, w *worker, task place.Task, lead float64) float64 {
	free := w.Capacity.Accelerators - w.ownLoad.accelerators - w.othersLoad.accelerators
	if task.Size.Accelerators > 0 {
		// Best fit: pack accelerators, so that workers with many free ones remain.
		cost := float64(free - task.Size.Accelerators)
		if lead*float64(max(g.racks[w.Rack], 1)) > maxAcceleratorRackLead {
			cost += 1e6
		}
		return cost
	}
	cost := s.allocation(w, task).plus(w.ownLoad).plus(w.othersLoad).fraction(loadOf(w.Capacity))
	if free > 0 {
		// Leave workers with free accelerators to the tasks that need them.
		cost += 10
	}
	return cost + lead
}
