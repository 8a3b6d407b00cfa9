package sched

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// lateFactor is the multiple of a job's objective up to which its answer is of use.
const lateFactor = 3

// job is a job in progress.
type job struct {
	key       JobKey
	cell      fleet.Cell
	spec      fleet.JobSpec
	route     fleet.Route
	arrived   time.Duration // when the caller's request arrived
	deadline  time.Duration // when the caller stops waiting
	base      time.Duration // predicted duration of a task on a worker of mean speed
	objective time.Duration // answer time that the route promises, from arrived
	waiting   []int         // tasks without a run
	attempts  []int64       // newest attempt of each task
	failures  []int         // runs of each task that ended failed
	runs      int           // that may be at work
	live      []bool        // tasks with such a run
	done      int           // tasks
	begun     int           // starts that were not refused: tasks of the job may have run
	finished  bool
}

// submit admits a job or refuses it at once.
func (s *State) submit(now time.Duration, in Job) {
	if s.jobs[in.Key] != nil {
		return // sent again by the entry host
	}
	j := &job{
		key: in.Key, cell: in.Cell, spec: in.Spec, route: in.Route,
		arrived: now - in.Age, deadline: now + in.Left,
		waiting:  make([]int, in.Spec.Tasks),
		attempts: make([]int64, in.Spec.Tasks),
		live:     make([]bool, in.Spec.Tasks),
		failures: make([]int, in.Spec.Tasks),
	}
	for i := range j.waiting {
		j.waiting[i] = i
	}
	j.base = s.model.predict(in.Route.Name, in.Spec.Estimate)
	j.objective = time.Duration(float64(j.base)*max(1, in.Route.SlackFactor)) + in.Route.Target
	s.jobs[j.key] = j
	s.importance.see(now, j)
	if reason := s.refusal(j); reason != "" {
		s.finish(now, j, Refused, reason)
		return
	}
	s.queue = append(s.queue, j)
	s.dirty = true
}

// cancel stops a job that nobody waits for.
func (s *State) cancel(now time.Duration, key JobKey) {
	if j := s.jobs[key]; j != nil {
		s.finish(now, j, Aborted, "the caller is gone")
	}
}

// finish ends a job for its caller and stops what is left of it.
func (s *State) finish(now time.Duration, j *job, o Outcome, reason string) {
	if j.finished {
		return
	}
	j.finished = true
	if o == Refused && j.begun > 0 {
		o = Aborted
	}
	delete(s.jobs, j.key)
	j.waiting = nil
	if j.runs > 0 {
		s.stopRuns(now, j)
	}
	s.count(o)
	s.emit(Finish{Key: j.key, Outcome: o, Reason: reason})
	s.dirty = true
}

func (s *State) count(o Outcome) {
	switch o {
	case Completed:
		s.stats.Completed++
	case Failed:
		s.stats.Failed++
	case Refused:
		s.stats.Refused++
	case Aborted:
		s.stats.Aborted++
	}
}

func (s *State) stopRuns(now time.Duration, j *job) {
	for _, w := range s.order {
		for _, r := range sortedRuns(w) {
			if r.job == j && r.stop.wanted == 0 {
				r.stop.wanted = now
				s.sendStop(now, w, r.key, &r.stop)
			}
		}
	}
}

// over ends a run and decides what becomes of its task.
func (s *State) over(now time.Duration, w *worker, r *run, how fleet.How) {
	delete(w.runs, r.key)
	s.dirty = true
	j := r.job
	j.runs--
	j.live[r.index] = false
	if how == fleet.EndDone {
		s.stats.Done++
		s.learn(now, w, r)
	}
	if j.finished {
		return
	}
	switch how {
	case fleet.EndDone:
		j.done++
		if j.done == j.spec.Tasks {
			s.finish(now, j, Completed, "")
		}
		return
	case fleet.EndFailed:
		s.note(j.spec.RequestID, "run failed", "job", j.spec.ID, "task", r.key.Task, "attempt", r.key.Attempt, "worker", w.info.ID, "failures", j.failures[r.index]+1, "of", j.route.MaxAttempts)
		s.stats.FailedRuns++
		w.noteFailure(now)
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

// enqueue puts a job back among those with waiting tasks.
func (s *State) enqueue(j *job) {
	if !slices.Contains(s.queue, j) {
		s.queue = append(s.queue, j)
	}
}

// newRun makes the run of a job's next waiting task.
func (j *job) newRun(index int) fleet.RunKey {
	j.attempts[index]++
	return fleet.RunKey{Task: fleet.Task{Job: j.spec.ID, Index: index}, Attempt: j.attempts[index]}
}

// expire ends the jobs whose callers' time is up, and those that have not begun and can no
// longer be answered in a useful time.
func (s *State) expire(now time.Duration) {
	for _, j := range s.sortedJobs() {
		switch {
		case now >= j.deadline:
			s.finish(now, j, Refused, "the caller's time is up")
		case j.begun > 0:
			// Its answer is of use to the caller also when it is late.
		case j.hopeless(now):
			s.finish(now, j, Refused, "no longer possible in a useful time")
		case !s.served(j):
			s.finish(now, j, Refused, "no worker of the service is at hand")
		}
	}
}

// hopeless reports whether the job's answer would come too late even if its tasks started now.
func (j *job) hopeless(now time.Duration) bool {
	return now+j.base > min(j.deadline, j.arrived+lateFactor*j.objective)
}

// served reports whether any worker counts for the job.
func (s *State) served(j *job) bool {
	for _, w := range s.order {
		if j.eligible(w) && w.counts() {
			return true
		}
	}
	return false
}

// Close refuses new jobs for a cell's workers and those that have not begun. Workers that are
// released serve the others until these have ended.
func (s *State) Close(now time.Duration, cell fleet.Cell) {
	s.closed[cell] = true
	for _, j := range s.sortedJobs() {
		if j.cell == cell && j.begun == 0 {
			s.finish(now, j, Refused, reasonHandover)
		}
	}
	s.compactQueue()
}

// Open takes jobs for a cell's workers again.
func (s *State) Open(cell fleet.Cell) { delete(s.closed, cell) }

// reasonHandover refuses jobs while a cell changes hands.
const reasonHandover = "the cell changes hands"

// waits reports whether a task waits for a worker of a cell.
func (s *State) waits(cell fleet.Cell) bool {
	for _, j := range s.queue {
		if j.cell == cell && !j.finished && len(j.waiting) > 0 {
			return true
		}
	}
	return false
}

// CancelHost gives up all jobs that came from a process.
func (s *State) CancelHost(now time.Duration, host uint64) int {
	n := 0
	for _, j := range s.sortedJobs() {
		if j.key.Host == host {
			s.finish(now, j, Aborted, "the entry host is gone")
			n++
		}
	}
	return n
}
