package platformsim

import (
	"context"
	"time"

	"sesameledge.dev/sesameledge/logapi"
)

// workerStep is the resolution of run times on workers.
const workerStep = 10 * time.Millisecond

// run advances the workers until the context ends.
func (p *workerPool) run(ctx context.Context) {
	ticker := time.NewTicker(workerStep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.step(now)
		}
	}
}

// step advances every task by the time since the last step, ends what is complete or
// must end, and samples the usage.
func (p *workerPool) step(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stepped.IsZero() {
		p.stepped = now
	}
	elapsed := now.Sub(p.stepped)
	p.stepped = now
	p.lapse(now)
	for _, w := range p.workers {
		p.advance(w, elapsed)
		p.relieveMemory(w)
		w.record(now, p.usageLag)
	}
}

// advance runs the tasks of a worker. If they want more cores than it has, all slow
// down alike.
func (p *workerPool) advance(w *worker, elapsed time.Duration) {
	share := 1.0
	wanted := w.usage().Cores
	if wanted > w.host.Cores {
		share = w.host.Cores / wanted
	}
	ms := float64(elapsed) / float64(time.Millisecond)
	p.totalled.CoreMS += w.host.Cores * ms
	p.totalled.WantedCoreMS += wanted * ms
	p.totalled.UsedCoreMS += min(wanted, w.host.Cores) * ms
	p.totalled.OverCoreMS += max(wanted-w.host.Cores, 0) * ms
	for _, t := range w.running {
		t.view.ProgressMS += ms * share * t.view.Speed
		if t.view.ProgressMS >= t.payload.RunMS {
			p.complete(t)
		}
	}
}

func (p *workerPool) complete(t *task) {
	t.view.ProgressMS = t.payload.RunMS
	if t.payload.Fail {
		p.end(t, logapi.TaskFailed)
		return
	}
	t.view.Result = t.payload.Echo
	p.end(t, logapi.TaskDone)
}

// relieveMemory kills the largest tasks while the worker's memory does not suffice.
func (p *workerPool) relieveMemory(w *worker) {
	for w.usage().MemoryMB > w.host.MemoryMB {
		var largest *task
		for _, t := range w.running {
			if largest == nil || t.payload.MemoryMB > largest.payload.MemoryMB {
				largest = t
			}
		}
		p.end(largest, logapi.TaskOutOfMemory)
	}
}
