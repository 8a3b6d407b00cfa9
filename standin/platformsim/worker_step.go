package platformsim

import (
	"context"
	"time"

	"sesameledge.dev/sesameledge/logapi"
)

// simulationStep is the interval between simulation steps and so the resolution of task run times.
const simulationStep = 10 * time.Millisecond

// run executes a simulation step at every interval until the context ends.
func (p *workerPool) run(ctx context.Context) {
	ticker := time.NewTicker(simulationStep)
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

// step advances the running tasks by the time since the last step. It ends tasks whose lease
// lapsed, that are complete or that exceed the worker's memory, and records usage samples.
func (p *workerPool) step(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastStep.IsZero() {
		p.lastStep = now
	}
	elapsed := now.Sub(p.lastStep)
	p.lastStep = now
	p.lapseExpiredLeases(now)
	for _, w := range p.workers {
		p.advanceTasks(w, elapsed)
		p.killTasksOverMemory(w)
		w.recordUsage(now, p.usageLag)
	}
}

// advanceTasks adds the elapsed time to the progress of a worker's tasks and completes those that reach
// their run time. If the tasks demand more cores than the worker has, all are slowed down by the
// same factor.
func (p *workerPool) advanceTasks(w *worker, elapsed time.Duration) {
	speedFactor := 1.0
	demandedCores := w.usage().Cores
	if demandedCores > w.host.Cores {
		speedFactor = w.host.Cores / demandedCores
	}
	elapsedMS := float64(elapsed) / float64(time.Millisecond)
	p.coreTotals.CoreMS += w.host.Cores * elapsedMS
	p.coreTotals.DemandedCoreMS += demandedCores * elapsedMS
	p.coreTotals.UsedCoreMS += min(demandedCores, w.host.Cores) * elapsedMS
	p.coreTotals.ExcessCoreMS += max(demandedCores-w.host.Cores, 0) * elapsedMS
	for _, t := range w.running {
		t.view.ProgressMS += elapsedMS * speedFactor * t.view.Speed
		if t.view.ProgressMS >= t.payload.RunMS {
			p.completeTask(t)
		}
	}
}

// completeTask ends a task that reached its run time, either as failed or as done with its result.
func (p *workerPool) completeTask(t *task) {
	t.view.ProgressMS = t.payload.RunMS
	if t.payload.Fail {
		p.endTask(t, logapi.TaskFailed)
		return
	}
	t.view.Result = t.payload.Echo
	p.endTask(t, logapi.TaskDone)
}

// killTasksOverMemory ends the tasks with the largest memory use until the rest fits into the
// worker's memory.
func (p *workerPool) killTasksOverMemory(w *worker) {
	for w.usage().MemoryMB > w.host.MemoryMB {
		var largest *task
		for _, t := range w.running {
			if largest == nil || t.payload.MemoryMB > largest.payload.MemoryMB {
				largest = t
			}
		}
		p.endTask(largest, logapi.TaskOutOfMemory)
	}
}
