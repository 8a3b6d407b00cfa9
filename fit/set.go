// Package fit places tasks on the platform's workers by their resources: cores, memory and
// accelerators. It also decides which tasks to throttle or stop on overloaded workers.
//
// Package dispatch calls it, sends the tasks, carries out the actions and reports how attempts
// end. Package place chooses the endpoints of minion groups. Package fit is a plain state machine:
// callers pass in the time and the seed of random numbers, and it does no I/O.
//
// Declared sizes are unreliable, and nothing on a worker enforces them. A task is therefore
// allocated its declared size times a correction that is learned for its kind from usage reports,
// and a share of each worker stays free. The reports lag by seconds, longer than most tasks run,
// so this host's own tasks are counted from their start to their end, and reports only add what
// other hosts run there.
package fit

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"sesameledge.dev/sesameledge/place"
)

// Set holds the workers and what was learned about them. It is not safe for concurrent
// use.
type Set struct {
	opts    Options
	rng     *rand.Rand
	hosts   int           // live entry hosts that share the workers, this one included
	now     time.Duration // as passed in with the last call that has it
	workers map[place.EndpointID]*worker
	groups  map[string]*group
	open    map[taskKey]*openTask
	jobs    map[string]*jobTasks
	kinds   map[string]*sizeCorrection
}

// worker is a worker and what this host knows about it.
type worker struct {
	place.Endpoint
	ownLoad        load    // of this host's open tasks
	ownTasks       int     // number of this host's open tasks
	unreportedLoad load    // the part of ownLoad that no report has shown yet
	othersLoad     load    // tasks of other hosts, as last reported
	ownShare       float64 // moving average of this host's share of the reported load
	health         health
	pausedUntil    time.Duration // gets no tasks until then, since it refused one
	reservedFor    *waitingTask  // the task that the worker is reserved for, or nil
	pressure       pressure
}

// group is a back-end group of workers.
type group struct {
	workers []*worker      // ordered by identifier
	racks   map[string]int // workers by rack
	// capacityLastSeen holds the capacities of workers in the group and when each was last in
	// the list. A capacity is kept when its workers leave the list, since they may come back.
	capacityLastSeen map[place.Size]time.Duration
	waiting          map[taskKey]*waitingTask
	reservedTask     *waitingTask // the one of waiting that a worker is reserved for, or nil
	failureRate      float64      // moving average of the share of attempts that failed
	taskCores        float64      // moving average of the cores allocated to a task
}

// taskKey identifies a task by its job.
type taskKey struct {
	job   string
	index int
}

// openTask is a task of this host that was started and has not ended.
type openTask struct {
	worker   place.EndpointID
	identity string // of the worker
	load     load   // as allocated, or as used once a report has shown the task
	reported bool   // a report has shown the task
}

// jobTasks counts the open tasks of a job, in all and by rack.
type jobTasks struct {
	tasks  int
	byRack map[string]int
}

// New returns an empty Set.
func New(opts Options) *Set {
	return &Set{
		opts:    opts.withDefaults(),
		hosts:   1,
		rng:     rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		workers: make(map[place.EndpointID]*worker),
		groups:  make(map[string]*group),
		open:    make(map[taskKey]*openTask),
		jobs:    make(map[string]*jobTasks),
		kinds:   make(map[string]*sizeCorrection),
	}
}

// Update replaces the list of workers. What was learned about a worker is kept unless its identity
// changed.
func (s *Set) Update(list []place.Endpoint) {
	next := make(map[place.EndpointID]*worker, len(list))
	for _, g := range s.groups {
		g.workers, g.racks = nil, make(map[string]int)
	}
	for _, ep := range list {
		w := s.workers[ep.ID]
		if w == nil || w.Identity != ep.Identity {
			w = new(worker)
		}
		w.Endpoint = ep
		w.ownLoad, w.unreportedLoad, w.ownTasks = load{}, load{}, 0
		next[ep.ID] = w
		s.groupFor(ep.Group).add(w, s.now)
	}
	s.workers = next
	for _, t := range s.open {
		if w := s.workerOf(t); w != nil {
			w.addTask(t)
		}
	}
	for _, g := range s.groups {
		g.finishUpdate(s.now)
	}
}

// groupFor returns the group with this name, and creates it if there is none.
func (s *Set) groupFor(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{racks: make(map[string]int), capacityLastSeen: make(map[place.Size]time.Duration), waiting: make(map[taskKey]*waitingTask), taskCores: defaultTaskCores}
		s.groups[name] = g
	}
	return g
}

func (g *group) add(w *worker, now time.Duration) {
	g.workers = append(g.workers, w)
	g.racks[w.Rack]++
	g.capacityLastSeen[w.Capacity] = now
}

