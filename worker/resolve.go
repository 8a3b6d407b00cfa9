package worker

import (
	"context"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
)

// maxMisses is how many reads may miss a task before it is stopped by identity.
const maxMisses = 2

// resolveLoop reads back attempts whose start had no answer, and stops those that are
// missing or whose job has ended. Each round is at most one message of each sort per
// MaxBatch tasks.
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
		r.giveUp()
		failed := r.resolveRound(ctx)
		timer.Reset(r.pauseAfter(failed))
	}
}

// resolveRound handles everything that is due and reports whether a message had no
// answer.
func (r *Runner) resolveRound(ctx context.Context) (failed bool) {
	reads, stops := r.dueBatches(time.Now())
	if len(reads) > 0 {
		failed = !r.readBack(ctx, reads)
	}
	if len(stops) > 0 && !r.stopTasks(ctx, stops) {
		failed = true
	}
	if failed {
		// Leaves the platform alone for a while, whatever wakes the loop.
		pause.For(ctx, minRetry)
	}
	return failed
}

// dueBatches returns the attempts to read and those to stop, at most MaxBatch of each.
func (r *Runner) dueBatches(now time.Time) (reads, stops []*attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		switch {
		case a.stage == stageQueued || a.due.After(now):
		case a.stage == stageMissing || a.stop:
			stops = append(stops, a)
		case a.stage == stageDoubtful:
			reads = append(reads, a)
		}
	}
	return reads[:min(len(reads), r.opts.MaxBatch)], stops[:min(len(stops), r.opts.MaxBatch)]
}

// pauseAfter returns when the next round is due.
func (r *Runner) pauseAfter(failed bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	pause := maxRetry
	for _, a := range r.attempts {
		switch {
		case a.stage == stageQueued:
		case a.stage == stageMissing || a.stage == stageDoubtful || a.stop:
			pause = min(pause, max(time.Until(a.due), 0))
		}
	}
	if failed {
		return max(pause, 4*minRetry)
	}
	return pause
}

func ids(batch []*attempt) []logapi.TaskID {
	out := make([]logapi.TaskID, len(batch))
	for i, a := range batch {
		out[i] = a.id
	}
	return out
}

func (r *Runner) readBack(ctx context.Context, batch []*attempt) bool {
	r.counters.reads.Add(1)
	answers, err := r.opts.Platform.ReadTasks(ctx, ids(batch))
	if err != nil {
		return false
	}
	for i, a := range batch {
		if answers[i].Refused == "" {
			r.observe(a, &answers[i].Task)
			continue
		}
		r.missed(a)
	}
	return true
}

// missed takes note that the platform does not know a task. Its start may still arrive.
func (r *Runner) missed(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.misses++
	a.due = time.Now().Add(r.opts.ConfirmDelay)
	if a.misses >= maxMisses {
		a.stage = stageMissing
	}
}

// stopTasks stops tasks by identity. The answer is final either way.
func (r *Runner) stopTasks(ctx context.Context, batch []*attempt) bool {
	r.counters.stops.Add(1)
	r.mu.Lock()
	for _, a := range batch {
		a.due = time.Now().Add(r.opts.ConfirmDelay)
	}
	r.mu.Unlock()
	answers, err := r.opts.Platform.StopTasks(ctx, ids(batch))
	if err != nil {
		return false
	}
	for i, a := range batch {
		if answers[i].Refused != "" {
			// The worker has gone from the platform, which proves nothing.
			r.finish(a, a.ended(dispatch.AttemptUnknown, "the platform cannot say whether it started: "+string(answers[i].Refused)))
			continue
		}
		r.observe(a, &answers[i].Task)
	}
	return true
}

// giveUp ends attempts that could not be looked up until long after their deadline.
func (r *Runner) giveUp() {
	r.mu.Lock()
	now := time.Now()
	var lost []*attempt
	for _, a := range r.attempts {
		if a.stage != stageQueued && now.Sub(a.deadline) > r.opts.GiveUp {
			lost = append(lost, a)
		}
	}
	r.mu.Unlock()
	for _, a := range lost {
		r.finish(a, a.ended(dispatch.AttemptUnknown, "the platform did not answer"))
	}
}
