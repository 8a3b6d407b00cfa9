package fleetsim

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Worker is a worker of the platform without safeguards: it starts every task that it is told to start,
// even beyond its capacity, and reports the violation. The payload of a task is its duration, such as
// "50ms", followed by CrashSuffix if the first task of the job crashes the worker. A Worker is an
// http.Handler and safe for concurrent use.
type Worker struct {
	ID       string
	Capacity int64 // thousandths of a core
	// OnCrash is called by a task that crashes the worker, which has no runs any more then. It closes the
	// listener and the connections. It is set before the first order.
	OnCrash func()
	// ListsEnding makes the worker list a run as running while it ends it.
	ListsEnding bool
	// NamesProcess makes the worker's entry in the store name the start of its process.
	NamesProcess bool

	mu               sync.Mutex
	clockRate        float64 // speed of its clock; 1 is real time
	nextClockRate    float64 // of the clock of the next process
	faults           Faults
	coldUntil        time.Time // until then tasks that start take ColdSlowdown times as long
	history          []EndedRun
	processStart     time.Time
	fence            int64                 // highest fencing token seen
	leaseEndMillis   int64                 // on its clock
	running          map[string]*activeRun // by task
	highestClosedRun map[string]int64      // highest run of a task that was stopped or has ended
	finished         [][]any               // ended runs that are not acknowledged, in the protocol's form
	lastEndNumber    int64                 // number of the newest ended run
	runEnded         chan struct{}         // closed and replaced with each end of a run
	cpuOf            func(task string) int64
	reportViolation  func(string)
	startCounts      map[string]int // by task
}

// activeRun is a run of a task that has not ended.
type activeRun struct {
	number  int64
	start   time.Time
	end     time.Time // when its work is done
	fails   bool
	overAt  time.Time // when it is over although its work is not done; zero if the worker does not end it
	overHow string    // how it ends then
}

// beginEnd begins to end the run, unless that has begun before. It is over after a time.
func (run *activeRun) beginEnd(now time.Time, how string, after time.Duration) {
	if run.overAt.IsZero() {
		run.overAt, run.overHow = now.Add(after), how
	}
}

// percent returns the progress of the run.
func (run *activeRun) percent() float64 {
	return 100 * float64(time.Since(run.start)) / float64(max(1, run.end.Sub(run.start)))
}

// Faults are the faults that a worker shows.
type Faults struct {
	Silent          bool    // executes orders, but answers none
	LateShare       float64 // fraction of orders that are executed up to 12 s late and not answered
	UnansweredShare float64 // fraction of orders that are executed but not answered
	FailedShare     float64 // fraction of tasks that fail
	SlowFactor      float64 // factor on the durations of tasks that start; 0 means 1
}

// EndedRun is a run that has ended.
type EndedRun struct {
	Task       string
	Run        int64
	Worker     string
	Start, End time.Time
	Outcome    string // done, failed, stopped, lapsed or crashed
}

const (
	// maxLeaseMillis is the longest lease that the worker grants.
	maxLeaseMillis = 1000
	// initialClockMillis is the time that the clock of a new process shows.
	initialClockMillis = 1000
	// maxEndTime is how long a worker takes, on its own clock, to end a run that it was told to stop or whose lease
	// has lapsed. It is the longest time that the platform allows.
	maxEndTime = 50 * time.Millisecond
	// maxListedEnds is the number of ended runs that a hold lists at a time.
	maxListedEnds = 500
	// minLateDelay and maxLateDelay limit the delay of an order that is executed late.
	minLateDelay = 200 * time.Millisecond
	maxLateDelay = 12 * time.Second
)

// NewWorker returns a worker with a capacity in thousandths of a core. cpuOf returns the CPU that a task
// needs, in the same unit, because orders do not contain it. reportViolation receives a description of
// each order that breaks a rule.
func NewWorker(
	id string, capacity int64, cpuOf func(task string) int64, reportViolation func(string),
) *Worker {
	w := &Worker{
		ID: id, Capacity: capacity, ListsEnding: rand.IntN(2) == 0, nextClockRate: 1,
		cpuOf: cpuOf, reportViolation: reportViolation, startCounts: make(map[string]int),
	}
	w.Restart()
	return w
}

