// Package worker runs attempts of tasks on the platform's workers: it starts tasks under a lease of
// this incarnation, reports their ends, and stops those whose job has ended. Package dispatch
// decides which task goes to which worker and whether it is retried; package daemon connects the
// two.
//
// A start is sent at most once. When its answer is lost, the task is read back by its
// identity. If the platform does not know the task, it is stopped by its identity, so that a
// delayed start that arrives later has no effect. Only the answer to that stop, or a refusal of
// the start itself, proves that the task did not start.
//
// Operations are sent in batches, so that a job with many tasks needs few messages.
package worker

import (
	"context"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/logapi"
)

// Platform is the platform's interface to its workers. An operation that returns an error may have
// taken effect nevertheless.
type Platform interface {
	RenewLease(ctx context.Context, lease string, ttl time.Duration) error
	StartTasks(ctx context.Context, batch logapi.StartBatch) ([]logapi.TaskAnswer, error)
	ReadTasks(ctx context.Context, tasks []logapi.TaskID) ([]logapi.TaskAnswer, error)
	StopTasks(ctx context.Context, tasks []logapi.TaskID) ([]logapi.TaskAnswer, error)
	ThrottleTasks(ctx context.Context, tasks []logapi.TaskSpeed) ([]logapi.TaskAnswer, error)
	CheckpointTasks(ctx context.Context, tasks []logapi.TaskID) ([]logapi.TaskAnswer, error)
	Usage(ctx context.Context) ([]logapi.Usage, error)
	EndedTasks(ctx context.Context, lease string, after int, wait time.Duration) (*logapi.EndedTasksReply, error)
}

// Runner runs attempts on workers. It is safe for concurrent use.
type Runner struct {
	opts     Options
	counters counters

	startWake      chan struct{} // a start is queued
	loadReductions chan dispatch.ReduceWorkerLoad
	resolveWake    chan struct{} // an attempt needs to be read back or stopped

	mu              sync.Mutex
	attempts        map[string]*attempt           // attempts that have not ended, by identity
	byTask          map[dispatch.TaskRef]*attempt // the same, by task; a task has one attempt at a time
	queue           []*attempt                    // starts to be sent
	lease           *lease                        // for the next start
	lastLeaseNumber int                           // number of the newest lease
	running         sync.WaitGroup
}

// New returns a Runner. It sends messages only while Run runs.
func New(opts Options) *Runner {
	r := &Runner{
		opts:           opts.withDefaults(),
		startWake:      make(chan struct{}, 1),
		resolveWake:    make(chan struct{}, 1),
		loadReductions: make(chan dispatch.ReduceWorkerLoad, 1),
		attempts:       make(map[string]*attempt),
		byTask:         make(map[dispatch.TaskRef]*attempt),
	}
	r.lease = r.nextLease()
	return r
}

// Run starts attempts and watches over them until the context ends. It returns when all its messages
// have been answered or cancelled.
func (r *Runner) Run(ctx context.Context) {
	r.running.Go(func() { r.startLoop(ctx) })
	r.running.Go(func() { r.resolveLoop(ctx) })
	r.running.Go(func() { r.usageLoop(ctx) })
	r.running.Go(func() { r.loadReductionLoop(ctx) })
	r.running.Wait()
}

// Start queues an attempt and returns at once. Its end is reported to Options.Report.
func (r *Runner) Start(start dispatch.StartAttempt) {
	a := newAttempt(start, time.Now())
	r.mu.Lock()
	r.attempts[a.id.Task] = a
	r.byTask[start.Task] = a
	r.queue = append(r.queue, a)
	r.mu.Unlock()
	wake(r.startWake)
}

// Cancel stops tasks whose job has ended, and returns at once. The attempts end when the platform has
// confirmed the stops.
func (r *Runner) Cancel(c dispatch.CancelAttempts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range c.Tasks {
		if a := r.byTask[t]; a != nil {
			a.stopRequested, a.nextRequestAt = true, time.Time{}
		}
	}
	wake(r.resolveWake)
	wake(r.startWake)
}

// finish ends an attempt and reports its end. Further calls for the same attempt have no effect.
func (r *Runner) finish(a *attempt, ended dispatch.AttemptEnded) {
	r.mu.Lock()
	known := r.attempts[a.id.Task] == a
	if known {
		delete(r.attempts, a.id.Task)
		if r.byTask[a.start.Task] == a {
			delete(r.byTask, a.start.Task)
		}
		a.lease.removeAttempt()
	}
	r.mu.Unlock()
	if !known {
		return
	}
	r.counters.countOutcome(ended.Outcome)
	r.opts.Report(ended)
}

// wake signals a loop. The signal is kept if the loop is not waiting, and merged with an earlier one.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
