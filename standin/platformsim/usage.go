package platformsim

import (
	"sort"
	"time"

	"sesameledge.dev/sesameledge/logapi"
)

// samplePeriod is the least time between two usage samples of a worker.
const samplePeriod = 100 * time.Millisecond

// sample is the usage of a worker at a time.
type sample struct {
	at    time.Time
	usage logapi.Usage
}

// usage sums up the use of the running tasks. A throttled task uses fewer cores.
func (w *worker) usage() logapi.Usage {
	u := logapi.Usage{Worker: w.host.ID, Accelerators: w.accelerators()}
	for id, t := range w.running {
		cores := t.payload.Cores * t.view.Speed
		u.Cores += cores
		u.MemoryMB += t.payload.MemoryMB
		u.Tasks = append(u.Tasks, logapi.TaskUsage{
			Task:             id,
			Lease:            t.view.Lease,
			Label:            t.request.Label,
			Speed:            t.view.Speed,
			Cores:            cores,
			MemoryMB:         t.payload.MemoryMB,
			Accelerators:     t.request.Accelerators,
			DeclaredCores:    t.request.Cores,
			DeclaredMemoryMB: t.request.MemoryMB,
		})
	}
	sort.Slice(u.Tasks, func(i, j int) bool { return u.Tasks[i].Task < u.Tasks[j].Task })
	return u
}

func (w *worker) accelerators() int {
	n := 0
	for _, t := range w.running {
		n += t.request.Accelerators
	}
	return n
}

// record takes a sample if one is due, and drops those that a later one older than the
// lag replaces.
func (w *worker) record(now time.Time, lag time.Duration) {
	last := len(w.samples) - 1
	if last >= 0 && now.Sub(w.samples[last].at) < samplePeriod {
		return
	}
	w.samples = append(w.samples, sample{at: now, usage: w.usage()})
	for len(w.samples) > 1 && now.Sub(w.samples[1].at) >= lag {
		w.samples = w.samples[1:]
	}
}

// usages returns the latest usage of each worker that is at least as old as the lag, in
// the configured order. A worker without such a sample is left out.
func (p *workerPool) usages(now time.Time) []logapi.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]logapi.Usage, 0, len(p.order))
	for _, id := range p.order {
		if s, ok := p.workers[id].served(now, p.usageLag); ok {
			s.usage.AgeMS = now.Sub(s.at).Milliseconds()
			all = append(all, s.usage)
		}
	}
	return all
}

func (w *worker) served(now time.Time, lag time.Duration) (sample, bool) {
	for i := len(w.samples) - 1; i >= 0; i-- {
		if now.Sub(w.samples[i].at) >= lag {
			return w.samples[i], true
		}
	}
	return sample{}, false
}
