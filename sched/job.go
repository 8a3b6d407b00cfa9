package sched

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// maxLatenessFactor is the multiple of a job's objective after which its answer is of no use any
// more.
const maxLatenessFactor = 3

// job is a job in progress.
type job struct {
	key              JobKey
	origin           *origin
	cell             fleet.Cell
	spec             fleet.JobSpec
	route            fleet.Route
	arrived          time.Duration // when the caller's request arrived
	deadline         time.Duration // when the caller stops waiting
	taskDuration     time.Duration // predicted duration of one task on a worker of mean speed
	objective        time.Duration // answer time that the route promises, counted from arrived
	waiting          []int         // indices of the tasks without a run
	attempts         []int64       // newest attempt of each task
	failures         []int         // number of failed runs of each task
	activeRuns       int           // number of runs that may be running
	hasRun           []bool        // for each task: such a run exists
	doneTasks        int           // number of tasks that have ended done
	unrejectedStarts int           // starts sent, less those rejected; above 0: tasks of the job may have run
	share            *queueShare   // of its route
	sizeFactor       float64       // share of its slack after which its tasks should start; below 1 if they are large
	waitsForRoom     bool          // it is late and starts only when there is room for all its tasks; see comesBack
	suspicion        suspicion
	finished         bool          // its outcome has been reported
	unwantedSince    time.Duration // when it finished, or when it was last known to be wanted before; 0: it is wanted
}

// handleSubmit queues a job or refuses it at once.
func (s *State) handleSubmit(now time.Duration, in Job) {
	if s.jobs[in.Key] != nil {
		return // the entry host has sent it twice
	}
	j := &job{
		key: in.Key, origin: s.originOf(in), cell: in.Cell, spec: in.Spec, route: in.Route,
		arrived: now - in.Age, deadline: now + in.Left,
		waiting:  make([]int, in.Spec.Tasks),
		attempts: make([]int64, in.Spec.Tasks),
		hasRun:   make([]bool, in.Spec.Tasks),
		failures: make([]int, in.Spec.Tasks),

		sizeFactor: 1,
	}
	for i := range j.waiting {
		j.waiting[i] = i
	}
	j.taskDuration = s.durations.predict(in.Route.Name, in.Spec.Estimate)
	j.objective = time.Duration(float64(j.taskDuration)*max(1, in.Route.SlackFactor)) + in.Route.ObjectiveOffset
	s.jobs[j.key] = j
	s.importance.recordArrival(now, j)
	s.shares.recordArrival(j)
	if s.assess(now, j); j.finished {
		return
	}
	if reason := s.refusalReason(j); reason != "" {
		s.finish(now, j, Refused, reason)
		return
	}
	if s.policy.LookAhead {
		j.sizeFactor = s.sizeFactor(j)
	}
	s.queue = append(s.queue, j)
	s.needsPlacement = true
}

// handleCancel aborts a job that nobody waits for any more.
func (s *State) handleCancel(now time.Duration, key JobKey) {
	if j := s.jobs[key]; j != nil {
		s.abandon(now, j, "the caller is gone")
	}
}

// abandon ends a job whose caller has left at some time since it was last seen.
func (s *State) abandon(now time.Duration, j *job, reason string) {
	s.finish(now, j, Aborted, reason)
	j.unwantedSince = j.origin.callersSeen
}

// finish reports the outcome of a job, if none was reported yet, and stops its runs. An outcome of
// Refused becomes Aborted if tasks of the job may have run.
func (s *State) finish(now time.Duration, j *job, o Outcome, reason string) {
	if j.finished {
		return
	}
	j.finished = true
	j.unwantedSince = now
	if o == Refused && j.unrejectedStarts > 0 {
		o = Aborted
	}
	delete(s.jobs, j.key)
	j.waiting = nil
	if j.activeRuns > 0 {
		s.stopRuns(now, j)
	}
	s.countOutcome(o)
	s.countFinished(now, j, o, reason)
	s.emit(JobFinished{Key: j.key, Outcome: o, Reason: reason})
	s.needsPlacement = true
}

func (s *State) countOutcome(o Outcome) {
	switch o {
	case Completed:
		s.stats.Completed++
	case Failed:
		s.stats.Failed++
	case Refused:
		s.stats.Refused++
	case Aborted:
		s.stats.Aborted++
	case Cancelled:
		s.stats.Cancelled++
	}
}

// stopRuns stops all runs of a job.
func (s *State) stopRuns(now time.Duration, j *job) {
	for _, w := range s.sortedWorkers {
		for _, r := range sortedRuns(w) {
			if r.job == j && r.stop.wantedSince == 0 {
				r.stop.wantedSince = now
				s.sendStop(now, w, r.key, &r.stop)
			}
		}
	}
}

// endRun ends a run that is over. It finishes the job if this completes it or was the
// last attempt that the route allows; otherwise it makes the task wait again.
func (s *State) endRun(now time.Duration, w *worker, r *run, end ending) {
	w.removeRun(r)
	s.taskRuns.remove(r.key.Task)
	s.needsPlacement = true
	j := r.job
	j.activeRuns--
	j.hasRun[r.index] = false
	if end.how == fleet.EndDone {
		s.stats.Done++
		s.recordDuration(now, w, r)
		s.crashes.Done(crashTask(j, r.index))
	} else {
		s.rememberEnd(now, w, r, end)
	}
	if j.finished {
		s.recordUnwantedRun(now, w, r)
		return
	}
	switch end.how {
	case fleet.EndDone:
		j.doneTasks++
		if j.doneTasks == j.spec.Tasks {
			s.finish(now, j, Completed, "")
		}
		return
	case fleet.EndFailed:
		s.logEvent(j.spec.RequestID, "run failed", "job", j.spec.ID, "task", r.key.Task, "attempt", r.key.Attempt, "worker", w.info.ID, "failures", j.failures[r.index]+1, "of", j.route.MaxAttempts)
		s.stats.FailedRuns++
		w.recordFailure(now)
		j.failures[r.index]++
	}
	if j.failures[r.index] >= j.route.MaxAttempts {
		s.finish(now, j, Failed, "a task failed in all its attempts")
		return
	}
	j.waiting = append(j.waiting, r.index)
	if len(j.waiting) == 1 {
		s.enqueue(j)
	}
}

