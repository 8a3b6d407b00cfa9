package worker

import (
	"context"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/logapi"
)

// ReduceLoad reduces the load of workers: it throttles some tasks, and checkpoints and stops others,
// with one message for each of the two. It returns at once. Lost messages are not repeated,
// because the next usage report shows whether they took effect. A request that arrives while
// one is being sent waits; further ones are dropped.
func (r *Runner) ReduceLoad(e dispatch.ReduceWorkerLoad) {
	select {
	case r.loadReductions <- e:
	default:
	}
}

func (r *Runner) loadReductionLoop(ctx context.Context) {
	for {
		select {
		case e := <-r.loadReductions:
			r.reduceLoad(ctx, e)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) reduceLoad(ctx context.Context, e dispatch.ReduceWorkerLoad) {
	speeds, stops := r.loadReductionTasks(e)
	if len(speeds) > 0 {
		r.counters.loadReductionMessages.Add(1)
		// Errors are ignored; see ReduceLoad.
		_, _ = r.opts.Platform.ThrottleTasks(ctx, speeds)
	}
	if len(stops) > 0 {
		r.counters.loadReductionMessages.Add(1)
		r.counters.checkpoints.Add(uint64(len(stops)))
		// pollLoop reads the ends of these tasks like those of others.
		_, _ = r.opts.Platform.CheckpointTasks(ctx, stops)
	}
}

// loadReductionTasks returns the tasks to throttle and those to stop, at most MaxBatchTasks of each.
// Tasks that have ended are left out.
func (r *Runner) loadReductionTasks(e dispatch.ReduceWorkerLoad) (speeds []logapi.TaskSpeed, stops []logapi.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range e.Throttle {
		if a := r.byTask[t.Task]; a != nil && len(speeds) < r.opts.MaxBatchTasks {
			speeds = append(speeds, logapi.TaskSpeed{TaskID: a.id, Speed: t.Speed})
		}
	}
	for _, t := range e.Stop {
		if a := r.byTask[t]; a != nil && len(stops) < r.opts.MaxBatchTasks {
			stops = append(stops, a.id)
		}
	}
	return speeds, stops
}
