package sched

import (
	"slices"
	"time"
)

// admission goes through the waiting jobs of a pool in the order in which they start.
type admission struct {
	now       time.Duration
	pool      pool
	forecast  *forecast
	cpu       int64  // that the jobs so far still need
	bytes     int    // of the orders that start them
	refusable []*job // jobs so far without a started task
}

// admitJobs refuses jobs of a pool that cannot be answered in time. It answers load above the capacity:
// without it every job waits until it is late. It goes through the jobs in the order of their starts, with
// the room that running tasks are predicted to free, and refuses jobs that have not begun until those
// before and the job itself start in time. Jobs of queues that have taken more than their part go first,
// and of one queue the newest, so that most refusals follow at once upon the arrival.
func (s *State) admitJobs(now time.Duration, p pool) {
	f := s.forecast(now, p)
	if f == nil {
		return
	}
	s.shares.divide(now, p.service)
	a := &admission{now: now, pool: p, forecast: f}
	for _, j := range s.queue {
		if !p.waits(j) {
			continue
		}
		j.waitsForRoom = false
		a.cpu += j.waitingCPU()
		a.bytes += j.waitingBytes()
		begun := j.unrejectedStarts > 0
		if !begun {
			a.refusable = append(a.refusable, j)
		}
		switch late := now > j.latestAdmission(); {
		case late && begun:
			// It is late, whatever is refused.
		case late:
			s.admitLate(a, j)
		default:
			s.makeRoom(a, j)
		}
	}
}

// admitLate keeps a late job, which has not begun, only if there is room for it beside the jobs before it,
// on the workers and on the link.
// In a cell that has just come back it waits for such room.
func (s *State) admitLate(a *admission, j *job) {
	if a.forecast.hasRoom(a.cpu) && s.link.Wait(a.now, a.bytes) == 0 {
		return
	}
	if j.waitsForRoom = s.comesBack(a.now, a.pool.cell); j.waitsForRoom {
		a.withdraw(len(a.refusable) - 1)
		return
	}
	s.refuseForOverload(a, len(a.refusable)-1, j)
}

// makeRoom refuses jobs until a job, the last one so far, is predicted to start in time.
func (s *State) makeRoom(a *admission, j *job) {
	for len(a.refusable) > 0 && s.startsLate(a, j) {
		i := leastEntitled(a.refusable)
		victim := a.refusable[i]
		if j.unrejectedStarts > 0 && j.share.refusedBefore(victim.share) {
			return // the job has begun, and is less entitled to the room than those before it
		}
		s.refuseForOverload(a, i, j)
		if victim == j {
			return
		}
	}
}

// startsLate reports whether a job, the last one so far, is predicted to start too late for the load. To wait
// for workers that are being taken, with room for all, is none. What waits for the link leaves at its pace, so that
// this wait needs no margin.
func (s *State) startsLate(a *admission, j *job) bool {
	lacksRoom := !a.forecast.hasRoom(a.cpu) && a.now+a.forecast.wait(a.cpu) > j.latestAdmission()
	return lacksRoom || a.now+s.link.Wait(a.now, a.bytes) > j.latestStart()+startTolerance
}

// startWait predicts how long it takes until all jobs so far have started.
func (s *State) startWait(a *admission) time.Duration {
	return max(a.forecast.wait(a.cpu), s.link.Wait(a.now, a.bytes))
}

// withdraw takes a job that may be refused, given by its index, out of the sums.
func (a *admission) withdraw(i int) {
	j := a.refusable[i]
	a.refusable = slices.Delete(a.refusable, i, i+1)
	a.cpu -= j.waitingCPU()
	a.bytes -= j.waitingBytes()
}

// refuseForOverload refuses a job, given by its index, so that another one, or itself, is not late.
func (s *State) refuseForOverload(a *admission, i int, toServe *job) {
	j := a.refusable[i]
	s.logEvent(j.spec.RequestID, "job refused for overload", "job", j.spec.ID, "queue", j.route.Name, "priority", j.route.Priority,
		"use", j.share.use, "to_serve", toServe.spec.ID, "wait", s.startWait(a), "left", toServe.latestAdmission()-a.now, "free", a.forecast.free)
	a.withdraw(i)
	s.shares.recordRefusal(a.now, j)
	s.finish(a.now, j, Refused, reasonOverload)
	s.shares.divide(a.now, a.pool.service)
}

