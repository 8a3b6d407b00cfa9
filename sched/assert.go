package sched

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// startError says which invariant a start would break, or returns nil. Placement chooses only
// starts that pass; the check stands apart from it so that a fault there costs a job and not
// a promise.
func (s *State) startError(now time.Duration, j *job, index int, w *worker) error {
	switch {
	case w.phase != phaseHeld && w.phase != phaseLeaving:
		return errors.New("the worker is not commanded")
	case w.info.Draining || w.removed:
		return errors.New("the worker leaves")
	case !j.eligible(w):
		return errors.New("the worker serves another service or cell")
	case len(w.foreign) > 0:
		return errors.New("runs of another host are at work there")
	case !w.free().Fits(j.spec.Need):
		return errors.New("the worker has no room")
	case w.stale(now):
		return errors.New("the worker's clock is not known")
	case j.finished:
		return errors.New("the job has ended")
	case j.live[index]:
		return errors.New("a run of the task may be at work")
	}
	return nil
}

// violated reports a start that would have broken an invariant. The job is given up, so that
// it is not tried again and again.
func (s *State) violated(now time.Duration, j *job, index int, w *worker, err error) {
	s.stats.Violations++
	s.note(j.spec.RequestID, "invariant violated", "job", j.spec.ID, "task", index, "worker", w.info.ID, "err", err)
	s.finish(now, j, Aborted, "an internal check has stopped the job")
}

// Check returns an error if the bookkeeping of jobs and runs contradicts itself.
func (s *State) Check() error {
	runs := make(map[*job]int)
	for _, w := range s.order {
		for _, r := range sortedRuns(w) {
			runs[r.job]++
			if !r.job.live[r.index] {
				return errors.Newf("the run %v on %s is not counted as live", r.key, w.info.ID)
			}
		}
	}
	for _, j := range s.sortedJobs() {
		if err := s.checkJob(j, runs[j]); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) checkJob(j *job, runs int) error {
	live := 0
	for _, l := range j.live {
		if l {
			live++
		}
	}
	switch {
	case j.runs != runs || live != runs:
		return errors.Newf("job %s counts %d runs and %d live tasks; there are %d", j.spec.ID, j.runs, live, runs)
	case len(j.waiting)+runs+j.done != j.spec.Tasks:
		return errors.Newf("job %s has %d waiting, %d running and %d done of %d tasks", j.spec.ID, len(j.waiting), runs, j.done, j.spec.Tasks)
	case len(j.waiting) > 0 && !slices.Contains(s.queue, j):
		return errors.Newf("job %s waits and is not in the queue", j.spec.ID)
	}
	return nil
}