// SetClockRate sets the speed of the clock of the next process; 1 is real time. The clock of a running process is
// steady: another speed would make it jump, and its leases would last longer than any host can know.
func (w *Worker) SetClockRate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextClockRate = rate
}

// CrashSuffix ends the payload of a job whose first task crashes the workers that start it.
const CrashSuffix = ",crash"

// crashDelay is the time from the start of such a task to the crash.
const crashDelay = 10 * time.Millisecond

// crash ends the process of the worker.
func (w *Worker) crash() {
	w.OnCrash()
	w.Restart()
}

// Restart ends the worker's process with its runs and starts a new process. The faults and the history
// remain.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clockRate > 0 { // not the first process
		w.endDueRuns()
	}
	for task := range w.running {
		w.endRun(task, "crashed", time.Now())
	}
	w.processStart = time.Now()
	w.clockRate = w.nextClockRate
	w.fence, w.leaseEndMillis, w.lastEndNumber = 0, 0, 0
	w.running = make(map[string]*activeRun)
	w.highestClosedRun = make(map[string]int64)
	w.finished = nil
	w.runEnded = make(chan struct{})
}

// SetFaults replaces the faults of the worker.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// ColdSlowdown is the factor on the durations of tasks that start on a cold worker.
const ColdSlowdown = 3

// SetCold makes the worker slow for some time, as one that has just started is.
func (w *Worker) SetCold(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = time.Now().Add(d)
}

// coldLeft returns how much longer the worker is slow after its start.
func (w *Worker) coldLeft() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, time.Until(w.coldUntil))
}

// History returns the runs that have ended.
func (w *Worker) History() []EndedRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	return append([]EndedRun(nil), w.history...)
}

// Running returns the tasks that have an active run.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	var tasks []string
	for task := range w.running {
		tasks = append(tasks, task)
	}
	return tasks
}

// Starts returns how often each task has started, over all processes of the worker.
func (w *Worker) Starts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := make(map[string]int, len(w.startCounts))
	for task, n := range w.startCounts {
		copied[task] = n
	}
	return copied
}

// clockMillis returns the time on the worker's clock, in ms.
func (w *Worker) clockMillis() int64 {
	return initialClockMillis + int64(float64(time.Since(w.processStart).Milliseconds())*w.clockRate)
}

// leaseEndTime returns the end of the lease in real time.
func (w *Worker) leaseEndTime() time.Time {
	return w.processStart.Add(
		time.Duration(float64(w.leaseEndMillis-initialClockMillis)/w.clockRate) * time.Millisecond)
}

// endTime returns how long the worker takes to end a run.
func (w *Worker) endTime() time.Duration {
	return time.Duration(float64(maxEndTime) / w.clockRate)
}

// endDueRuns begins to end all runs if the lease has lapsed, and ends those whose work is done or that are over. The
// methods that read or change runs call it first, so that no timers are needed.
func (w *Worker) endDueRuns() {
	now := time.Now()
	leaseEnd := w.leaseEndTime()
	for task, run := range w.running {
		if !now.Before(leaseEnd) {
			run.beginEnd(leaseEnd, "lapsed", w.endTime())
		}
		end, how := run.end, "done"
		if run.fails {
			how = "failed"
		}
		if !run.overAt.IsZero() && run.overAt.Before(end) {
			end, how = run.overAt, run.overHow
		}
		if !now.Before(end) {
			w.endRun(task, how, end)
		}
	}
}

// endRun ends a run and adds it to the history and to the ends that a hold reports.
func (w *Worker) endRun(task, how string, at time.Time) {
	run := w.running[task]
	delete(w.running, task)
	w.history = append(w.history, EndedRun{
		Task: task, Run: run.number, Worker: w.ID, Start: run.start, End: at, Outcome: how,
	})
	w.highestClosedRun[task] = max(w.highestClosedRun[task], run.number)
	w.lastEndNumber++
	w.finished = append(w.finished, []any{w.lastEndNumber, task, run.number, how, ""})
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}
