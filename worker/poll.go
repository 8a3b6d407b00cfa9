package worker

import (
	"context"

	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
)

// pollLoop reads the ended tasks of a lease in batches while the lease has open attempts. It
// returns when the lease has lapsed and all its ended tasks have been read or no attempt is open.
func (r *Runner) pollLoop(ctx context.Context, l *lease) {
	next, delay := 0, minRetryDelay
	for r.waitForOpenAttempts(ctx, l) {
		r.counters.pollMessages.Add(1)
		reply, err := r.opts.Platform.EndedTasks(ctx, l.id, next, r.opts.PollWait)
		if err != nil {
			pause.For(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		r.applyViews(reply.Tasks)
		if reply.Lapsed && reply.Next == next {
			r.handleLapse(l)
			r.markUnconfirmed(l)
			return
		}
		next = reply.Next
		pause.For(ctx, r.opts.ResultReadInterval)
	}
}

// waitForOpenAttempts waits until the lease has open attempts and returns true. It returns false when
// the context ends, or when the lease has lapsed and no attempt is open.
func (r *Runner) waitForOpenAttempts(ctx context.Context, l *lease) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		openAttempts, lapsed := l.openAttempts, l.lapsed
		r.mu.Unlock()
		if openAttempts > 0 || lapsed {
			return openAttempts > 0
		}
		select {
		case <-l.wake:
		case <-ctx.Done():
		}
	}
	return false
}

// applyViews applies the views of ended tasks to their attempts.
func (r *Runner) applyViews(views []logapi.TaskView) {
	for i := range views {
		r.mu.Lock()
		a := r.attempts[views[i].Task]
		r.mu.Unlock()
		if a != nil {
			r.applyView(a, &views[i])
		}
	}
}

// markUnconfirmed marks the running attempts of a lapsed lease, so that resolveLoop reads them back.
func (r *Runner) markUnconfirmed(l *lease) {
	r.mu.Lock()
	for _, a := range r.attempts {
		if a.lease == l && a.stage == stageRunning {
			a.stage = stageUnconfirmed
		}
	}
	r.mu.Unlock()
	wake(r.resolveWake)
}