// finishUpdate sorts the workers, discards capacities that were last seen long ago, and ends the
// wait of a task if the worker reserved for it left the list.
func (g *group) finishUpdate(now time.Duration) {
	sort.Slice(g.workers, func(i, j int) bool { return g.workers[i].ID < g.workers[j].ID })
	for capacity, lastSeen := range g.capacityLastSeen {
		if now-lastSeen > capacityRetention {
			delete(g.capacityLastSeen, capacity)
		}
	}
	if g.reservedTask == nil || slices.Contains(g.workers, g.reservedTask.reservedWorker) {
		return
	}
	g.endWait(g.reservedTask.key)
}

// workerOf returns the worker of an open task, or nil if the worker left the list or was replaced.
func (s *Set) workerOf(t *openTask) *worker {
	w := s.workers[t.worker]
	if w == nil || w.Identity != t.identity {
		return nil
	}
	return w
}

// Started records that a task was started on the worker.
func (s *Set) Started(id place.EndpointID, task place.Task) {
	key := taskKey{task.Job, task.Index}
	w := s.workers[id]
	if w == nil || s.open[key] != nil {
		return
	}
	t := &openTask{worker: id, identity: w.Identity, load: s.allocation(w, task)}
	s.open[key] = t
	g := s.groupFor(task.Group)
	g.taskCores += (t.load.cores - g.taskCores) / taskCoresSamples
	w.addTask(t)
	job := s.jobs[task.Job]
	if job == nil {
		job = &jobTasks{byRack: make(map[string]int)}
		s.jobs[task.Job] = job
	}
	job.tasks++
	job.byRack[w.Rack]++
	g.endWait(key)
}

// Ended records how an attempt on the worker ended. It ignores tasks that are not open on that
// worker.
func (s *Set) Ended(now time.Duration, id place.EndpointID, task place.Task, sample place.Sample) {
	s.now = now
	key := taskKey{task.Job, task.Index}
	t := s.open[key]
	if t == nil || t.worker != id {
		return
	}
	delete(s.open, key)
	w := s.workerOf(t)
	s.removeFromJob(task.Job, w)
	if w == nil {
		return
	}
	w.removeTask(t)
	s.recordHealth(w, task.Job, sample)
}

// addTask adds a task to the worker's load.
func (w *worker) addTask(t *openTask) {
	w.ownLoad.add(t.load)
	w.ownTasks++
	if !t.reported {
		w.unreportedLoad.add(t.load)
	}
}

// removeTask takes a task off the worker's load.
func (w *worker) removeTask(t *openTask) {
	w.ownLoad.sub(t.load)
	if !t.reported {
		w.unreportedLoad.sub(t.load)
	}
	w.ownTasks--
	if w.ownTasks == 0 {
		w.ownLoad, w.unreportedLoad = load{}, load{} // so that rounding errors don't accumulate
	}
}

// removeFromJob takes an ended task off the counts of its job. w is nil if the worker is gone.
func (s *Set) removeFromJob(jobID string, w *worker) {
	job := s.jobs[jobID]
	if job == nil {
		return
	}
	job.tasks--
	if w != nil {
		job.byRack[w.Rack]--
	}
	if job.tasks <= 0 {
		delete(s.jobs, jobID)
	}
}

// Live returns the number of workers of a group that take new work.
func (s *Set) Live(name string) int {
	n := 0
	for _, w := range s.groupFor(name).workers {
		if !w.Leaving {
			n++
		}
	}
	return n
}

// Capacity returns how many tasks of the average size the group's workers can run at a time.
func (s *Set) Capacity(name string) float64 {
	g, cores := s.groupFor(name), 0.0
	for _, w := range g.workers {
		if !w.Leaving {
			cores += s.usable(w).cores
		}
	}
	return cores / max(g.taskCores, minTaskCores)
}

// CanEverHold reports whether some worker of the group is as large as the task declares, or was so
// and left the list less than capacityRetention ago. The present load does not matter.
func (s *Set) CanEverHold(name string, size place.Size) bool {
	declared := declaredLoad(size)
	for capacity := range s.groupFor(name).capacityLastSeen {
		if declared.within(loadOf(capacity)) {
			return true
		}
	}
	return false
}

// View returns the workers for a state dump, ordered by identifier.
func (s *Set) View() []place.EndpointView {
	out := make([]place.EndpointView, 0, len(s.workers))
	for _, w := range s.workers {
		out = append(out, place.EndpointView{Endpoint: w.Endpoint, Outstanding: w.ownTasks})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Len returns the number of workers.
func (s *Set) Len() int { return len(s.workers) }
