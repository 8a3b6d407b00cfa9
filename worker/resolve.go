package worker

import (
	"context"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
)

// maxNotFoundReads is the number of reads without finding a task after which the task is stopped by
// its identity.
const maxNotFoundReads = 2

// resolveLoop reads back attempts whose start had no answer, and stops tasks that the platform
// doesn't know or whose job has ended. Each round sends at most one read and one stop message,
// with at most MaxBatchTasks tasks each.
func (r *Runner) resolveLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.resolveWake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		r.endUnresolved()
		failed := r.resolveRound(ctx)
		timer.Reset(r.nextRoundDelay(failed))
	}
}

// resolveRound sends the reads and stops that are due and reports whether a message had no answer.
func (r *Runner) resolveRound(ctx context.Context) (failed bool) {
	reads, stops := r.dueBatches(time.Now())
	if len(reads) > 0 {
		failed = !r.readBack(ctx, reads)
	}
	if len(stops) > 0 && !r.stopTasks(ctx, stops) {
		failed = true
	}
	if failed {
		// Limits the rate of requests to a failing platform, even if the loop is woken at once.
		pause.For(ctx, minRetryDelay)
	}
	return failed
}

// dueBatches returns the attempts to read and those to stop, at most MaxBatchTasks of each.
func (r *Runner) dueBatches(now time.Time) (reads, stops []*attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		switch {
		case a.stage == stageQueued || a.nextRequestAt.After(now):
		case a.stage == stageNotFound || a.stopRequested:
			stops = append(stops, a)
		case a.stage == stageUnconfirmed:
			reads = append(reads, a)
		}
	}
	return reads[:min(len(reads), r.opts.MaxBatchTasks)], stops[:min(len(stops), r.opts.MaxBatchTasks)]
}

// nextRoundDelay returns the time until the next round.
func (r *Runner) nextRoundDelay(failed bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	pause := maxRetryDelay
	for _, a := range r.attempts {
		switch {
		case a.stage == stageQueued:
		case a.stage == stageNotFound || a.stage == stageUnconfirmed || a.stopRequested:
			pause = min(pause, max(time.Until(a.nextRequestAt), 0))
		}
	}
	if failed {
		return max(pause, 4*minRetryDelay)
	}
	return pause
}

func taskIDs(batch []*attempt) []logapi.TaskID {
	out := make([]logapi.TaskID, len(batch))
	for i, a := range batch {
		out[i] = a.id
	}
	return out
}

func (r *Runner) readBack(ctx context.Context, batch []*attempt) bool {
	r.counters.readMessages.Add(1)
	answers, err := r.opts.Platform.ReadTasks(ctx, taskIDs(batch))
	if err != nil {
		return false
	}
	for i, a := range batch {
		if answers[i].Refused == "" {
			r.applyView(a, &answers[i].Task)
			continue
		}
		r.handleNotFound(a)
	}
	return true
}

// handleNotFound records that the platform does not know a task. The start may still arrive there.
func (r *Runner) handleNotFound(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.notFoundReads++
	a.nextRequestAt = time.Now().Add(r.opts.ConfirmDelay)
	if a.notFoundReads >= maxNotFoundReads {
		a.stage = stageNotFound
	}
}

// stopTasks stops tasks by their identities. The answer for a task is final, whether or not the task
// had started.
func (r *Runner) stopTasks(ctx context.Context, batch []*attempt) bool {
	r.counters.stopMessages.Add(1)
	r.mu.Lock()
	for _, a := range batch {
		a.nextRequestAt = time.Now().Add(r.opts.ConfirmDelay)
	}
	r.mu.Unlock()
	answers, err := r.opts.Platform.StopTasks(ctx, taskIDs(batch))
	if err != nil {
		return false
	}
	for i, a := range batch {
		if answers[i].Refused != "" {
			// The platform no longer has the worker, so the task may have started or not.
			r.finish(a, a.endedEvent(dispatch.AttemptUnknown, "the platform cannot say whether it started: "+string(answers[i].Refused)))
			continue
		}
		r.applyView(a, &answers[i].Task)
	}
	return true
}

// endUnresolved ends attempts as unknown that could not be read until ResolveTimeout after their deadline.
func (r *Runner) endUnresolved() {
	r.mu.Lock()
	now := time.Now()
	var unresolved []*attempt
	for _, a := range r.attempts {
		if a.stage != stageQueued && now.Sub(a.deadline) > r.opts.ResolveTimeout {
			unresolved = append(unresolved, a)
		}
	}
	r.mu.Unlock()
	for _, a := range unresolved {
		r.finish(a, a.endedEvent(dispatch.AttemptUnknown, "the platform did not answer"))
	}
}
