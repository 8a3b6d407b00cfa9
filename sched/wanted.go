package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/timing"
)

// SetTiming sets the time limits of the deployment. New sets those of timing.Default. It is called before
// the first event.
func (s *State) SetTiming(b timing.Budget) { s.timing = b }

// SuspectHost sets whether it is in doubt that a process still wants its jobs. While it is, they get no
// starts, and the leases of the workers that run their tasks are not extended.
func (s *State) SuspectHost(host uint64, suspected bool) {
	if suspected {
		s.suspectedHosts[host] = true
		return
	}
	delete(s.suspectedHosts, host)
	s.needsPlacement = true
}

// withholdsLease reports whether the lease of a worker is not extended, so that runs end with it. That
// is so beside foreign runs, beside runs that nobody waits for any more until the worker has taken their
// stops, beside runs of which that is in doubt, and beside other runs whose stop has stayed without
// effect for stopGracePeriod. What the caller of a run does next depends on when its lease ends, so the
// first three get no grace: see package timing.
func (s *State) withholdsLease(now time.Duration, w *worker) bool {
	for _, r := range w.runList {
		if s.isUnwanted(r) || r.stop.isOverdue(now) {
			return true
		}
	}
	return len(w.foreignRuns) > 0
}

// isUnwanted reports whether nobody waits for a run any more, or may not, and no answer shows that the
// worker ends it.
func (s *State) isUnwanted(r *run) bool {
	if r.job.finished {
		return r.stop.acceptedAt == 0
	}
	return s.suspectedHosts[r.job.key.Host]
}

// recordUnwantedRun measures how long a run that has ended may have gone on after its job was wanted. It is
// over by the end of its lease, however late the host finds out. Callers count on timing.Budget.LongestRun.
func (s *State) recordUnwantedRun(now time.Duration, w *worker, r *run) {
	outlasted := min(now, w.leaseEndBound) - r.job.unwantedSince
	s.stats.LongestUnwanted = max(s.stats.LongestUnwanted, outlasted)
	if outlasted > s.timing.LongestRun() {
		s.logEvent(r.job.spec.RequestID, "run may have outlasted its caller", "job", r.job.spec.ID, "task", r.key.Task, "attempt", r.key.Attempt,
			"worker", w.info.ID, "after", outlasted, "limit", s.timing.LongestRun())
	}
}

// mayStart reports whether a run of a task may be started now: the job is wanted, and no worker of this
// host may be running the task for another submission of the job. Such a submission can be older than
// this host's command over the worker, or come from a host that is lost. The task waits until the earlier
// run is certainly over.
func (s *State) mayStart(j *job, index int) bool {
	task := fleet.Task{Job: j.spec.ID, Index: index}
	return !s.suspectedHosts[j.key.Host] && s.taskRuns[task] == 0 && s.foreignTasks[task] == 0
}

// taskCounts counts the runs of tasks that may be running.
type taskCounts map[fleet.Task]int

func (c taskCounts) add(t fleet.Task) { c[t]++ }

func (c taskCounts) remove(t fleet.Task) {
	if c[t]--; c[t] <= 0 {
		delete(c, t)
	}
}

// addForeignRun records a run that a worker has listed and that this host has no record of.
func (s *State) addForeignRun(w *worker, key fleet.RunKey, f *foreignRun) {
	w.foreignRuns[key] = f
	s.foreignTasks.add(key.Task)
}

// removeForeignRun forgets a foreign run that is over.
func (s *State) removeForeignRun(w *worker, key fleet.RunKey) {
	if w.foreignRuns[key] != nil {
		delete(w.foreignRuns, key)
		s.foreignTasks.remove(key.Task)
	}
}

// clearForeignRuns forgets all foreign runs of a worker.
func (s *State) clearForeignRuns(w *worker) {
	for key := range w.foreignRuns {
		s.removeForeignRun(w, key)
	}
}
