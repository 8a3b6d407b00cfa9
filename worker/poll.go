package worker

import (
	"context"

	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
)

// followLoop reads the ended tasks of a lease in batches, while there are any to expect.
// It returns once the lease has lapsed and its ends are read.
func (r *Runner) followLoop(ctx context.Context, l *lease) {
	next, delay := 0, minRetry
	for r.awaitOpen(ctx, l) {
		r.counters.polls.Add(1)
		reply, err := r.opts.Platform.EndedTasks(ctx, l.id, next, r.opts.PollWait)
		if err != nil {
			pause.For(ctx, delay)
			delay = min(2*delay, maxRetry)
			continue
		}
		delay = minRetry
		r.endTasks(reply.Tasks)
		if reply.Lapsed && reply.Next == next {
			r.lapse(l)
			r.doubtAll(l)
			return
		}
		next = reply.Next
		pause.For(ctx, r.opts.ResultGather)
	}
}

// awaitOpen waits until the lease has open attempts. It returns false when the context
// ends, or when the lease has lapsed and no attempt is open.
func (r *Runner) awaitOpen(ctx context.Context, l *lease) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		open, lapsed := l.open, l.lapsed
		r.mu.Unlock()
		if open > 0 || lapsed {
			return open > 0
		}
		select {
		case <-l.wake:
		case <-ctx.Done():
		}
	}
	return false
}

func (r *Runner) endTasks(views []logapi.TaskView) {
	for i := range views {
		r.mu.Lock()
		a := r.attempts[views[i].Task]
		r.mu.Unlock()
		if a != nil {
			r.observe(a, &views[i])
		}
	}
}

// doubtAll has the open attempts of a lapsed lease read back.
func (r *Runner) doubtAll(l *lease) {
	r.mu.Lock()
	for _, a := range r.attempts {
		if a.lease == l && a.stage == stageRunning {
			a.stage = stageDoubtful
		}
	}
	r.mu.Unlock()
	wake(r.resolveWake)
}
