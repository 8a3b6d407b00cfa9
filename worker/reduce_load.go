package worker

import (
	"context"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/logapi"
)

// Relieve throttles tasks, and checkpoints and stops tasks, with one message each. It
// returns at once. Nothing is repeated: the next usage report shows whether it took
// effect. While earlier messages wait for their answers, it does nothing.
func (r *Runner) Relieve(e dispatch.RelieveWorkers) {
	select {
	case r.reliefs <- e:
	default:
	}
}

func (r *Runner) reliefLoop(ctx context.Context) {
	for {
		select {
		case e := <-r.reliefs:
			r.relieve(ctx, e)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) relieve(ctx context.Context, e dispatch.RelieveWorkers) {
	speeds, stops := r.reliefMessages(e)
	if len(speeds) > 0 {
		r.counters.reliefs.Add(1)
		// A lost answer is of no concern; see Relieve.
		_, _ = r.opts.Platform.ThrottleTasks(ctx, speeds)
	}
	if len(stops) > 0 {
		r.counters.reliefs.Add(1)
		r.counters.checkpoints.Add(uint64(len(stops)))
		// The ends arrive with those of other tasks.
		_, _ = r.opts.Platform.CheckpointTasks(ctx, stops)
	}
}

// reliefMessages looks the tasks up; those that have ended are left out.
func (r *Runner) reliefMessages(e dispatch.RelieveWorkers) (speeds []logapi.TaskSpeed, stops []logapi.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range e.Throttle {
		if a := r.byTask[t.Task]; a != nil && len(speeds) < r.opts.MaxBatch {
			speeds = append(speeds, logapi.TaskSpeed{TaskID: a.id, Speed: t.Speed})
		}
	}
	for _, t := range e.Stop {
		if a := r.byTask[t]; a != nil && len(stops) < r.opts.MaxBatch {
			stops = append(stops, a.id)
		}
	}
	return speeds, stops
}
