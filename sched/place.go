package sched

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// packing is the share of a worker's processors that tasks of unlike size can use.
const packing = 0.85

// Place starts waiting tasks where there is room. Jobs come in the order in which they
// have to begin to be answered in time; those that are late already come last, because
// their answers are worth less. It answers bursts that fill all workers.
func (s *State) Place(now time.Duration) {
	if !s.dirty {
		return
	}
	s.dirty = false
	s.compactQueue()
	if len(s.queue) == 0 {
		return
	}
	usable := s.usableWorkers(now)
	s.sortQueue(now)
	for _, p := range s.pools() {
		s.shed(now, p)
	}
	for _, j := range s.queue {
		if j.finished {
			continue
		}
		s.placeJob(now, j, usable[pool{j.cell, j.route.Service}])
	}
	s.compactQueue()
}

// pools returns the pools for which jobs wait.
func (s *State) pools() []pool {
	var list []pool
	for _, j := range s.queue {
		if p := (pool{j.cell, j.route.Service}); !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	return list
}

func (s *State) compactQueue() {
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool { return j.finished || len(j.waiting) == 0 })
}

// candidate is a worker with room.
type candidate struct {
	w    *worker
	free fleet.Resources
}

// pool is the workers of a service in one cell.
type pool struct {
	cell    fleet.Cell
	service string
}

// eligible reports whether the worker belongs to the job's service and cell.
func (j *job) eligible(w *worker) bool {
	return w.cell == j.cell && w.info.Service == j.route.Service
}

func (s *State) usableWorkers(now time.Duration) map[pool][]*candidate {
	pools := make(map[pool][]*candidate)
	for _, w := range s.order {
		if !w.usable(now) {
			continue
		}
		if w.stale(now) {
			w.wanted = true
			w.nextHold = now
			s.hold(now, w)
			continue
		}
		p := pool{w.cell, w.info.Service}
		pools[p] = append(pools[p], &candidate{w: w, free: w.free()})
	}
	return pools
}

