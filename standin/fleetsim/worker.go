package fleetsim

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Worker is a worker of the platform that guards nothing: it starts whatever it is told to.
// The text that a task carries is how long it takes, such as "50ms". It is an http.Handler.
type Worker struct {
	ID       string
	Capacity int64 // thousandths of a core

	mu       sync.Mutex
	born     time.Time
	fence    int64
	lease    int64 // on its clock, in ms
	running  map[string]*task
	barred   map[string]int64 // highest run of a task that was stopped or has ended
	finished [][]any
	number   int64
	changed  chan struct{}
	silent   bool // takes orders, answers nothing
	cpuOf    func(task string) int64
	report   func(string)
	starts   map[string]int
}

type task struct {
	run   int64
	until time.Time
}

// maxLease is the longest lease that the worker allows, in ms.
const maxLease = 1000

// NewWorker returns a worker. The cpu of a task is asked of cpuOf, since orders do not carry
// it; broken rules are reported.
func NewWorker(id string, capacity int64, cpuOf func(task string) int64, report func(string)) *Worker {
	w := &Worker{ID: id, Capacity: capacity, cpuOf: cpuOf, report: report, starts: make(map[string]int)}
	w.Restart()
	return w
}

// Restart ends the worker's process and starts another one.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born = time.Now()
	w.fence, w.lease, w.number = 0, 0, 0
	w.running = make(map[string]*task)
	w.barred = make(map[string]int64)
	w.finished = nil
	w.changed = make(chan struct{})
}

// SetSilent makes the worker take orders without answering, or answer again.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// Running returns the tasks at work.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	var names []string
	for name := range w.running {
		names = append(names, name)
	}
	return names
}

// Starts returns how often each task has been started.
func (w *Worker) Starts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := make(map[string]int, len(w.starts))
	for name, n := range w.starts {
		copied[name] = n
	}
	return copied
}

// clock is the worker's clock in ms.
func (w *Worker) clock() int64 { return 1000 + time.Since(w.born).Milliseconds() }

// settle ends what has run out of work or of lease.
func (w *Worker) settle() {
	now := time.Now()
	for name, t := range w.running {
		switch {
		case !now.Before(t.until):
			w.end(name, "done")
		case w.clock() >= w.lease:
			w.end(name, "lapsed")
		}
	}
}

func (w *Worker) end(name, how string) {
	t := w.running[name]
	delete(w.running, name)
	w.barred[name] = max(w.barred[name], t.run)
	w.number++
	w.finished = append(w.finished, []any{w.number, name, t.run, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task    string `json:"task"`
	Attempt int64  `json:"attempt"`
	Spec    string `json:"spec"`
	Until   int64  `json:"deadlineMs"`
	Fence   int64  `json:"fencingToken"`
	Ack     int64  `json:"ackCursor"`
	Wait    int    `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := w.carryOut(r, o)
	w.mu.Lock()
	silent := w.silent
	w.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller is gone
}

func (w *Worker) carryOut(r *http.Request, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if o.Fence < w.fence {
		return w.conflict("fence")
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		return w.start(o)
	case "/run-stop":
		if t := w.running[o.Task]; t != nil && t.run == o.Attempt {
			w.end(o.Task, "stopped")
		}
		w.barred[o.Task] = max(w.barred[o.Task], o.Attempt)
		return http.StatusOK, w.body()
	case "/hold":
		return w.hold(r, o)
	default:
		return http.StatusNotFound, w.body()
	}
}

func (w *Worker) body() map[string]any {
	return map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
}

func (w *Worker) conflict(reason string) (int, map[string]any) {
	body := w.body()
	body["reason"] = reason
	return http.StatusConflict, body
}

func (w *Worker) start(o order) (int, map[string]any) {
	w.extend(o.Until)
	if t := w.running[o.Task]; t != nil {
		if t.run == o.Attempt {
			return http.StatusOK, w.body()
		}
		w.report(fmt.Sprintf("task %s started as run %d while run %d is at work", o.Task, o.Attempt, t.run))
	}
	if w.barred[o.Task] >= o.Attempt {
		return w.conflict("old")
	}
	if o.Until <= w.clock() {
		return w.conflict("late")
	}
	takes, err := time.ParseDuration(o.Spec)
	if err != nil {
		return http.StatusBadRequest, w.body()
	}
	w.running[o.Task] = &task{run: o.Attempt, until: time.Now().Add(takes)}
	w.starts[o.Task]++
	w.checkCapacity()
	return http.StatusOK, w.body()
}

// checkCapacity reports if what runs needs more than the worker has.
func (w *Worker) checkCapacity() {
	var used int64
	for name := range w.running {
		used += w.cpuOf(name)
	}
	if used > w.Capacity {
		w.report(fmt.Sprintf("worker %s runs %d of %d thousandths of a core", w.ID, used, w.Capacity))
	}
}

func (w *Worker) extend(until int64) {
	w.lease = max(w.lease, min(until, w.clock()+maxLease))
}

// hold answers with the lists, after the next end if there is none to tell.
func (w *Worker) hold(r *http.Request, o order) (int, map[string]any) {
	if o.Until > 0 {
		w.extend(o.Until)
	}
	deadline := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	for {
		w.settle()
		w.forget(o.Ack)
		if len(w.finished) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			break
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(2 * time.Millisecond):
		}
		w.mu.Lock()
	}
	body := w.body()
	running := [][]any{}
	for name, t := range w.running {
		running = append(running, []any{name, t.run, "", 50, 0})
	}
	body["running"] = running
	body["finished"] = append([][]any{}, w.finished...)
	return http.StatusOK, body
}

func (w *Worker) forget(ack int64) {
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= ack {
		w.finished = w.finished[1:]
	}
}
