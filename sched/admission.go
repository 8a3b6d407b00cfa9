package sched

import (
	"slices"
	"time"
)

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
	neededCPU, neededBytes := int64(0), 0
	var refusable []*job
	for _, j := range s.queue {
		if j.finished || j.cell != p.cell || j.route.Service != p.service {
			continue
		}
		j.waitsForRoom = false
		neededCPU += j.waitingCPU()
		neededBytes += j.waitingBytes()
		latest := j.latestAdmission()
		switch {
		case j.unrejectedStarts == 0:
			refusable = append(refusable, j)
		case now > latest:
			continue // it has begun and is late, whatever is refused
		}
		if now > latest {
			if !f.hasRoom(neededCPU) {
				refusable = refusable[:len(refusable)-1]
				neededCPU -= j.waitingCPU()
				neededBytes -= j.waitingBytes()
				if j.waitsForRoom = s.comesBack(now, p.cell); !j.waitsForRoom {
					s.refuseForOverload(now, p, j)
				}
			}
			continue // it is late, whatever else is refused, and starts only where no other job needs the room
		}
		for len(refusable) > 0 && now+max(f.wait(neededCPU), s.link.Wait(now, neededBytes)) > latest {
			i := leastEntitled(refusable)
			victim := refusable[i]
			if j.unrejectedStarts > 0 && j.share.refusedBefore(victim.share) {
				break // the job has begun, and is less entitled to the room than those before it
			}
			refusable = slices.Delete(refusable, i, i+1)
			neededCPU -= victim.waitingCPU()
			neededBytes -= victim.waitingBytes()
			s.refuseForOverload(now, p, victim)
			if victim == j {
				break
			}
		}
	}
}

// refuseForOverload refuses a job of a pool whose room does not suffice.
func (s *State) refuseForOverload(now time.Duration, p pool, j *job) {
	s.shares.recordRefusal(now, j)
	s.finish(now, j, Refused, reasonOverload)
	s.shares.divide(now, p.service)
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
		if !w.countsAsCapacity() || w.cell != p.cell || w.info.Service != p.service {
			continue
		}
		workers++
		if w.isBeingTaken() {
			f.addComing(w)
		} else {
			f.free += max(0, w.freeCapacity().CPU)
		}
		effective += float64(w.info.Capacity.CPU) * packingEfficiency
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
