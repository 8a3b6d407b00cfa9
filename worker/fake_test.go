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

// fakePlatform runs tasks in memory. Its faults lose messages and answers.
type fakePlatform struct {
	mu       sync.Mutex
	random   *rand.Rand
	lostCall float64       // share of messages that never arrive
	lostBack float64       // share of answers that are lost after the effect
	late     float64       // share of the lost starts that arrive late
	lateBy   time.Duration // how late
	refuse   logapi.Refusal
	runs     time.Duration
	tasks    map[string]*logapi.TaskView
	ended    map[string][]logapi.TaskView // by lease
	lapsed   map[string]bool
	starts   map[string]int // by task name, that is the identity without the attempt
	messages int
}

func newFake(seed uint64) *fakePlatform {
	return &fakePlatform{
		random: rand.New(rand.NewPCG(seed, 1)),
		runs:   5 * time.Millisecond,
		tasks:  make(map[string]*logapi.TaskView),
		ended:  make(map[string][]logapi.TaskView),
		lapsed: make(map[string]bool),
		starts: make(map[string]int),
	}
}

// message applies the faults around an operation.
func (f *fakePlatform) message(act func()) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messages++
	if f.random.Float64() < f.lostCall {
		return errNoAnswer
	}
	act()
	if f.random.Float64() < f.lostBack {
		return errNoAnswer
	}
	return nil
}

func (f *fakePlatform) RenewLease(_ context.Context, lease string, _ time.Duration) (err error) {
	lost := f.message(func() {
		if f.lapsed[lease] {
			err = logapi.ErrLeaseLapsed
		}
	})
	return errors.Join(lost, err)
}

func (f *fakePlatform) StartTasks(_ context.Context, batch logapi.StartBatch) (out []logapi.TaskAnswer, err error) {
	arrived := false
	err = f.message(func() {
		arrived = true
		for _, t := range batch.Tasks {
			out = append(out, f.start(batch.Lease, t))
		}
	})
	if !arrived && f.late > 0 {
		time.AfterFunc(f.lateBy, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, t := range batch.Tasks {
				if f.random.Float64() < f.late {
					f.start(batch.Lease, t)
				}
			}
		})
	}
	return out, err
}

func (f *fakePlatform) start(lease string, t logapi.TaskStart) logapi.TaskAnswer {
	if v := f.tasks[t.Task]; v != nil {
		return logapi.TaskAnswer{Task: *v}
	}
	if f.lapsed[lease] {
		return logapi.TaskAnswer{Refused: logapi.RefusedLease}
	}
	if f.refuse != "" {
		return logapi.TaskAnswer{Refused: f.refuse}
	}
	v := &logapi.TaskView{Task: t.Task, Worker: t.Worker, Lease: lease, State: logapi.TaskRunning, Started: true}
	f.tasks[t.Task] = v
	f.starts[taskName(t.Task)]++
	time.AfterFunc(f.runs, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.end(v, logapi.TaskDone)
	})
	return logapi.TaskAnswer{Task: *v}
}

func (f *fakePlatform) end(v *logapi.TaskView, state logapi.TaskState) {
	if v.State == logapi.TaskRunning {
		v.State = state
		f.ended[v.Lease] = append(f.ended[v.Lease], *v)
	}
}

func (f *fakePlatform) ReadTasks(_ context.Context, tasks []logapi.TaskID) (out []logapi.TaskAnswer, err error) {
	err = f.message(func() {
		for _, t := range tasks {
			if v := f.tasks[t.Task]; v != nil {
				out = append(out, logapi.TaskAnswer{Task: *v})
				continue
			}
			out = append(out, logapi.TaskAnswer{Refused: logapi.RefusedTask})
		}
	})
	return out, err
}

func (f *fakePlatform) StopTasks(_ context.Context, tasks []logapi.TaskID) (out []logapi.TaskAnswer, err error) {
	err = f.message(func() {
		for _, t := range tasks {
			v := f.tasks[t.Task]
			if v == nil {
				v = &logapi.TaskView{Task: t.Task, Worker: t.Worker, State: logapi.TaskStopped}
				f.tasks[t.Task] = v
			}
			f.end(v, logapi.TaskStopped)
			out = append(out, logapi.TaskAnswer{Task: *v})
		}
	})
	return out, err
}

func (f *fakePlatform) EndedTasks(ctx context.Context, lease string, after int, wait time.Duration) (*logapi.EndedReply, error) {
	reply := new(logapi.EndedReply)
	err := f.message(func() {})
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

// lapse ends a lease and its tasks, as after a pause of its holder.
func (f *fakePlatform) lapse(lease string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lapsed[lease] = true
	for _, v := range f.tasks {
		if v.Lease == lease {
			f.end(v, logapi.TaskLapsed)
		}
	}
}

func (f *fakePlatform) startsOf(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[name]
}

func (f *fakePlatform) Usage(context.Context) ([]logapi.Usage, error) { return nil, errNoAnswer }

func (f *fakePlatform) ThrottleTasks(context.Context, []logapi.TaskSpeed) ([]logapi.TaskAnswer, error) {
	return nil, errNoAnswer
}

func (f *fakePlatform) CheckpointTasks(_ context.Context, tasks []logapi.TaskID) ([]logapi.TaskAnswer, error) {
	return nil, f.message(func() {
		for _, t := range tasks {
			f.end(f.tasks[t.Task], logapi.TaskCheckpointed)
		}
	})
}
