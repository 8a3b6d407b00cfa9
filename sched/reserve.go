package sched

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// reservation keeps room on a worker for a task that fits on no worker yet. It answers a mix of small and
// large tasks under load: without it, small tasks take every gap as it appears, and a large task finds no
// worker with enough room until the load ends.
type reservation struct {
	at   time.Duration // when the worker is predicted to have room
	need fleet.Resources
}

// smallTaskShare is the share of a worker's capacity up to which a task finds room as easily as any other.
const smallTaskShare = 0.27

// sizeFactor returns the share of its slack after which the tasks of a job should start. A task of half a
// worker fits beside few others, so it has to take room that is rarer than that for a small one.
func (s *State) sizeFactor(j *job) float64 {
	capacity, workers := int64(0), int64(0)
	for _, w := range s.sortedWorkers {
		if j.eligible(w) && w.countsAsCapacity() {
			capacity += w.info.Capacity.CPU
			workers++
		}
	}
	if workers == 0 || j.spec.Need.CPU == 0 {
		return 1
	}
	return min(1, smallTaskShare*float64(capacity)/float64(workers)/float64(j.spec.Need.CPU))
}

// maxReservations bounds the tasks for which one Place reserves room. Each costs a look at all workers.
const maxReservations = 24

// reserve keeps room for a task of the job on the worker that will have it first and on which the task is
// expected to end in time. A worker that has room now was not chosen because it is too slow, so it is left
// to others. It reports false if there is none.
func (s *State) reserve(now time.Duration, j *job, workers []*candidate) bool {
	var best *candidate
	var bestAt time.Duration
	for _, c := range workers {
		if c.reserved != nil || c.free.Fits(j.spec.Need) || !c.w.info.Capacity.Fits(j.spec.Need) || !j.allowsWorker(c.w) {
			continue
		}
		at, ok := c.roomAt(now, j.spec.Need)
		if ok && (best == nil || at < bestAt) && at+s.durationOf(now, c.w, j) <= j.arrived+j.objective {
			best, bestAt = c, at
		}
	}
	if best == nil {
		return false
	}
	best.reserved = &reservation{at: bestAt, need: j.spec.Need}
	return true
}

// durationOf predicts how long a task of the job takes on a worker.
func (s *State) durationOf(now time.Duration, w *worker, j *job) time.Duration {
	return time.Duration(float64(j.taskDuration) / s.speedOf(now, w, j))
}

// roomAt returns when the worker, which has no room for a task yet, is predicted to have it if its running
// tasks are the only ones. It reports false if it never has.
func (c *candidate) roomAt(now time.Duration, need fleet.Resources) (time.Duration, bool) {
	free := c.free
	for _, r := range c.ends(now) {
		free = free.Add(r.need)
		if free.Fits(need) {
			return r.at, true
		}
	}
	return 0, false
}

// runEnd is the predicted end of a running task.
type runEnd struct {
	at   time.Duration
	need fleet.Resources
}

// ends returns the predicted ends of the worker's running tasks, in their order.
func (c *candidate) ends(now time.Duration) []runEnd {
	if c.runEnds == nil {
		for _, r := range c.w.runList {
			c.runEnds = append(c.runEnds, runEnd{at: r.predictedEnd(now), need: r.need})
		}
		slices.SortFunc(c.runEnds, func(a, b runEnd) int { return int(a.at - b.at) })
	}
	return c.runEnds
}

// leavesReserved reports whether a task of the job that starts now leaves the room that is reserved on
// the worker: it ends before, or there is enough beside it.
func (s *State) leavesReserved(now time.Duration, c *candidate, j *job) bool {
	if c.reserved == nil || now+s.durationOf(now, c.w, j) <= c.reserved.at {
		return true
	}
	free := c.free.Sub(j.spec.Need)
	for _, r := range c.ends(now) {
		if r.at <= c.reserved.at {
			free = free.Add(r.need)
		}
	}
	return free.Fits(c.reserved.need)
}
