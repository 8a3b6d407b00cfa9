package worker

import (
	"context"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
)

// startLoop sends queued starts in batches. Up to maxStartMessages messages may wait for their
// answers at a time.
func (r *Runner) startLoop(ctx context.Context) {
	slots := make(chan struct{}, maxStartMessages)
	for {
		select {
		case <-r.startWake:
		case <-ctx.Done():
			return
		}
		pause.For(ctx, r.opts.StartBatchDelay)
		for r.dropEndedStarts(); r.hasQueued(); r.dropEndedStarts() {
			l := r.grantedLease(ctx)
			if l == nil {
				return
			}
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			// A deadline may have passed during the wait for the lease.
			r.dropEndedStarts()
			batch := r.takeBatch(l)
			r.running.Go(func() {
				defer func() { <-slots }()
				r.sendBatch(ctx, l, batch)
			})
		}
	}
}

func (r *Runner) hasQueued() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.queue) > 0
}

// dropEndedStarts ends queued attempts whose job has ended or is past its deadline. The check also
// covers a deadline that passed while this process was paused.
func (r *Runner) dropEndedStarts() {
	r.mu.Lock()
	now := time.Now()
	var dropped []*attempt
	kept := r.queue[:0]
	for _, a := range r.queue {
		if a.stopRequested || !now.Before(a.deadline) {
			dropped = append(dropped, a)
			continue
		}
		kept = append(kept, a)
	}
	clear(r.queue[len(kept):])
	r.queue = kept
	r.mu.Unlock()
	for _, a := range dropped {
		r.finishNotStarted(a, "its job ended before it was sent")
	}
}

// finishNotStarted ends an attempt that did not start, without blame for the endpoint.
func (r *Runner) finishNotStarted(a *attempt, reason string) {
	ended := a.endedEvent(dispatch.AttemptNotStarted, reason)
	ended.Blameless = true
	r.finish(a, ended)
}

// takeBatch removes the attempts of the next message from the queue and marks them as sent.
func (r *Runner) takeBatch(l *lease) []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	n, bytes := 0, 0
	for n < len(r.queue) && n < r.opts.MaxBatchTasks {
		bytes += len(r.queue[n].start.Payload)
		if n > 0 && bytes > maxBatchBytes {
			break
		}
		n++
	}
	batch := append([]*attempt(nil), r.queue[:n]...)
	r.queue = append(r.queue[:0], r.queue[n:]...)
	for _, a := range batch {
		a.stage, a.lease, a.sentAt = stageSent, l, now
	}
	l.openAttempts += n
	wake(l.wake)
	return batch
}

// sendBatch sends one start message and handles its answers.
func (r *Runner) sendBatch(ctx context.Context, l *lease, batch []*attempt) {
	if len(batch) == 0 {
		return
	}
	msg := logapi.StartBatch{Lease: l.id, Tasks: make([]logapi.TaskStart, len(batch))}
	for i, a := range batch {
		msg.Tasks[i] = a.taskStart()
	}
	r.counters.startMessages.Add(1)
	r.counters.tasks.Add(uint64(len(batch)))
	answers, err := r.opts.Platform.StartTasks(ctx, msg)
	if err != nil {
		r.handleStartUnanswered(batch)
		return
	}
	for i, a := range batch {
		r.handleStartAnswer(a, &answers[i])
	}
}

// handleStartUnanswered marks the attempts of a start message without an answer, so that resolveLoop
// reads them back.
func (r *Runner) handleStartUnanswered(batch []*attempt) {
	r.counters.lostAnswers.Add(uint64(len(batch)))
	if r.opts.faults.treatUnansweredAsNotStarted {
		for _, a := range batch {
			r.finishNotStarted(a, "no answer to the start")
		}
		return
	}
	r.mu.Lock()
	for _, a := range batch {
		if a.stage == stageSent {
			a.stage = stageUnconfirmed
		}
	}
	r.mu.Unlock()
	wake(r.resolveWake)
}

func (r *Runner) handleStartAnswer(a *attempt, answer *logapi.TaskAnswer) {
	switch answer.Refused {
	case "":
		r.applyView(a, &answer.Task)
	case logapi.RefusedLeaseLapsed:
		r.handleLapse(a.lease)
		r.finishNotStarted(a, "the lease had lapsed before it started")
	case logapi.RefusedOtherWorker:
		r.finish(a, a.endedEvent(dispatch.AttemptUnknown, "the platform knows it on another worker"))
	default:
		r.finish(a, a.endedEvent(dispatch.AttemptNotStarted, "the platform refused it: "+string(answer.Refused)))
	}
}

// applyView updates or ends an attempt according to the state that the platform reports.
func (r *Runner) applyView(a *attempt, v *logapi.TaskView) {
	if v.Task != a.id.Task || v.Worker != a.id.Worker {
		r.counters.mismatched.Add(1)
		return
	}
	if ended, ok := a.endedEventFromView(v); ok {
		r.finish(a, ended)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a.notFoundReads = 0
	if a.lease.lapsed {
		// The platform has not stopped the task yet, or the pollLoop of the lease has returned.
		a.stage, a.nextRequestAt = stageUnconfirmed, time.Now().Add(r.opts.ConfirmDelay)
		return
	}
	a.stage = stageRunning
	if a.stopRequested {
		wake(r.resolveWake)
	}
}