// refusalReason returns why a new job cannot be served, or an empty string if it can.
func (s *State) refusalReason(j *job) string {
	if s.closedCells[j.cell] {
		return reasonHandover
	}
	if reason := s.restrictions.reason(j.cell.Zone()); reason != "" {
		return reason
	}
	switch {
	case !s.hasCountingWorker(j):
		return "no worker of the service is at hand"
	case !s.fitsSomeWorker(j):
		return "no worker could hold a task of the job"
	}
	return ""
}

// fitsSomeWorker reports whether any worker has the capacity and the label for a task of the job.
func (s *State) fitsSomeWorker(j *job) bool {
	return s.hasEligibleWorker(j, func(w *worker) bool {
		return w.countsAsCapacity() && w.info.Capacity.Fits(j.spec.Need) && (j.spec.Label == "" || w.info.HasLabel(j.spec.Label))
	})
}

// latestAdmission is the latest time at which the job's tasks may be predicted to start. It leaves time
// for tasks that take longer than predicted, for example on a slow worker.
func (j *job) latestAdmission() time.Duration {
	slack := j.objective - j.taskDuration
	margin := time.Duration(admissionMargin * float64(j.taskDuration))
	return j.arrived + max(slack-margin, time.Duration(minSlackShare*float64(slack)))
}

const (
	// admissionMargin is the margin for tasks that take longer than predicted, as a share of their
	// predicted duration. Estimates of callers are off by some 40% either way.
	admissionMargin = 0.5
	// minSlackShare is the share of its slack that a job may wait even if the margin takes more.
	minSlackShare = 0.25
)

// forecast predicts when room becomes free in a pool.
type forecast struct {
	free     int64 // CPU that is free now, in thousandths of a core
	coming   int64 // CPU that tasks can use on workers that are being taken
	releases []cpuRelease
	rate     float64       // CPU that becomes free per second after the last release
	last     time.Duration // time of the last release from now on
	released int64         // sum of the releases
}

// cpuRelease is CPU that running tasks free at a time from now on.
type cpuRelease struct {
	after time.Duration
	cpu   int64
}

// forecast returns the forecast of a pool, or nil if it has no workers.
func (s *State) forecast(now time.Duration, p pool) *forecast {
	f := new(forecast)
	effective, busyWork, workers := 0.0, 0.0, 0
	for _, w := range s.sortedWorkers {
		if !p.counts(w) {
			continue
		}
		workers++
		cold := s.currentColdSpeed(now, w)
		if w.isBeingTaken() {
			f.addComing(w, s.takeTime(w))
		} else {
			f.free += int64(float64(max(0, w.freeCapacity().CPU)) * cold)
		}
		effective += float64(w.info.Capacity.CPU) * packingEfficiency * cold
		for _, r := range w.runList {
			f.releases = append(f.releases, cpuRelease{after: r.predictedEnd(now) - now, cpu: r.need.CPU})
			f.released += r.need.CPU
			busyWork += float64(r.need.CPU) * r.predicted.Seconds()
		}
	}
	if workers == 0 {
		return nil
	}
	slices.SortFunc(f.releases, func(a, b cpuRelease) int { return int(a.after - b.after) })
	if n := len(f.releases); n > 0 {
		f.last = f.releases[n-1].after
	}
	if f.released > 0 {
		f.rate = effective / max(busyWork/float64(f.released), minMeanDuration.Seconds())
	}
	return f
}

// minMeanDuration bounds the mean duration of running tasks from below.
const minMeanDuration = 10 * time.Millisecond

// wait predicts how long it takes until so much CPU has become free.
func (f *forecast) wait(cpu int64) time.Duration {
	cpu -= int64(packingEfficiency * float64(f.free))
	if cpu <= 0 {
		return 0
	}
	for _, r := range f.releases {
		if cpu -= r.cpu; cpu <= 0 {
			return r.after
		}
	}
	if f.rate <= 0 {
		return f.last + planHorizon
	}
	return f.last + time.Duration(float64(cpu)/f.rate*float64(time.Second))
}

// planHorizon is the wait that is predicted where nothing is known to become free.
const planHorizon = 10 * time.Second

// overrunShare is the share of its predicted duration that a task is assumed to go on for once it has
// taken longer than predicted.
const overrunShare = 0.25

// predictedEnd returns when a run is expected to end.
func (r *run) predictedEnd(now time.Duration) time.Duration {
	if end := r.startSentAt + r.predicted; end > now {
		return end
	}
	return now + time.Duration(overrunShare*float64(r.predicted))
}
