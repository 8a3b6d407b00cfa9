package platformsim

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/logapi"
)

// Errors of operations on tasks and leases. refusalsByError maps them to the refusals that
// clients receive.
var (
	errUnknownWorker     = errors.New("unknown worker")
	errUnknownTask       = errors.New("unknown task")
	errLeaseInvalid      = errors.New("lease is unknown or has lapsed")
	errTaskOnOtherWorker = errors.New("task is known on another worker")
	errNoAccelerators    = errors.New("too few accelerators are free")
	errNotRunning        = errors.New("task is not running")
	errNoCheckpoint      = errors.New("task to resume from was not checkpointed or is resumed already")
)

// workerPool simulates the workers and holds their tasks and the leases. Ended tasks are never
// removed, because starting a task is idempotent by the task's identity. It is safe for concurrent
// use.
type workerPool struct {
	mu           sync.Mutex
	usageLag     time.Duration
	workers      map[string]*worker
	workerIDs    []string // worker IDs in configured order
	tasks        map[string]*task
	leases       map[string]*lease
	starts       int            // started tasks
	startsByName map[string]int // started tasks by task name, without the attempt number
	lastStep     time.Time      // time of the last simulation step
	coreTotals   TaskTotals     // accumulated core times; the other fields are not set
}

type worker struct {
	host    logapi.Host
	failAll bool // every task fails when it starts
	running map[string]*task
	samples []usageSample // usage samples, oldest first; all but the first are too recent to be served
}

type task struct {
	view           logapi.TaskView
	request        logapi.TaskStart
	payload        TaskPayload
	checkpointUsed bool // another task has resumed from this task's checkpoint
}

func newWorkerPool(hosts []logapi.Host, usageLag time.Duration) *workerPool {
	p := &workerPool{
		usageLag:     usageLag,
		workers:      make(map[string]*worker, len(hosts)),
		tasks:        make(map[string]*task),
		leases:       make(map[string]*lease),
		startsByName: make(map[string]int),
	}
	for _, h := range hosts {
		p.workers[h.ID] = &worker{host: h, running: make(map[string]*task)}
		p.workerIDs = append(p.workerIDs, h.ID)
	}
	return p
}

// UniformWorkers returns n equal workers for Config.Workers. They are assigned to the availability
// zones in turn, and a rack holds 8 workers of one zone. There must be at least one zone.
func UniformWorkers(n int, cores float64, memoryMB int64, accelerators int, group string, zones ...string) []logapi.Host {
	const rackSize = 8
	hosts := make([]logapi.Host, 0, n)
	for i := range n {
		zone := zones[i%len(zones)]
		hosts = append(hosts, logapi.Host{
			ID:           fmt.Sprintf("worker-%03d", i),
			Kind:         logapi.KindWorker,
			Identity:     fmt.Sprintf("worker-%03d.1", i),
			Zone:         zone,
			Group:        group,
			State:        logapi.HostLive,
			Cores:        cores,
			MemoryMB:     memoryMB,
			Accelerators: accelerators,
			Rack:         fmt.Sprintf("%s-rack-%02d", zone, i/len(zones)/rackSize),
		})
	}
	return hosts
}

// start starts a task. If a task with the same identity is known on the worker, start returns that
// task; if it is known on another worker, start returns errTaskOnOtherWorker.
func (p *workerPool) start(now time.Time, lease string, req logapi.TaskStart) (logapi.TaskView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[req.Worker]
	if w == nil {
		return logapi.TaskView{}, errUnknownWorker
	}
	if known := p.tasks[req.Task]; known != nil {
		if known.view.Worker != req.Worker {
			return known.view, errTaskOnOtherWorker
		}
		return known.view, nil
	}
	progress, err := p.admit(now, w, lease, req)
	if err != nil {
		return logapi.TaskView{}, err
	}
	t := &task{request: req, view: logapi.TaskView{
		Task:       req.Task,
		Worker:     req.Worker,
		Lease:      lease,
		State:      logapi.TaskRunning,
		Started:    true,
		Speed:      1,
		ProgressMS: progress,
	}}
	// A payload that cannot be decoded is not an error: its task ends at the
	// next step.
	_ = json.Unmarshal(req.Payload, &t.payload)
	t.payload.Fail = t.payload.Fail || w.failAll
	if w.failAll {
		t.payload.RunMS = 0
	}
	p.tasks[req.Task] = t
	w.running[req.Task] = t
	p.starts++
	p.startsByName[taskName(req.Task)]++
	return t.view, nil
}

