package minionsim

import (
	"sync"
	"time"

	"sesameledge.dev/sesameledge/backend"
)

// maxCancelled bounds the remembered cancelled tasks of one minion. The oldest are removed first.
const maxCancelled = 200_000

// runner schedules the tasks of one run of a minion's process. A restarted minion gets
// a new runner and so forgets its tasks.
type runner struct {
	mu          sync.Mutex
	slots       int
	maxQueue    int
	running     map[*receivedTask]struct{}
	queue       []*receivedTask
	cancelled   map[TaskID]struct{}
	cancelOrder []TaskID // cancelled tasks, oldest first
	closed      bool
	onStart     func(TaskID) // called under mu when a task begins to run
}

// receivedTask is one received task message, queued or running.
type receivedTask struct {
	id       TaskID
	deadline time.Time     // zero for none
	start    chan struct{} // closed when the task begins to run
	stop     chan struct{} // closed when a running task is cancelled
	refused  chan string   // receives a value of backend.HeaderNotRun if it never runs
}

func newReceivedTask(id TaskID, deadline time.Time) *receivedTask {
	return &receivedTask{
		id:       id,
		deadline: deadline,
		start:    make(chan struct{}),
		stop:     make(chan struct{}),
		refused:  make(chan string, 1),
	}
}

func newRunner(slots, maxQueue int, onStart func(TaskID)) *runner {
	return &runner{
		slots:     slots,
		maxQueue:  maxQueue,
		running:   make(map[*receivedTask]struct{}),
		cancelled: make(map[TaskID]struct{}),
		onStart:   onStart,
	}
}

// submit queues the run and starts it if a slot is free.
func (r *runner) submit(now time.Time, t *receivedTask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.running) >= r.slots && len(r.queue) >= r.maxQueue {
		t.refused <- backend.NotRunBusy
		return
	}
	r.queue = append(r.queue, t)
	r.startQueued(now)
}

// finish frees the slot of a started run.
func (r *runner) finish(now time.Time, t *receivedTask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, t)
	r.startQueued(now)
}

// startQueued starts queued runs while slots are free.
func (r *runner) startQueued(now time.Time) {
	for !r.closed && len(r.running) < r.slots && len(r.queue) > 0 {
		t := r.queue[0]
		r.queue = r.queue[1:]
		if reason := r.notRunReason(now, t); reason != "" {
			t.refused <- reason
			continue
		}
		r.running[t] = struct{}{}
		r.onStart(t.id)
		close(t.start)
	}
}

func (r *runner) notRunReason(now time.Time, t *receivedTask) string {
	if _, ok := r.cancelled[t.id]; ok {
		return backend.NotRunCancelled
	}
	if !t.deadline.IsZero() && !now.Before(t.deadline) {
		return backend.NotRunExpired
	}
	return ""
}

// cancel drops a task: queued runs of it and those that arrive later never start, and
// running ones stop. It reports how many runs were dropped and stopped.
func (r *runner) cancel(id TaskID) (dropped, stopped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rememberCancelled(id)
	kept := r.queue[:0]
	for _, t := range r.queue {
		if t.id != id {
			kept = append(kept, t)
			continue
		}
		t.refused <- backend.NotRunCancelled
		dropped++
	}
	clear(r.queue[len(kept):])
	r.queue = kept
	for t := range r.running {
		if t.id == id && !t.stopped() {
			close(t.stop)
			stopped++
		}
	}
	return dropped, stopped
}

func (r *runner) rememberCancelled(id TaskID) {
	if _, ok := r.cancelled[id]; ok {
		return
	}
	r.cancelled[id] = struct{}{}
	r.cancelOrder = append(r.cancelOrder, id)
	if len(r.cancelOrder) > maxCancelled {
		delete(r.cancelled, r.cancelOrder[0])
		r.cancelOrder = r.cancelOrder[1:]
	}
}

func (t *receivedTask) stopped() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// close drops the queue and prevents any further run from starting.
func (r *runner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.queue = nil
}

// load returns the numbers of running and queued tasks.
func (r *runner) load() (running, queued int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running), len(r.queue)
}
