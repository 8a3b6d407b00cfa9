package host

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/internal/workermodel"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// simTickInterval is the time between two Tick events of a host.
	simTickInterval = 25 * time.Millisecond
	// simLatency is the one-way delay of the network.
	simLatency = time.Millisecond
	// storeReadInterval is the time between two reads of the store by a host.
	storeReadInterval = 600 * time.Millisecond
	// callerResendDelay is the delay before callers resend a job whose outcome is unknown.
	callerResendDelay = 1300 * time.Millisecond
	// simWeight is the weight of every host.
	simWeight = 400
	// bootTime is how long a process takes to start.
	bootTime = 200 * time.Millisecond
)

// simulation is a deployment in virtual time: entry hosts, modelled workers, callers and the store.
// The networks between them delay and lose messages and can be partitioned.
type simulation struct {
	rng          *rand.Rand
	now          time.Duration
	pending      eventQueue
	number       int // of the last scheduled event
	hosts        []*simHost
	workers      []*simWorker
	links        map[[2]int]*simLink // between hosts, by sender and receiver
	jobs         map[string]*simJob
	entries      map[string]fleet.Worker // decoded worker, by record of the store
	offset       int64                   // of the newest record
	version      int64                   // of the newest configuration
	fence        int64                   // highest announced fencing token
	requests     []fleet.Evacuation      // the operator's requests and withdrawals, by offset
	lostHistory  bool                    // the store returns only the requests in force
	nextID       uint64
	nextJob      int
	load         time.Duration // time between two jobs of the background load; 0: no load
	estimate     time.Duration // of a task, from the callers. 0: 200 ms
	patience     time.Duration // for which callers wait for an answer. 0: 3 s
	failure      error         // first violation that was found
	tracing      bool
	cellWorkers  int
	kills        int           // processes that were killed
	faults       int           // of hosts and networks, injected by hostMachine
	fatalJob     string        // on which the states of commanders fail; empty: none
	failures     int           // of states
	objective    time.Duration // offset of the objective of new jobs
	placement    sched.Policy
	ports        simPorts       // empty: the links have no limit
	sentBytes    int64          // over links with a limit
	configBytes  int            // size of the configuration beyond its version
	configRecord []byte         // the newest one
	onLog        func(LogEntry) // called for each log entry; nil: nothing is
	trace        []string       // orders and answers, if tracing
}

// after schedules run after a delay.
func (w *simulation) after(d time.Duration, run func()) {
	w.number++
	heap.Push(&w.pending, timedEvent{at: w.now + d, number: w.number, run: run})
}

// advance runs the events of the next d of virtual time.
func (w *simulation) advance(d time.Duration) {
	end := w.now + d
	for len(w.pending) > 0 && w.pending[0].at <= end && w.failure == nil {
		o := heap.Pop(&w.pending).(timedEvent)
		w.now = max(w.now, o.at)
		o.run()
	}
	w.now = end
}

func (w *simulation) fail(format string, args ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("%v: "+format, append([]any{w.now}, args...)...)
	}
}

// newSimulation returns a deployment of two zones with hosts and workers. One host commands up to
// cellWorkers workers of a zone.
func newSimulation(seed uint64, hostsPerZone, workersPerZone, cellWorkers int) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 0)), now: time.Hour,
		links: make(map[[2]int]*simLink), jobs: make(map[string]*simJob), entries: make(map[string]fleet.Worker),
	}
	w.version, w.cellWorkers, w.objective = 1, cellWorkers, time.Second
	endings := rand.New(rand.NewPCG(seed, 1)) // its own source, so that the other draws of a seed stay as they are
	for i := range 2 * workersPerZone {
		w.addWorker(fmt.Sprintf("w%d", i), simZones[i%2], []float64{1, 0.98, 1}[i%3])
		w.workers[i].Endings = drawEndings(endings)
	}
	for i := range 2 * hostsPerZone {
		h := &simHost{
			w: w, index: i, name: fmt.Sprintf("h%d", i), zone: simZones[i%2],
			addr: fmt.Sprintf("10.0.0.%d:1", i), skew: time.Duration(i) * 17 * time.Minute,
		}
		w.hosts = append(w.hosts, h)
		for j := range i {
			w.links[[2]int{i, j}], w.links[[2]int{j, i}] = &simLink{}, &simLink{}
		}
	}
	for _, h := range w.hosts {
		h.boot()
	}
	w.submitLoad()
	return w
}

// drawEndings draws how a worker ends runs. Half of the workers use up the time that they may take for it.
func drawEndings(rng *rand.Rand) workermodel.Endings {
	e := workermodel.Endings{Time: workermodel.MaxEndTime, Unlisted: rng.IntN(2) == 0}
	if rng.IntN(2) == 0 {
		e.Time = time.Duration(rng.Int64N(int64(workermodel.MaxEndTime)))
	}
	return e
}

var simZones = []string{"north", "south"}

// simWorker is a worker of the deployment.
type simWorker struct {
	*workermodel.Worker
	info           fleet.Worker
	offset         int64    // of its entry
	waiters        []func() // replies to holds that wait for the end of a run
	unlisted       bool     // it has no entry in the store
	cut            bool     // it is unreachable from all hosts
	zoneCut        bool     // it is unreachable from the hosts of other zones
	starts         int      // accepted starts of tasks
	coldUntil      time.Duration
	lateShare      float64 // share of the orders that are carried out late and not answered
	lostReplyShare float64 // share of the orders that are carried out at once and not answered
	lateStopShare  float64 // share of the stops that are carried out late and not answered
	refuses        bool    // its machine refuses connections while no process runs
	openCalls      []*workerCall
	announced      *fleet.Resources // capacity in its entry; nil: that of the model
}

func (w *simulation) addWorker(id, zone string, rate float64) {
	capacity := fleet.Resources{CPU: fullCapacity, Memory: 1000}
	ww := &simWorker{
		Worker: workermodel.New(id, capacity, rate),
		info:   fleet.Worker{ID: id, Service: "s", Zone: zone, Addr: id, Capacity: capacity},
	}
	w.workers = append(w.workers, ww)
	w.publishWorker(ww)
}

// publishWorker writes a worker's entry into the store.
func (w *simulation) publishWorker(ww *simWorker) {
	w.offset++
	ww.offset = w.offset
	ww.info.ProcessStart, ww.info.Capacity = ww.Born, ww.Capacity
	if ww.announced != nil {
		ww.info.Capacity = *ww.announced
	}
	w.entries[fmt.Sprintf("%s %d", ww.ID, ww.offset)] = ww.info
}

func (ww *simWorker) record() WorkerRecord {
	return WorkerRecord{ID: ww.ID, Record: fmt.Appendf(nil, "%s %d", ww.ID, ww.offset), Offset: ww.offset}
}

// expire ends the runs whose leases have expired.
func (w *simulation) expire() {
	for _, ww := range w.workers {
		ww.Expire(w.now)
	}
}

// check fails the simulation if the workers violate an invariant.
func (w *simulation) check() {
	w.expire()
	models := make([]*workermodel.Worker, len(w.workers))
	for i, ww := range w.workers {
		models[i] = ww.Worker
	}
	if err := workermodel.Check(models); err != nil {
		w.fail("%v", err)
	}
}