// taskName returns the task's name: its identity without the slash and the attempt number.
func taskName(identity string) string {
	if i := strings.LastIndexByte(identity, '/'); i >= 0 {
		return identity[:i]
	}
	return identity
}

// admit checks whether a new task may start and returns the progress it resumes from, in
// milliseconds. It marks the checkpoint that the task resumes from as used. The caller holds mu.
func (p *workerPool) admit(now time.Time, w *worker, lease string, req logapi.TaskStart) (progressMS float64, err error) {
	if l := p.leases[lease]; l == nil || !l.valid(now) {
		return 0, errLeaseInvalid
	}
	if w.accelerators()+req.Accelerators > w.host.Accelerators {
		return 0, errNoAccelerators
	}
	if req.ResumeFrom == "" {
		return 0, nil
	}
	from := p.tasks[req.ResumeFrom]
	if from == nil || from.view.State != logapi.TaskCheckpointed || from.checkpointUsed {
		return 0, errNoCheckpoint
	}
	from.checkpointUsed = true
	return from.view.ProgressMS, nil
}

// read returns the current view of a task.
func (p *workerPool) read(workerID, id string) (logapi.TaskView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, err := p.findTask(workerID, id)
	if err != nil {
		return logapi.TaskView{}, err
	}
	return t.view, nil
}

// findTask returns the task with an identity on a worker. It returns errUnknownWorker or errUnknownTask
// if there is none. The caller holds mu.
func (p *workerPool) findTask(workerID, id string) (*task, error) {
	if p.workers[workerID] == nil {
		return nil, errUnknownWorker
	}
	t := p.tasks[id]
	if t == nil || t.view.Worker != workerID {
		return nil, errUnknownTask
	}
	return t, nil
}

// stop stops a task. An unknown task is recorded as stopped and can never start on the pool, so
// that a start request that arrives later has no effect. It returns errTaskOnOtherWorker if the
// task is known on another worker.
func (p *workerPool) stop(workerID, id string) (logapi.TaskView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers[workerID] == nil {
		return logapi.TaskView{}, errUnknownWorker
	}
	if p.tasks[id] == nil {
		p.tasks[id] = &task{view: logapi.TaskView{Task: id, Worker: workerID, State: logapi.TaskStopped}}
	}
	t, err := p.findTask(workerID, id)
	if err != nil {
		return logapi.TaskView{}, errTaskOnOtherWorker
	}
	p.endTask(t, logapi.TaskStopped)
	return t.view, nil
}

// throttle sets the speed of a running task, as a fraction of full speed.
func (p *workerPool) throttle(workerID, id string, speed float64) (logapi.TaskView, error) {
	return p.changeRunningTask(workerID, id, func(t *task) { t.view.Speed = speed })
}

// checkpoint ends a running task and keeps its progress.
func (p *workerPool) checkpoint(workerID, id string) (logapi.TaskView, error) {
	return p.changeRunningTask(workerID, id, func(t *task) { p.endTask(t, logapi.TaskCheckpointed) })
}

// changeRunningTask applies a function to a running task. It returns errNotRunning if the task has
// ended or never started.
func (p *workerPool) changeRunningTask(workerID, id string, apply func(*task)) (logapi.TaskView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, err := p.findTask(workerID, id)
	if err != nil {
		return logapi.TaskView{}, err
	}
	if t.view.State != logapi.TaskRunning {
		return t.view, errNotRunning
	}
	apply(t)
	return t.view, nil
}

// endTask ends a task if it is running, and adds it to the ended tasks of its lease. The caller
// holds mu.
func (p *workerPool) endTask(t *task, state logapi.TaskState) {
	if t.view.State != logapi.TaskRunning {
		return
	}
	t.view.State = state
	delete(p.workers[t.view.Worker].running, t.view.Task)
	p.leases[t.view.Lease].addEndedTask(t)
}

// setFault applies an injected fault to a worker. It returns errUnknownWorker if the worker does
// not exist.
func (p *workerPool) setFault(f WorkerFault) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[f.Worker]
	if w == nil {
		return errUnknownWorker
	}
	w.failAll = f.FailAll
	return nil
}

// totals returns what the workers did so far, without the request counts.
func (p *workerPool) totals() TaskTotals {
	p.mu.Lock()
	defer p.mu.Unlock()
	totals := p.coreTotals
	totals.Starts = p.starts
	totals.States = make(map[logapi.TaskState]int)
	for _, t := range p.tasks {
		totals.States[t.view.State]++
	}
	for _, n := range p.startsByName {
		if n > 1 {
			totals.RepeatedTasks++
		}
	}
	return totals
}
