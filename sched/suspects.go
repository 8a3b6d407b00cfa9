package sched

import (
	"fmt"
	"time"

	"sesameledge.dev/sesameledge/crash"
)

// crashJob returns the name of a job across submissions, commanders and cells.
func crashJob(j *job) crash.Job {
	return crash.JobOf(j.route, j.spec.ID)
}

// suspicion is what the reports of lost workers mean for a job, as of the newest assess.
type suspicion struct {
	named        bool // a report names a task of the job
	held         bool // the job starts no task until reports are settled
	crashedAlone bool // a worker has crashed under the job, with no other job on it
	risk         crash.Risk
}

// parked reports whether the job waits for something else than room: for the proof that workers have crashed
// under it, or, where it has most likely crashed one, for its turn to be tried again.
func (s suspicion) parked() bool { return s.held || s.crashedAlone && s.risk == crash.Risky }

// standing returns what the crashes under a task of a job mean for its next start.
func (s *State) standing(j *job, index int) crash.Standing {
	if !j.suspicion.named {
		return crash.Clear
	}
	return s.crashes.StandingOf(crashTask(j, index))
}

// assessInterval is the time after which jobs are assessed again although no report has changed: reports lose
// weight with time.
const assessInterval = 500 * time.Millisecond

// assessJobs assesses all jobs, if a report has changed since it last did or assessInterval is over.
func (s *State) assessJobs(now time.Duration) {
	if s.assessedChanges == s.crashes.Changes() && (s.crashes.Empty() || now-s.assessedAt < assessInterval) {
		return
	}
	s.assessedChanges, s.assessedAt = s.crashes.Changes(), now
	for _, j := range s.sortedJobs() {
		s.assess(now, j)
	}
	s.logRisks(now)
}

// assess ends a job with a task that is given up. A job with a task that is held starts none until it is known
// whether workers have crashed under the task, and takes no room from other jobs meanwhile.
func (s *State) assess(now time.Duration, j *job) {
	name := crashJob(j)
	j.suspicion = suspicion{named: s.crashes.Names(name), risk: s.crashes.RiskOf(now, name.Kind)}
	if !j.suspicion.named {
		return
	}
	for i := range j.spec.Tasks {
		standing := s.standing(j, i)
		j.suspicion.held = j.suspicion.held || standing == crash.Held
		j.suspicion.crashedAlone = j.suspicion.crashedAlone || s.crashes.CrashedAlone(crashTask(j, i))
		if standing == crash.GivenUp {
			s.giveUp(now, j, i)
			return
		}
	}
}

// giveUp ends a job because of the crashes under a task.
func (s *State) giveUp(now time.Duration, j *job, task int) {
	reason := GivenUpReason(s.crashes, crashTask(j, task))
	s.logEvent(j.spec.RequestID, "task given up for crashes", "job", j.spec.ID, "task", task, "reason", reason)
	s.stats.GivenUp++
	s.finish(now, j, Failed, reason)
}

// GivenUpReason returns the reason for giving up a task for the crashes under it.
func GivenUpReason(l *crash.Ledger, t crash.Task) string {
	return fmt.Sprintf("task %d has crashed %d processes that had it", t.Index, l.Crashes(t))
}

// isSameJob reports whether two jobs are submissions of one job.
func isSameJob(a, b *job) bool { return a == b || a.spec.ID == b.spec.ID && crashJob(a) == crashJob(b) }

// mayShareWorker reports whether a task of the job may start beside the runs of a worker. A suspect runs beside no
// task of another job, and a task of a risky kind beside none of another kind: if the worker crashes, the
// others are not suspected and lose nothing.
func (s *State) mayShareWorker(j *job, index int, w *worker) bool {
	if s.crashes.Empty() {
		return true
	}
	suspect := s.standing(j, index) != crash.Clear
	for _, r := range w.runList {
		switch {
		case isSameJob(r.job, j):
		case suspect || s.standing(r.job, r.index) != crash.Clear:
			return false
		case isRisky(j) != isRisky(r.job) || isRisky(j) && crash.KindOf(j.route) != crash.KindOf(r.job.route):
			return false
		}
	}
	return true
}

func isRisky(j *job) bool { return j.suspicion.risk == crash.Risky }

// sharingPenalty is taken off the score of a worker that a task of a suspected or risky kind would share with
// another job. It is above the differences between workers on which the task ends in time.
const sharingPenalty = 5

// sharingCost returns what sharing a worker takes off its score for a task of the job.
func (s *State) sharingCost(j *job, w *worker) float64 {
	if s.crashes.Empty() {
		return 0
	}
	for _, r := range w.runList {
		if !isSameJob(r.job, j) && (j.suspicion.risk != crash.NoRisk || r.job.suspicion.risk != crash.NoRisk) {
			return sharingPenalty
		}
	}
	return 0
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
