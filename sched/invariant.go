package sched

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/fleet"
)

// startError returns the invariant that a start would break, or nil. Placement chooses only starts
// that pass this check. The check is separate from placement, so that a fault in placement aborts a
// job instead of breaking an invariant.
func (s *State) startError(now time.Duration, j *job, index int, w *worker) error {
	switch {
	case w.phase != phaseHeld && w.phase != phaseLeaving || !w.cleared:
		return errors.New("the host does not command the worker")
	case w.info.Draining || w.removed:
		return errors.New("the worker is draining or no longer in the directory")
	case s.restrictions.reason(w.info.Zone) != "":
		return errors.New(s.restrictions.reason(w.info.Zone))
	case !j.eligible(w):
		return errors.New("the worker belongs to another service or cell")
	case len(w.foreignRuns) > 0:
		return errors.New("the worker runs tasks of another host")
	case !w.freeCapacity().Fits(j.spec.Need):
		return errors.New("the free capacity of the worker is too small for the task")
	case w.entryOutdated():
		return errors.New("the entry of the worker describes another process")
	case w.clockStale(now):
		return errors.New("the last reading of the worker's clock is too old")
	case j.finished:
		return errors.New("the job has ended")
	case j.hasRun[index]:
		return errors.New("another run of the task may be running")
	case j.suspicion.held:
		return errors.New("workers may have crashed under the task")
	case !s.mayShareWorker(j, index, w):
		return errors.New("tasks that may crash workers share none with those of other jobs")
	case !s.mayStart(now, j, index):
		return errors.New("the job may not be wanted, or an earlier submission of it may run the task")
	}
	return nil
}

// abortViolatingJob counts and logs a start that would have broken an invariant. It aborts the job,
// so that the start is not retried again and again.
func (s *State) abortViolatingJob(now time.Duration, j *job, index int, w *worker, err error) {
	s.stats.Violations++
	s.logEvent(j.spec.RequestID, "invariant violated", "job", j.spec.ID, "task", index, "worker", w.info.ID, "err", err)
	s.finish(now, j, Aborted, "an internal check has stopped the job")
}

// Check returns an error if the records of jobs and runs contradict each other.
func (s *State) Check() error {
	runs := make(map[*job]int)
	for _, w := range s.sortedWorkers {
		var used fleet.Resources
		work := int64(0)
		for _, r := range sortedRuns(w) {
			runs[r.job]++
			used = used.Add(r.need)
			work += r.work()
			if !r.job.hasRun[r.index] {
				return errors.Newf("the run %v on %s is not counted as live", r.key, w.info.ID)
			}
		}
		if used != w.used || work != w.runningWork {
			return errors.Newf("worker %s counts %+v as used and %d as work; its runs need %+v and %d", w.info.ID, w.used, w.runningWork, used, work)
		}
	}
	for _, j := range s.sortedJobs() {
		if err := s.checkJob(j, runs[j]); err != nil {
			return err
		}
	}
	return nil
}

// checkJob compares the counters of a job with runs, the number of its runs on all workers.
func (s *State) checkJob(j *job, runs int) error {
	live := 0
	for _, l := range j.hasRun {
		if l {
			live++
		}
	}
	switch {
	case j.activeRuns != runs || live != runs:
		return errors.Newf("job %s counts %d runs and %d live tasks; there are %d", j.spec.ID, j.activeRuns, live, runs)
	case len(j.waiting)+runs+j.doneTasks != j.spec.Tasks:
		return errors.Newf("job %s has %d waiting, %d running and %d done of %d tasks", j.spec.ID, len(j.waiting), runs, j.doneTasks, j.spec.Tasks)
	case len(j.waiting) > 0 && !slices.Contains(s.queue, j):
		return errors.Newf("job %s waits and is not in the queue", j.spec.ID)
	}
	return nil
}
