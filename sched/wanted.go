package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/timing"
)

// SetTiming sets the time limits of the deployment. New sets those of timing.Default. It is called before
// the first event.
func (s *State) SetTiming(b timing.Budget) { s.timing = b }

// origin is a process that has jobs here: this one or another one. At callersSeen it saw that the callers of all its
// jobs waited, as far as is known here.
type origin struct{ callersSeen time.Duration }

// originOf returns the origin of a job.
func (s *State) originOf(in Job) *origin {
	o := s.origins[in.Key.Host]
	if o == nil {
		o = new(origin)
		s.origins[in.Key.Host] = o
	}
	o.callersSeen = max(o.callersSeen, in.CallersSeen)
	return o
}

// RecordCallersSeen records that a process, this one or another one, saw at a time that the callers of all its jobs in
// progress here waited. A job for which this is longer ago than the contact timeout gets no starts, and the leases of
// the workers that run its tasks are not extended, until a later time is recorded.
func (s *State) RecordCallersSeen(host uint64, at time.Duration) {
	o := s.origins[host]
	if o == nil || at <= o.callersSeen {
		return
	}
	if unseen := at - o.callersSeen; unseen > s.timing.ContactTimeout {
		s.needsPlacement = true
		s.logSeenAgain(host, o, unseen)
	}
	o.callersSeen = at
}

// logSeenAgain logs that the jobs of a process are known to be wanted after a time in which they were not.
func (s *State) logSeenAgain(host uint64, o *origin, unseen time.Duration) {
	jobs := 0
	for _, j := range s.jobs {
		if j.origin == o {
			jobs++
		}
	}
	if jobs > 0 {
		s.logEvent("", "jobs are wanted again", "host_id", host, "jobs", jobs, "unseen", unseen)
	}
}

// wantedAge returns how long ago it was last known that a job is wanted.
func (j *job) wantedAge(now time.Duration) time.Duration { return now - j.origin.callersSeen }

// isDoubted reports whether a job may not be wanted any more: its caller may have left since it was last seen.
func (s *State) isDoubted(now time.Duration, j *job) bool {
	return j.wantedAge(now) > s.timing.ContactTimeout
}

// leaseFor returns the length of a lease that is granted to a worker now, on the worker's clock, for its
// runs and a run of the job j, which may be nil. All that runs on a worker has the same lease, so it is limited by the
// job whose caller was seen the longest time ago.
func (s *State) leaseFor(now time.Duration, w *worker, j *job) time.Duration {
	age := time.Duration(0)
	if j != nil {
		age = j.wantedAge(now)
	}
	for _, r := range w.runList {
		if !r.job.finished {
			age = max(age, r.job.wantedAge(now))
		}
	}
	return s.timing.LeaseAfter(age)
}

// withholdsLease reports whether the lease of a worker is not extended, so that runs end with it. That
// is so beside foreign runs, beside runs that nobody waits for any more until the worker has taken their
// stops, beside runs of which that is in doubt, and beside other runs whose stop has stayed without
// effect for stopGracePeriod. What the caller of a run does next depends on when its lease ends, so the
// first three get no grace: see package timing.
func (s *State) withholdsLease(now time.Duration, w *worker) bool {
	for _, r := range w.runList {
		if s.isUnwanted(now, r) || r.stop.isOverdue(now) {
			return true
		}
	}
	return len(w.foreignRuns) > 0
}

// isUnwanted reports whether nobody waits for a run any more, or may not, and no answer shows that the
// worker ends it.
func (s *State) isUnwanted(now time.Duration, r *run) bool {
	if r.job.finished {
		return r.stop.acceptedAt == 0
	}
	return s.isDoubted(now, r.job)
}

// recordUnwantedRun measures how long a run that has ended may have gone on after its job was wanted. It is
// over a moment after the end of its lease, however late the host finds out. Callers count on timing.Budget.LongestRun.
func (s *State) recordUnwantedRun(now time.Duration, w *worker, r *run) {
	outlasted := min(now, s.runsOver(w)) - r.job.unwantedSince
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
func (s *State) mayStart(now time.Duration, j *job, index int) bool {
	task := fleet.Task{Job: j.spec.ID, Index: index}
	return !s.isDoubted(now, j) && s.taskRuns[task] == 0 && s.foreignTasks[task] == 0
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
	if f := w.foreignRuns[key]; f != nil {
		w.closeStop(&f.stop)
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
