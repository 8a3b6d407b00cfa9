package worker

import (
	"context"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
)

// startLoop sends queued starts in batches. Messages that wait for their answers do not
// hold up the next ones.
func (r *Runner) startLoop(ctx context.Context) {
	slots := make(chan struct{}, maxStartMessages)
	for {
		select {
		case <-r.startWake:
		case <-ctx.Done():
			return
		}
		pause.For(ctx, r.opts.StartGather)
		for r.dropUnsent(); r.queued(); r.dropUnsent() {
			l := r.grantedLease(ctx)
			if l == nil {
				return
			}
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			// The wait for the lease may have outlasted a deadline.
			r.dropUnsent()
			batch := r.takeBatch(l)
			r.running.Go(func() {
				defer func() { <-slots }()
				r.send(ctx, l, batch)
			})
		}
	}
}

func (r *Runner) queued() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.queue) > 0
}

// dropUnsent ends queued attempts whose job has ended or is past its deadline, which
// also holds when this process was paused in between.
func (r *Runner) dropUnsent() {
	r.mu.Lock()
	now := time.Now()
	var dropped []*attempt
	kept := r.queue[:0]
	for _, a := range r.queue {
		if a.stop || !now.Before(a.deadline) {
			dropped = append(dropped, a)
			continue
		}
		kept = append(kept, a)
	}
	clear(r.queue[len(kept):])
	r.queue = kept
	r.mu.Unlock()
	for _, a := range dropped {
		r.finishBlameless(a, "its job ended before it was sent")
	}
}

func (r *Runner) finishBlameless(a *attempt, reason string) {
	ended := a.ended(dispatch.AttemptNotStarted, reason)
	ended.Blameless = true
	r.finish(a, ended)
}

// takeBatch takes the attempts of the next message off the queue.
func (r *Runner) takeBatch(l *lease) []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	n, bytes := 0, 0
	for n < len(r.queue) && n < r.opts.MaxBatch {
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
	l.open += n
	wake(l.wake)
	return batch
}

// send sends one start message and judges its answers.
func (r *Runner) send(ctx context.Context, l *lease, batch []*attempt) {
	if len(batch) == 0 {
		return
	}
	msg := logapi.StartBatch{Lease: l.id, Tasks: make([]logapi.TaskStart, len(batch))}
	for i, a := range batch {
		msg.Tasks[i] = a.taskStart()
	}
	r.counters.starts.Add(1)
	r.counters.tasks.Add(uint64(len(batch)))
	answers, err := r.opts.Platform.StartTasks(ctx, msg)
	if err != nil {
		r.startLost(batch)
		return
	}
	for i, a := range batch {
		r.startAnswered(a, &answers[i])
	}
}

// startLost queues the tasks of a message without an answer for being read back.
func (r *Runner) startLost(batch []*attempt) {
	r.counters.lost.Add(uint64(len(batch)))
	if r.opts.faults.reissue {
		for _, a := range batch {
			r.finishBlameless(a, "no answer to the start")
		}
		return
	}
	r.mu.Lock()
	for _, a := range batch {
		if a.stage == stageSent {
			a.stage = stageDoubtful
		}
	}
	r.mu.Unlock()
	wake(r.resolveWake)
}

func (r *Runner) startAnswered(a *attempt, answer *logapi.TaskAnswer) {
	switch answer.Refused {
	case "":
		r.observe(a, &answer.Task)
	case logapi.RefusedLease:
		r.lapse(a.lease)
		r.finishBlameless(a, "the lease had lapsed before it started")
	case logapi.RefusedOtherWorker:
		r.finish(a, a.ended(dispatch.AttemptUnknown, "the platform knows it on another worker"))
	default:
		r.finish(a, a.ended(dispatch.AttemptNotStarted, "the platform refused it: "+string(answer.Refused)))
	}
}

// observe takes note of a task's state as the platform reports it.
func (r *Runner) observe(a *attempt, v *logapi.TaskView) {
	if v.Task != a.id.Task || v.Worker != a.id.Worker {
		r.counters.mismatched.Add(1)
		return
	}
	if ended, ok := a.fromView(v); ok {
		r.finish(a, ended)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a.misses = 0
	if a.lease.lapsed {
		// The platform has not stopped it yet, or the follower has gone.
		a.stage, a.due = stageDoubtful, time.Now().Add(r.opts.ConfirmDelay)
		return
	}
	a.stage = stageRunning
	if a.stop {
		wake(r.resolveWake)
	}
}
