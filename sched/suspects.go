package sched

import (
	"fmt"
	"time"

	"sesameledge.dev/sesameledge/crash"
)

// crashJob returns the name of a job across submissions, commanders and cells.
func crashJob(j *job) crash.Job {
	return crash.Job{Kind: crash.KindOf(j.route), ID: j.spec.ID}
}

// standing returns what the crashes under a task of a job mean for its next start.
func (s *State) standing(j *job, index int) crash.Standing {
	return s.crashes.StandingOf(crashTask(j, index))
}

// worstStanding returns the worst standing of the tasks of a job, with the task that has it.
func (s *State) worstStanding(j *job) (worst crash.Standing, task int) {
	if !s.crashes.Names(crashJob(j)) {
		return crash.Clear, 0
	}
	for i := range j.spec.Tasks {
		if standing := s.standing(j, i); standing > worst {
			worst, task = standing, i
		}
	}
	return worst, task
}

// judgeJobs judges all jobs, if a report has changed since it last did.
func (s *State) judgeJobs(now time.Duration) {
	if s.judgedChanges == s.crashes.Changes() {
		return
	}
	s.judgedChanges = s.crashes.Changes()
	for _, j := range s.sortedJobs() {
		s.judge(now, j)
	}
}

// judge ends a job with a task that is given up. A job with a task that is held starts none until it is known
// whether workers have crashed under the task, and takes no room from other jobs meanwhile.
func (s *State) judge(now time.Duration, j *job) {
	standing, task := s.worstStanding(j)
	j.held = standing >= crash.Held
	if standing != crash.Convicted {
		return
	}
	n := s.crashes.Crashes(crashTask(j, task))
	s.logEvent(j.spec.RequestID, "task given up for crashes", "job", j.spec.ID, "task", task, "crashes", n)
	s.stats.Convicted++
	s.finish(now, j, Failed, fmt.Sprintf("task %d has crashed %d workers", task, n))
}

// maySitWith reports whether a task of the job may start beside the runs of a worker. A suspect runs beside no
// task of another job: if the worker crashes, the others are not suspected and lose nothing.
func (s *State) maySitWith(j *job, index int, w *worker) bool {
	suspect := s.standing(j, index) != crash.Clear
	for _, r := range w.runList {
		if r.job.spec.ID == j.spec.ID && crashJob(r.job) == crashJob(j) {
			continue
		}
		if suspect || s.standing(r.job, r.index) != crash.Clear {
			return false
		}
	}
	return true
}

// aloneShare is the share of a pool's workers that one Place keeps free for suspects.
const aloneShare = 0.25

// reserveAlone keeps a worker free for a suspect that finds none without tasks of other jobs: the one whose
// runs are predicted to end first.
func (s *State) reserveAlone(now time.Duration, j *job, workers []*candidate) {
	if s.aloneReservations >= max(1, int(aloneShare*float64(len(workers)))) {
		return
	}
	var best *candidate
	var bestAt time.Duration
	for _, c := range workers {
		if c.reserved != nil || !c.w.info.Capacity.Fits(j.spec.Need) || !j.allowsWorker(c.w) {
			continue
		}
		at := now
		for _, r := range c.ends(now) {
			at = max(at, r.at)
		}
		if best == nil || at < bestAt {
			best, bestAt = c, at
		}
	}
	if best != nil {
		best.reserved = &reservation{at: bestAt, need: best.w.info.Capacity}
		s.aloneReservations++
	}
}