// enqueue puts a job into the queue of jobs with waiting tasks unless it is there.
func (s *State) enqueue(j *job) {
	if !slices.Contains(s.queue, j) {
		s.queue = append(s.queue, j)
	}
}

// nextRunKey returns the key of the next attempt of a task.
func (j *job) nextRunKey(index int) fleet.RunKey {
	j.attempts[index]++
	return fleet.RunKey{Task: fleet.Task{Job: j.spec.ID, Index: index}, Attempt: j.attempts[index]}
}

// expireJobs ends the jobs past their deadlines, and the jobs without a started task that can no
// longer be answered in time to be of use or that no worker can serve.
func (s *State) expireJobs(now time.Duration) {
	for _, j := range s.sortedJobs() {
		switch {
		case now >= j.deadline:
			s.finish(now, j, Refused, "the caller's time is up")
		case j.unrejectedStarts > 0 && j.activeRuns > 0:
			// A late answer is of use to the caller once tasks of the job have run.
		case j.unrejectedStarts > 0:
			if reason := s.restartObstacle(now, j); reason != "" {
				s.finish(now, j, Aborted, reason)
			}
		case j.tooLateToStart(now):
			s.finish(now, j, Refused, "no longer possible in a useful time")
		case !s.hasCountingWorker(j):
			s.finish(now, j, Refused, "no worker of the service is at hand")
		}
	}
}

// restartObstacle returns why the tasks of a job that has lost all its runs cannot be started again in
// time, or an empty string. The caller can then send the job again instead of waiting for its deadline.
func (s *State) restartObstacle(now time.Duration, j *job) string {
	if now+j.taskDuration > j.deadline {
		return "a lost task cannot run again in time"
	}
	if s.hasEligibleWorker(j, func(w *worker) bool { return w.phase != phaseNone }) {
		return ""
	}
	return "this host has lost the workers of the cell"
}

// tooLateToStart reports whether the job's answer would be of no use even if its tasks started now.
func (j *job) tooLateToStart(now time.Duration) bool {
	return now+j.taskDuration > min(j.deadline, j.arrived+maxLatenessFactor*j.objective)
}

// hasCountingWorker reports whether any worker of the job's service and cell counts as capacity.
func (s *State) hasCountingWorker(j *job) bool {
	return s.hasEligibleWorker(j, (*worker).countsAsCapacity)
}

// hasEligibleWorker reports whether a worker of the job's service and cell matches.
func (s *State) hasEligibleWorker(j *job, match func(*worker) bool) bool {
	return slices.ContainsFunc(s.sortedWorkers, func(w *worker) bool { return j.eligible(w) && match(w) })
}

// CloseCell refuses new jobs for a cell and its jobs without a started task. The cell's workers, once
// released, serve the other jobs until these have ended.
func (s *State) CloseCell(now time.Duration, cell fleet.Cell) {
	s.closedCells[cell] = true
	for _, j := range s.sortedJobs() {
		if j.cell == cell && j.unrejectedStarts == 0 {
			s.finish(now, j, Refused, reasonHandover)
		}
	}
	s.compactQueue()
}

// OpenCell accepts jobs for a cell again after CloseCell.
func (s *State) OpenCell(cell fleet.Cell) { delete(s.closedCells, cell) }

// reasonHandover is the reason for refusing jobs of a closed cell.
const reasonHandover = "the cell changes hands"

// hasWaitingTasks reports whether a task waits for a worker of a cell.
func (s *State) hasWaitingTasks(cell fleet.Cell) bool {
	for _, j := range s.queue {
		if j.cell == cell && !j.finished && len(j.waiting) > 0 {
			return true
		}
	}
	return false
}

// HostsWithJobs returns the processes that have jobs in progress here, each once.
func (s *State) HostsWithJobs() []uint64 {
	seen := make(map[uint64]bool)
	var hosts []uint64
	for key := range s.jobs {
		if !seen[key.Host] {
			seen[key.Host] = true
			hosts = append(hosts, key.Host)
		}
	}
	return hosts
}

// CancelJobsOfHost aborts all jobs that came from a process and returns their number.
func (s *State) CancelJobsOfHost(now time.Duration, host uint64) int {
	n := 0
	for _, j := range s.sortedJobs() {
		if j.key.Host == host {
			s.abandon(now, j, "the entry host is gone")
			n++
		}
	}
	delete(s.origins, host)
	return n
}

// CancelJobs cancels the jobs with an ID on the routes for which match returns true, stops their runs, and
// returns their number.
func (s *State) CancelJobs(now time.Duration, id, reason string, match func(fleet.Route) bool) int {
	var named []*job
	for _, j := range s.jobs {
		if j.spec.ID == id && match(j.route) {
			named = append(named, j)
		}
	}
	slices.SortFunc(named, compareJobs)
	for _, j := range named {
		s.finish(now, j, Cancelled, reason)
	}
	return len(named)
}
