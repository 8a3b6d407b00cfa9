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

// Errors of the worker interface.
var (
	errUnknownWorker  = errors.New("unknown worker")
	errUnknownTask    = errors.New("unknown task")
	errLeaseInvalid   = errors.New("lease is unknown or has lapsed")
	errOtherWorker    = errors.New("task is known on another worker")
	errNoAccelerators = errors.New("too few accelerators are free")
	errNotRunning     = errors.New("task is not running")
	errNoCheckpoint   = errors.New("task to resume from was not checkpointed or is resumed already")
)

// workerPool holds the workers, their tasks and the leases. Finished tasks are kept for
// good, because a start is idempotent by the task's identity.
type workerPool struct {
	mu       sync.Mutex
	usageLag time.Duration
	workers  map[string]*worker
	order    []string // identifiers of the workers, as configured
	tasks    map[string]*task
	leases   map[string]*lease
	starts   int
	startsOf map[string]int // starts by task name
	stepped  time.Time      // time of the last step
	totalled TaskTotals     // core times so far
}

type worker struct {
	host    logapi.Host
	failAll bool
	running map[string]*task
	samples []sample // usage not yet served, oldest first; the first one is served
}

type task struct {
	view    logapi.TaskView
	request logapi.TaskStart
	payload TaskPayload
	resumed bool // a task resumed from this one's checkpoint
}

func newWorkerPool(hosts []logapi.Host, usageLag time.Duration) *workerPool {
	p := &workerPool{
		usageLag: usageLag,
		workers:  make(map[string]*worker, len(hosts)),
		tasks:    make(map[string]*task),
		leases:   make(map[string]*lease),
		startsOf: make(map[string]int),
	}
	for _, h := range hosts {
		p.workers[h.ID] = &worker{host: h, running: make(map[string]*task)}
		p.order = append(p.order, h.ID)
	}
	return p
}

// Workers returns n equal workers for Config.Workers, spread over the zones in turn,
// with 8 workers to a rack.
func Workers(n int, cores float64, memoryMB int64, accelerators int, group string, zones ...string) []logapi.Host {
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

// start starts a task, or returns the known one with its identity.
func (p *workerPool) start(now time.Time, lease string, req logapi.TaskStart) (logapi.TaskView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[req.Worker]
	if w == nil {
		return logapi.TaskView{}, errUnknownWorker
	}
	if known := p.tasks[req.Task]; known != nil {
		if known.view.Worker != req.Worker {
			return known.view, errOtherWorker
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
	// A payload that cannot be read makes a task that ends at once.
	_ = json.Unmarshal(req.Payload, &t.payload)
	t.payload.Fail = t.payload.Fail || w.failAll
	if w.failAll {
		t.payload.RunMS = 0
	}
	p.tasks[req.Task] = t
	w.running[req.Task] = t
	p.starts++
	p.startsOf[taskName(req.Task)]++
	return t.view, nil
}

// taskName cuts the number of the attempt off an identity.
func taskName(identity string) string {
	if i := strings.LastIndexByte(identity, '/'); i >= 0 {
		return identity[:i]
	}
	return identity
}

// admit checks whether a new task may start, and returns the progress it resumes from.
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
	if from == nil || from.view.State != logapi.TaskCheckpointed || from.resumed {
		return 0, errNoCheckpoint
	}
	from.resumed = true
	return from.view.ProgressMS, nil
}

// read returns a task.
func (p *workerPool) read(workerID, id string) (logapi.TaskView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, err := p.find(workerID, id)
	if err != nil {
		return logapi.TaskView{}, err
	}
	return t.view, nil
}

func (p *workerPool) find(workerID, id string) (*task, error) {
	if p.workers[workerID] == nil {
		return nil, errUnknownWorker
	}
	t := p.tasks[id]
	if t == nil || t.view.Worker != workerID {
		return nil, errUnknownTask
	}
	return t, nil
}

// stop stops a task. An unknown task is recorded as stopped and never starts on the
// pool, so that a start request that is still on its way has no effect.
func (p *workerPool) stop(workerID, id string) (logapi.TaskView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers[workerID] == nil {
		return logapi.TaskView{}, errUnknownWorker
	}
	if p.tasks[id] == nil {
		p.tasks[id] = &task{view: logapi.TaskView{Task: id, Worker: workerID, State: logapi.TaskStopped}}
	}
	t, err := p.find(workerID, id)
	if err != nil {
		return logapi.TaskView{}, errOtherWorker
	}
	p.end(t, logapi.TaskStopped)
	return t.view, nil
}

// throttle sets the speed of a running task.
func (p *workerPool) throttle(workerID, id string, speed float64) (logapi.TaskView, error) {
	return p.change(workerID, id, func(t *task) { t.view.Speed = speed })
}

// checkpoint ends a running task and keeps its progress.
func (p *workerPool) checkpoint(workerID, id string) (logapi.TaskView, error) {
	return p.change(workerID, id, func(t *task) { p.end(t, logapi.TaskCheckpointed) })
}

// change applies a change to a running task.
func (p *workerPool) change(workerID, id string, apply func(*task)) (logapi.TaskView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, err := p.find(workerID, id)
	if err != nil {
		return logapi.TaskView{}, err
	}
	if t.view.State != logapi.TaskRunning {
		return t.view, errNotRunning
	}
	apply(t)
	return t.view, nil
}

// end ends a task if it runs, and tells the holder of its lease.
func (p *workerPool) end(t *task, state logapi.TaskState) {
	if t.view.State != logapi.TaskRunning {
		return
	}
	t.view.State = state
	delete(p.workers[t.view.Worker].running, t.view.Task)
	p.leases[t.view.Lease].addEnded(t)
}

// setFault changes how a worker behaves. The error is errUnknownWorker.
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

func (p *workerPool) totals() TaskTotals {
	p.mu.Lock()
	defer p.mu.Unlock()
	totals := p.totalled
	totals.Starts = p.starts
	totals.States = make(map[logapi.TaskState]int)
	for _, t := range p.tasks {
		totals.States[t.view.State]++
	}
	for _, n := range p.startsOf {
		if n > 1 {
			totals.Repeated++
		}
	}
	return totals
}
