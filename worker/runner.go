// Package worker runs attempts on the platform's workers: it starts tasks under a lease
// of this incarnation, follows their ends, and stops those whose job has ended.
//
// A start is sent at most once. When its answer is lost, the task is read back by its
// identity; if the platform does not know it, it is stopped by identity, which keeps a
// start that is still on its way from taking effect. Only the answer to that stop, or a
// refusal of the start itself, proves that the task did not start.
//
// Operations are sent in batches, so that a job of many tasks costs few messages.
package worker

import (
	"context"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/logapi"
)

// Platform is the worker interface of the platform. After an error, an operation may
// have taken effect.
type Platform interface {
	RenewLease(ctx context.Context, lease string, ttl time.Duration) error
	StartTasks(ctx context.Context, batch logapi.StartBatch) ([]logapi.TaskAnswer, error)
	ReadTasks(ctx context.Context, tasks []logapi.TaskID) ([]logapi.TaskAnswer, error)
	StopTasks(ctx context.Context, tasks []logapi.TaskID) ([]logapi.TaskAnswer, error)
	ThrottleTasks(ctx context.Context, tasks []logapi.TaskSpeed) ([]logapi.TaskAnswer, error)
	CheckpointTasks(ctx context.Context, tasks []logapi.TaskID) ([]logapi.TaskAnswer, error)
	Usage(ctx context.Context) ([]logapi.Usage, error)
	EndedTasks(ctx context.Context, lease string, after int, wait time.Duration) (*logapi.EndedReply, error)
}

// Runner runs attempts on workers. It is safe for concurrent use.
type Runner struct {
	opts     Options
	counters counters

	startWake   chan struct{} // a start is queued
	reliefs     chan dispatch.RelieveWorkers
	resolveWake chan struct{} // an attempt needs to be read back or stopped

	mu       sync.Mutex
	attempts map[string]*attempt           // by identity, until they have ended
	byTask   map[dispatch.TaskRef]*attempt // the same; a task has one attempt at a time
	queue    []*attempt                    // to be started
	lease    *lease                        // for the next start
	leases   int                           // leases taken so far
	running  sync.WaitGroup
}

// New returns a Runner. Attempts proceed while Run runs.
func New(opts Options) *Runner {
	r := &Runner{
		opts:        opts.withDefaults(),
		startWake:   make(chan struct{}, 1),
		resolveWake: make(chan struct{}, 1),
		reliefs:     make(chan dispatch.RelieveWorkers, 1),
		attempts:    make(map[string]*attempt),
		byTask:      make(map[dispatch.TaskRef]*attempt),
	}
	r.lease = r.nextLease()
	return r
}

// Run sends and follows attempts until the context ends, and returns when all its
// messages have ended.
func (r *Runner) Run(ctx context.Context) {
	r.running.Go(func() { r.startLoop(ctx) })
	r.running.Go(func() { r.resolveLoop(ctx) })
	r.running.Go(func() { r.usageLoop(ctx) })
	r.running.Go(func() { r.reliefLoop(ctx) })
	r.running.Wait()
}

// Start queues an attempt and returns at once. Options.Report gets its end.
func (r *Runner) Start(start dispatch.StartAttempt) {
	a := newAttempt(start, time.Now())
	r.mu.Lock()
	r.attempts[a.id.Task] = a
	r.byTask[start.Task] = a
	r.queue = append(r.queue, a)
	r.mu.Unlock()
	wake(r.startWake)
}

// Cancel stops tasks whose job has ended, and returns at once. Their attempts end when
// the platform has confirmed it.
func (r *Runner) Cancel(c dispatch.CancelAttempts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range c.Tasks {
		if a := r.byTask[t]; a != nil {
			a.stop, a.due = true, time.Time{}
		}
	}
	wake(r.resolveWake)
	wake(r.startWake)
}

// finish ends an attempt and reports it. The second end of an attempt has no effect.
func (r *Runner) finish(a *attempt, ended dispatch.AttemptEnded) {
	r.mu.Lock()
	known := r.attempts[a.id.Task] == a
	if known {
		delete(r.attempts, a.id.Task)
		if r.byTask[a.start.Task] == a {
			delete(r.byTask, a.start.Task)
		}
		a.lease.drop()
	}
	r.mu.Unlock()
	if !known {
		return
	}
	r.counters.outcome(ended.Outcome)
	r.opts.Report(ended)
}

// wake signals a loop, which need not be waiting.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