func (s *State) sortQueue(now time.Duration) {
	slices.SortStableFunc(s.queue, func(a, b *job) int {
		la, lb := a.late(now), b.late(now)
		if la != lb {
			if la {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.latestStart(), b.latestStart())
	})
}

// latestStart is when the job's tasks have to start for an answer in time.
func (j *job) latestStart() time.Duration { return j.arrived + j.objective - j.base }

func (j *job) late(now time.Duration) bool { return now > j.latestStart() }

func (s *State) placeJob(now time.Duration, j *job, workers []*candidate) {
	var left []int
	var on, speeds []string
	for _, index := range j.waiting {
		c := s.choose(now, j, workers)
		if c == nil {
			left = append(left, index)
			continue
		}
		if err := s.startError(now, j, index, c.w); err != nil {
			s.violated(now, j, index, c.w, err)
			return
		}
		c.free = c.free.Sub(j.spec.Need)
		s.start(now, j, index, c.w)
		on = append(on, c.w.info.ID)
		speeds = append(speeds, strconv.FormatFloat(c.w.speed, 'f', 1, 64))
	}
	j.waiting = left
	if len(on) > 0 {
		s.note(j.spec.RequestID, "tasks started", "job", j.spec.ID, "tasks", len(on), "waiting", len(left),
			"age", now-j.arrived, "objective", j.objective, "predicted", j.base, "workers", strings.Join(on, ","), "speeds", strings.Join(speeds, ","))
	}
}

// choose returns the best worker for a task of the job, or nil: the fastest on which the task
// ends in time. If there is none, the task waits for such a one while its slack allows, and
// then takes the fastest that is free. It answers workers of unlike speeds, on the slow ones of
// which long tasks are always late.
func (s *State) choose(now time.Duration, j *job, workers []*candidate) *candidate {
	var best *candidate
	var bestScore float64
	for _, c := range workers {
		if !c.free.Fits(j.spec.Need) || !j.allows(c.w) {
			continue
		}
		score := j.score(now, c)
		if score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// score rates a worker for a task of the job.
func (j *job) score(now time.Duration, c *candidate) float64 {
	speed := c.w.speed
	if j.spec.Rack != "" && c.w.info.Rack != j.spec.Rack {
		speed /= rackFactor
	}
	emptiness := loadWeight * float64(c.free.CPU) / float64(max(1, c.w.info.Capacity.CPU))
	switch {
	case j.inTime(now, speed):
		return inTimeBonus + speed + emptiness
	case j.canWait(now):
		return 0
	default:
		return speed + emptiness
	}
}

// canWait reports whether the job's tasks may wait for workers on which they end in time.
func (j *job) canWait(now time.Duration) bool {
	slack := float64(j.objective - j.base)
	return now < j.arrived+time.Duration(waitShare*slack)
}

// inTime reports whether a task that starts now on a worker of a speed ends within the
// objective. The objective grows with the task, so an error of the prediction counts only as
// far as the worker is slower, or faster, than the objective allows.
func (j *job) inTime(now time.Duration, speed float64) bool {
	excess := (1/(speedMargin*speed) - max(1, j.route.SlackFactor)) * float64(j.base)
	if excess > 0 {
		excess *= longTask
	} else {
		excess *= shortTask
	}
	return float64(j.route.Target)-float64(now-j.arrived) > excess
}

const (
	// rackFactor is how much longer a task runs away from its data.
	rackFactor = 2
	// loadWeight makes the emptier of two workers of like speed the better one.
	loadWeight = 0.1
	// inTimeBonus is above every speed.
	inTimeBonus = 10
	// longTask and shortTask are how far a task may be above or below its prediction.
	longTask  = 1.2
	shortTask = 0.6
	// speedMargin allows for the error of a worker's speed.
	speedMargin = 0.95
	// waitShare is the part of a job's slack that its tasks wait for a worker on which they
	// end in time, before they take any.
	waitShare = 0.5
)

// allows reports whether the job's constraints permit the worker.
func (j *job) allows(w *worker) bool {
	if j.spec.Label != "" && !w.info.HasLabel(j.spec.Label) {
		return false
	}
	if j.spec.MaxPerWorker <= 0 {
		return true
	}
	n := 0
	for _, r := range w.runs {
		if r.job.spec.ID == j.spec.ID {
			n++
		}
	}
	return n < j.spec.MaxPerWorker
}

// start starts a task on a worker.
func (s *State) start(now time.Duration, j *job, index int, w *worker) {
	key := j.newRun(index)
	until := w.leaseEnd(now, leaseTime)
	w.grant(now, leaseTime)
	r := &run{
		key: key, job: j, index: index, need: j.spec.Need, sent: now, until: until,
		predicted: time.Duration(float64(j.base) / w.speed),
	}
	w.runs[key] = r
	j.runs++
	j.live[index] = true
	j.begun++
	s.stats.Starts++
	w.nextHold = min(w.nextHold, now)
	s.emit(StartRun{Worker: w.info, Order: fleet.StartOrder{Run: key, Payload: j.spec.Payload, Fence: w.fence, Until: until}})
}

// noteFailure keeps new tasks away from a worker on which one task after the other fails.
func (w *worker) noteFailure(now time.Duration) {
	w.failures++
	if w.failures >= failuresInARow {
		w.block(now)
	}
}

// failuresInARow is the number of failed runs in a row that speak against a worker. Two in
// a thousand fail on sound ones.
const failuresInARow = 2

// refusal says why a job has no prospect, or returns an empty string.
func (s *State) refusal(j *job) string {
	if s.closed[j.cell] {
		return reasonHandover
	}
	load, ok := s.Loads(j.cell)[j.route.Service]
	if !ok || load.Capacity == 0 {
		return "no worker of the service is at hand"
	}
	if !s.couldHold(j) {
		return "no worker could hold a task of the job"
	}
	return ""
}

func (s *State) couldHold(j *job) bool {
	for _, w := range s.order {
		if w.counts() && j.eligible(w) && w.info.Capacity.Fits(j.spec.Need) &&
			(j.spec.Label == "" || w.info.HasLabel(j.spec.Label)) {
			return true
		}
	}
	return false
}

// sortedJobs returns the jobs in a fixed order.
func (s *State) sortedJobs() []*job {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.key.Host, b.key.Host), cmp.Compare(a.key.Seq, b.key.Seq))
	})
	return jobs
}
