package worker

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
)

var errNoAnswer = errors.New("no answer")

// fakePlatform is a Platform that runs tasks in memory and can lose requests and answers.
type fakePlatform struct {
	mu              sync.Mutex
	random          *rand.Rand
	requestLossRate float64 // fraction of requests that never arrive
	answerLossRate  float64 // fraction of answers lost after the request took effect
	lateStartRate   float64 // fraction of lost starts that arrive after lateStartDelay
	lateStartDelay  time.Duration
	refusal         logapi.Refusal // answer to every start; empty if starts are accepted
	taskDuration    time.Duration
	tasks           map[string]*logapi.TaskView
	ended           map[string][]logapi.TaskView // ended tasks, in order, by lease
	lapsed          map[string]bool              // lapsed leases
	startCounts     map[string]int               // by task name, which is the identity without the attempt
	messageCount    int
}

func newFakePlatform(seed uint64) *fakePlatform {
	return &fakePlatform{
		random:       rand.New(rand.NewPCG(seed, 1)),
		taskDuration: 5 * time.Millisecond,
		tasks:        make(map[string]*logapi.TaskView),
		ended:        make(map[string][]logapi.TaskView),
		lapsed:       make(map[string]bool),
		startCounts:  make(map[string]int),
	}
}

// withFaults runs an operation under the lock. It may lose the request before or the answer after it.
func (f *fakePlatform) withFaults(operation func()) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messageCount++
	if f.random.Float64() < f.requestLossRate {
		return errNoAnswer
	}
	operation()
	if f.random.Float64() < f.answerLossRate {
		return errNoAnswer
	}
	return nil
}

func (f *fakePlatform) RenewLease(_ context.Context, lease string, _ time.Duration) (err error) {
	lost := f.withFaults(func() {
		if f.lapsed[lease] {
			err = logapi.ErrLeaseLapsed
		}
	})
	return errors.Join(lost, err)
}

func (f *fakePlatform) StartTasks(
	_ context.Context, batch logapi.StartBatch,
) (out []logapi.TaskAnswer, err error) {
	arrived := false
	err = f.withFaults(func() {
		arrived = true
		for _, t := range batch.Tasks {
			out = append(out, f.startTask(batch.Lease, t))
		}
	})
	if !arrived && f.lateStartRate > 0 {
		time.AfterFunc(f.lateStartDelay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, t := range batch.Tasks {
				if f.random.Float64() < f.lateStartRate {
					f.startTask(batch.Lease, t)
				}
			}
		})
	}
	return out, err
}

func (f *fakePlatform) startTask(lease string, t logapi.TaskStart) logapi.TaskAnswer {
	if v := f.tasks[t.Task]; v != nil {
		return logapi.TaskAnswer{Task: *v}
	}
	if f.lapsed[lease] {
		return logapi.TaskAnswer{Refused: logapi.RefusedLeaseLapsed}
	}
	if f.refusal != "" {
		return logapi.TaskAnswer{Refused: f.refusal}
	}
	v := &logapi.TaskView{Task: t.Task, Worker: t.Worker, Lease: lease, State: logapi.TaskRunning, Started: true}
	f.tasks[t.Task] = v
	f.startCounts[taskOfIdentity(t.Task)]++
	time.AfterFunc(f.taskDuration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endTask(v, logapi.TaskDone)
	})
	return logapi.TaskAnswer{Task: *v}
}

// endTask ends a task in the given state. It has no effect on a task that is not running.
func (f *fakePlatform) endTask(v *logapi.TaskView, state logapi.TaskState) {
	if v.State == logapi.TaskRunning {
		v.State = state
		f.ended[v.Lease] = append(f.ended[v.Lease], *v)
	}
}

func (f *fakePlatform) ReadTasks(
	_ context.Context, tasks []logapi.TaskID,
) (out []logapi.TaskAnswer, err error) {
	err = f.withFaults(func() {
		for _, t := range tasks {
			if v := f.tasks[t.Task]; v != nil {
				out = append(out, logapi.TaskAnswer{Task: *v})
				continue
			}
			out = append(out, logapi.TaskAnswer{Refused: logapi.RefusedUnknownTask})
		}
	})
	return out, err
}

func (f *fakePlatform) StopTasks(
	_ context.Context, tasks []logapi.TaskID,
) (out []logapi.TaskAnswer, err error) {
	err = f.withFaults(func() {
		for _, t := range tasks {
			v := f.tasks[t.Task]
			if v == nil {
				v = &logapi.TaskView{Task: t.Task, Worker: t.Worker, State: logapi.TaskStopped}
				f.tasks[t.Task] = v
			}
			f.endTask(v, logapi.TaskStopped)
			out = append(out, logapi.TaskAnswer{Task: *v})
		}
	})
	return out, err
}

func (f *fakePlatform) EndedTasks(
	ctx context.Context, lease string, after int, wait time.Duration,
) (*logapi.EndedTasksReply, error) {
	reply := new(logapi.EndedTasksReply)
	err := f.withFaults(func() {})
	for end := time.Now().Add(wait); err == nil; {
		f.mu.Lock()
		reply.Tasks = f.ended[lease][after:]
		reply.Next, reply.Lapsed = len(f.ended[lease]), f.lapsed[lease]
		f.mu.Unlock()
		if len(reply.Tasks) > 0 || reply.Lapsed || time.Now().After(end) {
			break
		}
		if !pause.For(ctx, time.Millisecond) {
			return nil, ctx.Err()
		}
	}
	return reply, err
}

// lapseLease ends a lease and its tasks, as the platform does when the holder has not renewed it.
func (f *fakePlatform) lapseLease(lease string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lapsed[lease] = true
	for _, v := range f.tasks {
		if v.Lease == lease {
			f.endTask(v, logapi.TaskLapsed)
		}
	}
}

// startCount returns how often a task has started, over all its attempts.
func (f *fakePlatform) startCount(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startCounts[name]
}

func (f *fakePlatform) Usage(context.Context) ([]logapi.Usage, error) { return nil, errNoAnswer }

func (f *fakePlatform) ThrottleTasks(context.Context, []logapi.TaskSpeed) ([]logapi.TaskAnswer, error) {
	return nil, errNoAnswer
}

func (f *fakePlatform) CheckpointTasks(_ context.Context, tasks []logapi.TaskID) ([]logapi.TaskAnswer, error) {
	return nil, f.withFaults(func() {
		for _, t := range tasks {
			f.endTask(f.tasks[t.Task], logapi.TaskCheckpointed)
		}
	})
}
