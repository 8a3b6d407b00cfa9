// Package fit places tasks with a size onto the platform's workers. It is a plain state
// machine; time and random numbers come in from outside.
//
// Declared sizes are unreliable and nothing on a worker enforces them. A task is
// therefore reserved with its declared size times a correction that is learned for its
// kind from usage reports, and a share of each worker stays free. The reports lag by
// seconds, longer than most tasks run, so this host's own tasks are accounted for from
// their start to their end, and reports only add what other hosts run there.
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
	hosts   int           // entry hosts that share the workers
	now     time.Duration // of the last call that carried the time
	workers map[place.EndpointID]*worker
	groups  map[string]*group
	open    map[taskKey]*openTask
	jobs    map[string]*jobSpread
	kinds   map[string]*correction
}

// worker is one worker and its load.
type worker struct {
	place.Endpoint
	own        load // tasks that this host started and that have not ended
	ownTasks   int
	unreported load    // the part of own that no report has shown
	foreign    load    // tasks of other hosts, as last reported
	share      float64 // part of the reported load that was this host's
	health     health
	pauseUntil time.Duration // it refused a start; its reported load is out of date
	heldFor    *hold         // kept free for a task that does not fit anywhere
	pressure   pressure
}

// group is the workers of a back-end group.
type group struct {
	workers []*worker      // ordered by identifier
	racks   map[string]int // workers by rack
	// shapes are the capacities seen in the group, with the time of the last sight. They
	// outlive a worker that left the list, which may be momentary.
	shapes    map[place.Size]time.Duration
	waiting   map[taskKey]*hold
	holder    *hold   // the one of waiting that a worker is kept free for
	failing   float64 // moving average of the share of attempts that failed
	taskCores float64 // moving average of the cores reserved for a task
}

type taskKey struct {
	job   string
	index int
}

// openTask is a task of this host that was started and has not ended.
type openTask struct {
	worker   place.EndpointID
	identity string // of the worker
	load     load   // reserved, or as used once that is reported
	reported bool
}

// jobSpread counts the open tasks of a job.
type jobSpread struct {
	total int
	racks map[string]int
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
		jobs:    make(map[string]*jobSpread),
		kinds:   make(map[string]*correction),
	}
}

// Update replaces the list of workers. What was learned about a worker is kept unless its
// identity changed.
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
		w.own, w.unreported, w.ownTasks = load{}, load{}, 0
		next[ep.ID] = w
		s.group(ep.Group).add(w, s.now)
	}
	s.workers = next
	for _, t := range s.open {
		if w := s.workerOf(t); w != nil {
			w.take(t)
		}
	}
	for _, g := range s.groups {
		g.settle(s.now)
	}
}

func (s *Set) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{racks: make(map[string]int), shapes: make(map[place.Size]time.Duration), waiting: make(map[taskKey]*hold), taskCores: undeclaredCores}
		s.groups[name] = g
	}
	return g
}

func (g *group) add(w *worker, now time.Duration) {
	g.workers = append(g.workers, w)
	g.racks[w.Rack]++
	g.shapes[w.Capacity] = now
}

// settle orders the workers and forgets old shapes, and a hold on a worker that left.
func (g *group) settle(now time.Duration) {
	sort.Slice(g.workers, func(i, j int) bool { return g.workers[i].ID < g.workers[j].ID })
	for shape, seen := range g.shapes {
		if now-seen > shapeMemory {
			delete(g.shapes, shape)
		}
	}
	if g.holder == nil || slices.Contains(g.workers, g.holder.worker) {
		return
	}
	g.endWait(g.holder.key)
}

// workerOf returns the worker of an open task, or nil if it left the list or was replaced.
func (s *Set) workerOf(t *openTask) *worker {
	w := s.workers[t.worker]
	if w == nil || w.Identity != t.identity {
		return nil
	}
	return w
}

// Started records that a task was handed to the worker.
func (s *Set) Started(id place.EndpointID, task place.Task) {
	key := taskKey{task.Job, task.Index}
	w := s.workers[id]
	if w == nil || s.open[key] != nil {
		return
	}
	t := &openTask{worker: id, identity: w.Identity, load: s.need(w, task)}
	s.open[key] = t
	g := s.group(task.Group)
	g.taskCores += (t.load.cores - g.taskCores) / taskMemory
	w.take(t)
	j := s.jobs[task.Job]
	if j == nil {
		j = &jobSpread{racks: make(map[string]int)}
		s.jobs[task.Job] = j
	}
	j.total++
	j.racks[w.Rack]++
	g.endWait(key)
}

// Ended records how an attempt on the worker ended.
func (s *Set) Ended(now time.Duration, id place.EndpointID, task place.Task, sample place.Sample) {
	s.now = now
	key := taskKey{task.Job, task.Index}
	t := s.open[key]
	if t == nil || t.worker != id {
		return
	}
	delete(s.open, key)
	w := s.workerOf(t)
	s.leaveJob(task.Job, w)
	if w == nil {
		return
	}
	w.release(t)
	s.learnHealth(w, task.Job, sample)
}

// take adds a task to the worker's load.
func (w *worker) take(t *openTask) {
	w.own.add(t.load)
	w.ownTasks++
	if !t.reported {
		w.unreported.add(t.load)
	}
}

// release takes a task off the worker's load.
func (w *worker) release(t *openTask) {
	w.own.sub(t.load)
	if !t.reported {
		w.unreported.sub(t.load)
	}
	w.ownTasks--
	if w.ownTasks == 0 {
		w.own, w.unreported = load{}, load{} // no rounding errors accumulate
	}
}

func (s *Set) leaveJob(name string, w *worker) {
	j := s.jobs[name]
	if j == nil {
		return
	}
	j.total--
	if w != nil {
		j.racks[w.Rack]--
	}
	if j.total <= 0 {
		delete(s.jobs, name)
	}
}

// Live returns the number of workers of a group that take new work.
func (s *Set) Live(name string) int {
	n := 0
	for _, w := range s.group(name).workers {
		if !w.Leaving {
			n++
		}
	}
	return n
}

// Capacity returns how many tasks of the usual size the group's workers run at a time.
func (s *Set) Capacity(name string) float64 {
	g, cores := s.group(name), 0.0
	for _, w := range g.workers {
		if !w.Leaving {
			cores += s.usable(w).cores
		}
	}
	return cores / max(g.taskCores, minTaskCores)
}

// CanEverHold reports whether some worker of the group, also one that left the list a
// while ago, is as large as the task declares. Momentary load does not matter.
func (s *Set) CanEverHold(name string, size place.Size) bool {
	want := declared(size)
	for shape := range s.group(name).shapes {
		if want.within(capacity(shape)) {
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
