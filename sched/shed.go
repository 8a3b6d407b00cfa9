package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// importance estimates the worth of a job. All routes have the same total worth, so a job of a
// route with few jobs is worth more than one of a busy route. This keeps bursts of cheap requests
// from crowding out rare and large ones.
type importance struct {
	routes map[string]*routeImportance
}

// routeImportance is the recent demand on a route.
type routeImportance struct {
	decayedJobs float64       // number of jobs; the weight of past jobs decays
	meanWork    float64       // of a job, in thousandths of a core times seconds
	updatedAt   time.Duration // last update of decayedJobs
}

// importanceMemory is the time in which the weight of a past job falls by a factor of e.
const importanceMemory = 20 * time.Second

// fixedWorthShare is the share of a job's worth that does not depend on its work.
const fixedWorthShare = 0.3

func newImportance() *importance {
	return &importance{routes: make(map[string]*routeImportance)}
}

// decayFactor returns by which factor the weight of a past job falls in a time.
func decayFactor(d time.Duration) float64 { return math.Exp(-d.Seconds() / importanceMemory.Seconds()) }

// recordArrival adds a job to the demand on its route.
func (m *importance) recordArrival(now time.Duration, j *job) {
	r := m.routes[j.route.Name]
	if r == nil {
		r = &routeImportance{updatedAt: now, meanWork: j.work()}
		m.routes[j.route.Name] = r
	}
	r.decayedJobs *= decayFactor(now - r.updatedAt)
	r.updatedAt = now
	r.decayedJobs++
	r.meanWork += (j.work() - r.meanWork) / min(r.decayedJobs, maxSamples)
}

// worthPerWork returns the worth of a job divided by its work.
func (m *importance) worthPerWork(now time.Duration, j *job) float64 {
	r := m.routes[j.route.Name]
	work := max(j.work(), 1)
	if r == nil {
		return 1 / work
	}
	jobs := max(r.decayedJobs*decayFactor(now-r.updatedAt), 1)
	return (fixedWorthShare + (1-fixedWorthShare)*work/max(r.meanWork, 1)) / jobs / work
}

// work returns the CPU time that the job's tasks need, in thousandths of a core times seconds.
func (j *job) work() float64 {
	return float64(j.spec.Tasks) * float64(j.spec.Need.CPU) * j.taskDuration.Seconds()
}

// shedLoad refuses waiting jobs that cannot all be answered in time. It goes through the jobs in
// the order in which they would start. Where a job would start too late, it refuses the one with
// the least worth for its work, among that job and those before it, and repeats this until the job
// starts in time. Without it, every job under overload waits until it is late, and none is served
// in time.
func (s *State) shedLoad(now time.Duration, p pool) {
	load, ok := s.Loads(p.cell)[p.service]
	if !ok {
		return
	}
	var refusable []*job // without a started task, in the order of their starts
	neededCPU, neededBytes := int64(0), 0
	for _, j := range s.queue {
		if !p.waits(j) {
			continue
		}
		neededCPU += j.waitingCPU()
		neededBytes += j.waitingBytes()
		if j.unrejectedStarts == 0 {
			refusable = append(refusable, j)
		}
		for now+max(load.shortage(neededCPU), s.link.Wait(now, neededBytes)) > j.latestStart()+startTolerance && len(refusable) > 0 {
			i := s.leastWorthPerWork(now, refusable)
			victim := refusable[i]
			refusable = slices.Delete(refusable, i, i+1)
			neededCPU -= victim.waitingCPU()
			neededBytes -= victim.waitingBytes()
			s.finish(now, victim, Refused, reasonOverload)
		}
	}
}

// startTolerance is how much later than its latest start a job may be predicted to start. It covers
// the error of the prediction.
const startTolerance = 30 * time.Millisecond

// reasonOverload is the reason for refusing jobs that the capacity does not suffice for.
const reasonOverload = "the load is above the capacity"

// waitingCPU returns the CPU that the waiting tasks of the job need, in thousandths of a core.
func (j *job) waitingCPU() int64 { return int64(len(j.waiting)) * j.spec.Need.CPU }

// waitingBytes returns the size of the orders that start the waiting tasks of the job.
func (j *job) waitingBytes() int { return len(j.waiting) * j.startSize() }

// leastWorthPerWork returns the index of the job with the least worth for its work.
func (s *State) leastWorthPerWork(now time.Duration, jobs []*job) int {
	least := 0
	for i, j := range jobs {
		if cmp.Compare(s.importance.worthPerWork(now, j), s.importance.worthPerWork(now, jobs[least])) < 0 {
			least = i
		}
	}
	return least
}
