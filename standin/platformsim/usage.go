package platformsim

import (
	"sort"
	"time"

	"sesameledge.dev/sesameledge/logapi"
)

// minSampleInterval is the minimum time between two usage samples of a worker.
const minSampleInterval = 100 * time.Millisecond

// usageSample is the resource usage of a worker at one time.
type usageSample struct {
	at    time.Time
	usage logapi.Usage
}

// usage returns the current usage, summed over the running tasks. A throttled task uses fewer cores.
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

// accelerators returns the number of accelerators that the running tasks use.
func (w *worker) accelerators() int {
	n := 0
	for _, t := range w.running {
		n += t.request.Accelerators
	}
	return n
}

// recordUsage takes a usage sample if one is due. It drops samples that are no longer needed because a
// later one is older than the lag, too.
func (w *worker) recordUsage(now time.Time, lag time.Duration) {
	last := len(w.samples) - 1
	if last >= 0 && now.Sub(w.samples[last].at) < minSampleInterval {
		return
	}
	w.samples = append(w.samples, usageSample{at: now, usage: w.usage()})
	for len(w.samples) > 1 && now.Sub(w.samples[1].at) >= lag {
		w.samples = w.samples[1:]
	}
}

// servedUsages returns for each worker the latest usage sample that is at least as old as the lag,
// in the configured order of the workers. Workers without such a sample are omitted.
func (p *workerPool) servedUsages(now time.Time) []logapi.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]logapi.Usage, 0, len(p.workerIDs))
	for _, id := range p.workerIDs {
		if s, ok := p.workers[id].servedSample(now, p.usageLag); ok {
			s.usage.AgeMS = now.Sub(s.at).Milliseconds()
			all = append(all, s.usage)
		}
	}
	return all
}

// servedSample returns the latest sample that is at least as old as the lag, and whether there is one.
func (w *worker) servedSample(now time.Time, lag time.Duration) (usageSample, bool) {
	for i := len(w.samples) - 1; i >= 0; i-- {
		if now.Sub(w.samples[i].at) >= lag {
			return w.samples[i], true
		}
	}
	return usageSample{}, false
}
