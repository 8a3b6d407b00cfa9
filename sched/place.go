package sched

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"sesameledge.dev/sesameledge/crash"
	"sesameledge.dev/sesameledge/fleet"
)

// packingEfficiency is the share of a worker's CPU that tasks of different sizes can use together.
const packingEfficiency = 0.85

// Place starts waiting tasks on workers with enough free capacity. Jobs are served in the order of
// the latest start with which they are answered in time. Jobs that are already late come last,
// because their answers are worth less. Jobs for which the capacity does not suffice in time are
// refused, so that bursts that fill all workers delay only some jobs.
func (s *State) Place(now time.Duration) {
	if s.nextOver != 0 && now >= s.nextOver {
		s.endAllOverRuns(now)
	}
	if !s.needsPlacement {
		return
	}
	s.needsPlacement = false
	s.endRestrictedJobs(now)
	s.assessJobs(now)
	s.reservations, s.aloneReservations = 0, 0
	s.compactQueue()
	if len(s.queue) == 0 {
		return
	}
	usable := s.usableWorkers(now)
	s.sortQueue(now)
	for _, p := range s.pools() {
		s.limitRiskyKinds(now, p)
		if s.policy.LookAhead {
			s.admitJobs(now, p)
		} else {
			s.shedLoad(now, p)
		}
	}
	for _, j := range s.queue {
		if j.finished || j.waitsForRoom || j.suspicion.held || !s.mayTryAgain(now, j) {
			continue
		}
		p := pool{j.cell, j.route.Service}
		usable[p] = s.placeJob(now, j, usable[p])
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

// compactQueue removes the jobs that are finished or have no waiting task.
func (s *State) compactQueue() {
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool { return j.finished || len(j.waiting) == 0 })
}

// candidate is a worker that accepts tasks.
type candidate struct {
	w    *worker
	free fleet.Resources // less the tasks started by this Place
	// reserved is the room kept for a task that waits, with Policy.LookAhead.
	reserved *reservation
	runEnds  []runEnd // see ends
}

// pool identifies the workers of a service in one cell.
type pool struct {
	cell    fleet.Cell
	service string
}

// counts reports whether the worker adds to the capacity of the pool.
func (p pool) counts(w *worker) bool {
	return w.countsAsCapacity() && w.cell == p.cell && w.info.Service == p.service
}

// waits reports whether a queued job waits for room in the pool.
func (p pool) waits(j *job) bool {
	return !j.finished && !j.suspicion.parked() && j.cell == p.cell && j.route.Service == p.service
}

// eligible reports whether the worker belongs to the job's service and cell.
func (j *job) eligible(w *worker) bool {
	return w.cell == j.cell && w.info.Service == j.route.Service
}

// usableWorkers returns the workers that accept tasks, by pool. It leaves out workers whose clock
// reading is too old, and sends them a hold for a new one.
func (s *State) usableWorkers(now time.Duration) map[pool][]*candidate {
	pools := make(map[pool][]*candidate)
	for _, w := range s.sortedWorkers {
		if !w.open.takesStarts() || !w.acceptsTasks(now) || s.withholdsLease(now, w) {
			continue
		}
		if w.clockStale(now) {
			w.holdUrgent = true
			w.nextHold = now
			s.sendHold(now, w)
			continue
		}
		p := pool{w.cell, w.info.Service}
		pools[p] = append(pools[p], &candidate{w: w, free: w.freeCapacity()})
	}
	return pools
}

// sortQueue sorts the jobs by the time by which they should start; those that are late come last. With
// Policy.LookAhead, a late job that has begun keeps its place: what has run would be lost if the rest
// waited behind every new job.
func (s *State) sortQueue(now time.Duration) {
	slices.SortStableFunc(s.queue, func(a, b *job) int {
		la, lb := s.goesLast(now, a), s.goesLast(now, b)
		if la != lb {
			if la {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.startBy(), b.startBy())
	})
}

func (s *State) goesLast(now time.Duration, j *job) bool {
	if j.suspicion.crashedAlone {
		return true // it has most likely crashed a worker, and would crash another one first
	}
	return j.isLate(now) && !(s.policy.LookAhead && j.unrejectedStarts > 0)
}

// latestStart is the latest time at which the job's tasks can start for an answer within the
// objective.
func (j *job) latestStart() time.Duration { return j.arrived + j.objective - j.taskDuration }

// startBy is the time by which the job's tasks should start. With Policy.LookAhead it is before the latest
// start if the tasks are large, because room for them is rare.
func (j *job) startBy() time.Duration {
	return j.arrived + time.Duration(j.sizeFactor*float64(j.objective-j.taskDuration))
}

// isLate reports whether the job's latest start has passed.
func (j *job) isLate(now time.Duration) bool { return now > j.latestStart() }

// placeJob starts as many waiting tasks of the job as the workers can take, and returns the workers that take more
// starts.
func (s *State) placeJob(now time.Duration, j *job, workers []*candidate) []*candidate {
	var stillWaiting []int
	var workerIDs, speeds []string
	var restarts restartLog
	mayWait := j.canWait(now) && s.hasInTimeWorker(now, j)
	for i, index := range j.waiting {
		if len(workers) == 0 || !s.link.Ready(now) {
			stillWaiting = append(stillWaiting, j.waiting[i:]...)
			break
		}
		if !s.mayStart(now, j, index) {
			stillWaiting = append(stillWaiting, index)
			continue
		}
		c := s.chooseWorker(now, j, index, s.withinRiskRoom(j, workers), mayWait)
		if c == nil {
			stillWaiting = append(stillWaiting, index)
			if s.standing(j, index) == crash.Suspect {
				s.reserveAlone(now, j, workers)
			} else if s.policy.LookAhead && s.reservations < maxReservations && s.reserve(now, j, workers) {
				s.reservations++
				s.countQueue(j, QueueReserved)
			}
			continue
		}
		if err := s.startError(now, j, index, c.w); err != nil {
			s.abortViolatingJob(now, j, index, c.w, err)
			return workers
		}
		c.free = c.free.Sub(j.spec.Need)
		restarts.add(s, now, j, fleet.Task{Job: j.spec.ID, Index: index})
		s.startTask(now, j, index, c.w)
		if !c.w.open.takesStarts() {
			workers = withoutFull(workers)
		}
		workerIDs = append(workerIDs, c.w.info.ID)
		speeds = append(speeds, strconv.FormatFloat(c.w.speed, 'f', 1, 64))
	}
	j.waiting = stillWaiting
	if len(workerIDs) > 0 {
		s.logEvent(j.spec.RequestID, "tasks started", "job", j.spec.ID, "tasks", len(workerIDs), "waiting", len(stillWaiting),
			"age", now-j.arrived, "wanted_ago", j.wantedAge(now), "objective", j.objective, "predicted", j.taskDuration, "workers", strings.Join(workerIDs, ","), "speeds", strings.Join(speeds, ","))
		restarts.write(s, j)
	}
	return workers
}

// chooseWorker returns the best worker for a task of the job, or nil. The best is the fastest on
// which the task ends in time. If there is none, the task waits for one if it may, and otherwise takes
// the fastest worker that has enough free capacity. Without this wait, long tasks on slow workers would
// always be late.
func (s *State) chooseWorker(now time.Duration, j *job, index int, workers []*candidate, mayWait bool) *candidate {
	var best *candidate
	var bestScore float64
	for _, c := range workers {
		if !c.free.Fits(j.spec.Need) || !j.allowsWorker(c.w) || !s.leavesReserved(now, c, j) || !s.mayShareWorker(j, index, c.w) {
			continue
		}
		score := j.score(now, c, s.speedOf(now, c.w, j), mayWait)
		if score > 0 {
			score = max(minScore, score-s.sharingCost(j, c.w))
		}
		if score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// score rates a worker for a task of the job. 0 means that the task should wait.
func (j *job) score(now time.Duration, c *candidate, speed float64, mayWait bool) float64 {
	freeCapacityBonus := freeCapacityWeight * float64(c.free.CPU) / float64(max(1, c.w.info.Capacity.CPU))
	switch {
	case j.inTime(now, speed):
		return inTimeBonus + speed + freeCapacityBonus
	case mayWait:
		return 0
	default:
		return speed + freeCapacityBonus
	}
}

// hasInTimeWorker reports whether the cell has a worker, busy or not, on which a task of the job would
// end in time if it started now.
func (s *State) hasInTimeWorker(now time.Duration, j *job) bool {
	return s.hasEligibleWorker(j, func(w *worker) bool {
		return w.countsAsCapacity() && w.info.Capacity.Fits(j.spec.Need) && j.inTime(now, s.speedOf(now, w, j))
	})
}

// canWait reports whether the job's slack allows its tasks to wait for workers on which they end in
// time.
func (j *job) canWait(now time.Duration) bool {
	slack := float64(j.objective - j.taskDuration)
	return now < j.arrived+time.Duration(slackWaitShare*slack)
}

// inTime reports whether a task that starts now on a worker of the given speed is expected to end
// within the objective. The objective grows with the predicted duration. An error of the prediction
// therefore matters only as far as the worker is slower or faster than the objective allows for.
func (j *job) inTime(now time.Duration, speed float64) bool {
	excess := (1/(speedMargin*speed) - max(1, j.route.SlackFactor)) * float64(j.taskDuration)
	if excess > 0 {
		excess *= overrunFactor
	} else {
		excess *= underrunFactor
	}
	return float64(j.route.ObjectiveOffset)-float64(now-j.arrived) > excess
}

const (
	// defaultRemotePenalty is how many times longer a task takes on another rack than that of its data, if
	// the policy does not say.
	defaultRemotePenalty = 2.0
	// freeCapacityWeight makes the emptier of two workers of similar speed score higher.
	freeCapacityWeight = 0.1
	// minScore is that of a worker that is taken only if there is no other.
	minScore = 0.001
	// inTimeBonus is higher than every speed.
	inTimeBonus = 10
	// overrunFactor and underrunFactor are the assumed duration of a task, in multiples of its
	// prediction, where the worker is slower or faster than the objective allows for.
	overrunFactor  = 1.2
	underrunFactor = 0.6
	// speedMargin allows for the error in the estimate of a worker's speed.
	speedMargin = 0.95
	// slackWaitShare is the share of a job's slack during which its tasks wait for a worker on which
	// they end in time, before they take any worker.
	slackWaitShare = 0.5
)

// allowsWorker reports whether the job's constraints (label, tasks on one worker) permit the
// worker.
func (j *job) allowsWorker(w *worker) bool {
	if j.spec.Label != "" && !w.info.HasLabel(j.spec.Label) {
		return false
	}
	if j.spec.MaxPerWorker <= 0 {
		return true
	}
	return j.runsOn(w) < j.spec.MaxPerWorker
}

// runsOn returns the number of runs of the job's tasks that may be running on a worker.
func (j *job) runsOn(w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.job.spec.ID == j.spec.ID {
			n++
		}
	}
	return n
}

// recordFailure counts a failed run. It blocks a worker on which several runs in a row have failed.
func (w *worker) recordFailure(now time.Duration) {
	w.consecutiveFailures++
	if w.consecutiveFailures >= maxConsecutiveFailures {
		w.block(now)
	}
}

// maxConsecutiveFailures is the number of failed runs in a row after which a worker is blocked. On
// sound workers two runs in a thousand fail.
const maxConsecutiveFailures = 2

// sortedJobs returns the jobs in a fixed order.
func (s *State) sortedJobs() []*job {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, compareJobs)
	return jobs
}

// compareJobs orders jobs by their keys.
func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.key.Host, b.key.Host), cmp.Compare(a.key.Seq, b.key.Seq))
}
