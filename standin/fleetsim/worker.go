package fleetsim

import (
	"sync"
	"time"
)

// Worker is a worker of the platform that guards nothing: it starts whatever it is told to.
// The text that a task carries is how long it takes, such as "50ms". It is an http.Handler.
type Worker struct {
	ID       string
	Capacity int64 // thousandths of a core

	mu       sync.Mutex
	rate     float64 // of its clock
	faults   Faults
	history  []Span
	born     time.Time
	fence    int64
	lease    int64 // on its clock, in ms
	running  map[string]*task
	barred   map[string]int64 // highest run of a task that was stopped or has ended
	finished [][]any
	number   int64
	changed  chan struct{}
	cpuOf    func(task string) int64
	report   func(string)
	starts   map[string]int
}

type task struct {
	run   int64
	since time.Time
	until time.Time
	fails bool
	stops time.Time // when it has been stopped; zero: it is not being stopped
}

// percent is the progress of the task.
func (t *task) percent() float64 {
	return 100 * float64(time.Since(t.since)) / float64(max(1, t.until.Sub(t.since)))
}

// Faults are what a worker does wrong.
type Faults struct {
	Silent bool    // takes orders, answers nothing
	Late   float64 // share of the orders that are not answered and carried out up to 6 s later
	Deaf   float64 // share of the orders that are carried out and not answered
	Fail   float64 // share of the tasks that end failed
	Slow   float64 // factor on the durations of tasks that start; 0 means 1
}

// Span is a run that has ended.
type Span struct {
	Task     string
	Run      int64
	Worker   string
	From, To time.Time
	How      string
}

const (
	// maxLease is the longest lease that the worker allows, in ms.
	maxLease = 1000
	// clockStart is what the clock of a new process shows, in ms.
	clockStart = 1000
	// stopTime is how long a worker takes to stop a task.
	stopTime = 30 * time.Millisecond
	// lateLeast and lateMost bound the delay of an order that is carried out late.
	lateLeast = 200 * time.Millisecond
	lateMost  = 6 * time.Second
)

// NewWorker returns a worker. The cpu of a task is asked of cpuOf, since orders do not carry
// it; broken rules are reported.
func NewWorker(id string, capacity int64, cpuOf func(task string) int64, report func(string)) *Worker {
	w := &Worker{ID: id, Capacity: capacity, rate: 1, cpuOf: cpuOf, report: report, starts: make(map[string]int)}
	w.Restart()
	return w
}

// SetClockRate sets the speed of the clock of the processes that start from now on.
func (w *Worker) SetClockRate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rate = rate
}

// Restart ends the worker's process and starts another one.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	for name := range w.running {
		w.end(name, "crashed", time.Now())
	}
	w.born = time.Now()
	w.fence, w.lease, w.number = 0, 0, 0
	w.running = make(map[string]*task)
	w.barred = make(map[string]int64)
	w.finished = nil
	w.changed = make(chan struct{})
}

// SetFaults replaces what the worker does wrong.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// History returns the runs that have ended. Those at work are left out.
func (w *Worker) History() []Span {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	return append([]Span(nil), w.history...)
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
func (w *Worker) clock() int64 {
	return clockStart + int64(float64(time.Since(w.born).Milliseconds())*w.rate)
}

// leaseEnd is when the lease ends.
func (w *Worker) leaseEnd() time.Time {
	return w.born.Add(time.Duration(float64(w.lease-clockStart)/w.rate) * time.Millisecond)
}

// settle ends what has run out of work, of lease, or was stopped.
func (w *Worker) settle() {
	now := time.Now()
	lease := w.leaseEnd()
	for name, t := range w.running {
		done, how := t.until, "done"
		if t.fails {
			how = "failed"
		}
		if !t.stops.IsZero() && t.stops.Before(done) {
			done, how = t.stops, "stopped"
		}
		if lease.Before(done) {
			done, how = lease, "lapsed"
		}
		if !now.Before(done) {
			w.end(name, how, done)
		}
	}
}

func (w *Worker) end(name, how string, at time.Time) {
	t := w.running[name]
	delete(w.running, name)
	w.history = append(w.history, Span{Task: name, Run: t.run, Worker: w.ID, From: t.since, To: at, How: how})
	w.barred[name] = max(w.barred[name], t.run)
	w.number++
	w.finished = append(w.finished, []any{w.number, name, t.run, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}
