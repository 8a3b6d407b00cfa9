package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// importance learns how much a job of a route counts. Routes count alike as a whole, so a
// job of a route with few jobs counts more than one of a busy route. It answers bursts of
// cheap requests that would crowd out the rare and large ones.
type importance struct {
	routes map[string]*routeImportance
}

type routeImportance struct {
	jobs float64 // weighted number of jobs, older ones counting less
	work float64 // mean work of a job, in thousandths of a core times seconds
	at   time.Duration
}

// importanceMemory is the time in which the weight of a past job falls by a factor e.
const importanceMemory = 20 * time.Second

// fixedPart is the part of a job's worth that does not depend on its size.
const fixedPart = 0.3

func newImportance() *importance {
	return &importance{routes: make(map[string]*routeImportance)}
}

func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / importanceMemory.Seconds()) }

// see notes the arrival of a job.
func (m *importance) see(now time.Duration, j *job) {
	r := m.routes[j.route.Name]
	if r == nil {
		r = &routeImportance{at: now, work: j.work()}
		m.routes[j.route.Name] = r
	}
	r.jobs *= decay(now - r.at)
	r.at = now
	r.jobs++
	r.work += (j.work() - r.work) / min(r.jobs, modelMemory)
}

// density returns what a job counts for each unit of its work.
func (m *importance) density(now time.Duration, j *job) float64 {
	r := m.routes[j.route.Name]
	work := max(j.work(), 1)
	if r == nil {
		return 1 / work
	}
	jobs := max(r.jobs*decay(now-r.at), 1)
	return (fixedPart + (1-fixedPart)*work/max(r.work, 1)) / jobs / work
}

// work is what a job's tasks need, in thousandths of a core times seconds.
func (j *job) work() float64 {
	return float64(j.spec.Tasks) * float64(j.spec.Need.CPU) * j.base.Seconds()
}

// shed refuses waiting jobs that cannot all be answered in time. Jobs are taken in the order
// in which they would begin; where one would begin too late, the one that counts least for
// its work, among it and those before it, is refused. It answers load above the capacity:
// without it every job waits until it is late, and nobody is served in time.
func (s *State) shed(now time.Duration, p pool) {
	load, ok := s.Loads(p.cell)[p.service]
	if !ok {
		return
	}
	var ahead []*job // not begun, in the order of their starts
	need := int64(0)
	for _, j := range s.queue {
		if j.finished || j.cell != p.cell || j.route.Service != p.service {
			continue
		}
		need += j.waitingNeed()
		if j.begun == 0 {
			ahead = append(ahead, j)
		}
		for now+load.shortage(need) > j.latestStart()+shedSlack && len(ahead) > 0 {
			i := s.leastDense(now, ahead)
			victim := ahead[i]
			ahead = slices.Delete(ahead, i, i+1)
			need -= victim.waitingNeed()
			s.finish(now, victim, Refused, reasonShed)
		}
	}
}

// shedSlack is how much later than its latest start a job may be predicted to begin. It
// covers the error of the prediction.
const shedSlack = 30 * time.Millisecond

const reasonShed = "the load is above the capacity"

func (j *job) waitingNeed() int64 { return int64(len(j.waiting)) * j.spec.Need.CPU }

func (s *State) leastDense(now time.Duration, jobs []*job) int {
	least := 0
	for i, j := range jobs {
		if cmp.Compare(s.importance.density(now, j), s.importance.density(now, jobs[least])) < 0 {
			least = i
		}
	}
	return least
}
