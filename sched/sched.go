package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// holdWait is how long a worker may wait for an end before it answers a hold. It is the
	// period of lease renewals.
	holdWait = 250 * time.Millisecond
	// leaseTime plus the time in which the loss of an entry host is noticed is less than the
	// time after which a caller sends a job again.
	leaseTime = 700 * time.Millisecond
	// maxLease is the longest lease that a worker allows.
	maxLease = time.Second
	// restartTime is the least time in which a worker starts again.
	restartTime = time.Second
	// stopPatience is how long a stop may stay unanswered while the lease is extended.
	stopPatience = 200 * time.Millisecond
	// stopRepeat is the time after which a stop is sent again.
	stopRepeat = 150 * time.Millisecond
	// doubtTime is how long a run whose start went unanswered may take to show up.
	doubtTime = 120 * time.Millisecond
	// ackDelay is how long ends may stay unacknowledged on an idle worker.
	ackDelay = 400 * time.Millisecond
	// blockMin and blockMax bound the pause after a worker has refused a task.
	blockMin = 150 * time.Millisecond
	blockMax = 2 * time.Second
	// probeTime is the pause between calls to a worker that does not answer.
	probeTime = 300 * time.Millisecond
	// attemptJump lifts a task's attempt above those of an earlier submission of its job.
	attemptJump = 1000
)

// State is the state machine. Use New.
type State struct {
	workers    map[string]*worker
	jobs       map[JobKey]*job
	queue      []*job // with tasks that wait
	model      *model
	importance *importance
	out        []Effect
	dirty      bool // there may be room for waiting tasks
	order      []*worker
	stats      Stats
	closed     map[fleet.Cell]bool // cells whose workers are being handed over
}

// Stats counts what the state machine has done.
type Stats struct {
	Starts, Done, FailedRuns, Lapsed, Lost, Hangs, Doubts, Stops, Foreign int64
	Completed, Failed, Refused, Aborted                                   int64
	// Violations counts starts that an internal check has stopped.
	Violations int64
}

// New returns an empty state machine.
func New() *State {
	return &State{
		workers:    make(map[string]*worker),
		jobs:       make(map[JobKey]*job),
		closed:     make(map[fleet.Cell]bool),
		model:      newModel(),
		importance: newImportance(),
	}
}

// Commands reports whether the host commands a worker, or tries to.
func (s *State) Commands(id string) bool {
	w := s.workers[id]
	return w != nil && w.phase != phaseNone
}

// Obeys reports whether a worker has accepted the host's command.
func (s *State) Obeys(id string) bool {
	w := s.workers[id]
	return w != nil && w.phase == phaseHeld
}

// CellOf returns the cell under which a worker was last taken.
func (s *State) CellOf(id string) fleet.Cell {
	if w := s.workers[id]; w != nil {
		return w.cell
	}
	return ""
}

// Stats returns the counters.
func (s *State) Stats() Stats { return s.stats }

// Ready returns the effects since the last call.
func (s *State) Ready() []Effect {
	out := s.out
	s.out = nil
	return out
}

func (s *State) emit(e Effect) { s.out = append(s.out, e) }

func (s *State) note(request, message string, fields ...any) {
	s.emit(Note{Message: message, Request: request, Fields: fields})
}

// Step applies an event. Call Place after the last event of a batch.
func (s *State) Step(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case Submit:
		s.submit(now, e.Job)
	case Cancel:
		s.cancel(now, e.Key)
	case Directory:
		s.directory(now, e.Workers)
	case Take:
		s.take(now, e)
	case Release:
		s.release(e.Worker)
	case Started:
		s.started(now, e)
	case Stopped:
		s.stopped(now, e)
	case Held:
		s.held(now, e)
	case Tick:
		s.tick(now)
	}
}

// directory replaces the known workers. Workers that are gone are kept while runs on them
// may be at work.
func (s *State) directory(now time.Duration, list []fleet.Worker) {
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		w := s.workers[info.ID]
		if w == nil {
			w = &worker{runs: make(map[fleet.RunKey]*run), foreign: make(map[fleet.RunKey]*foreignRun), speed: 1}
			s.workers[info.ID] = w
		}
		if info.Draining && !w.info.Draining {
			s.note("", "worker drains", "worker", info.ID)
		}
		w.info = info
		w.removed = false
	}
	for id, w := range s.workers {
		if listed[id] {
			continue
		}
		w.removed = true
		if len(w.runs) == 0 {
			delete(s.workers, id)
		}
	}
	s.sortWorkers()
	s.dirty = true
}

// sortWorkers keeps the workers in a fixed order, so that runs repeat.
func (s *State) sortWorkers() {
	s.order = s.order[:0]
	for _, w := range s.workers {
		s.order = append(s.order, w)
	}
	slices.SortFunc(s.order, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
}

func (s *State) take(now time.Duration, e Take) {
	w := s.workers[e.Worker]
	if w == nil || w.phase != phaseNone && w.fence >= e.Fence {
		return
	}
	w.phase = phaseTaking
	w.fence = e.Fence
	w.cell = e.Cell
	w.cursor, w.acked = 0, 0
	w.holding = false
	w.nextHold = now
	s.hold(now, w)
}

func (s *State) release(id string) {
	w := s.workers[id]
	if w == nil || w.phase == phaseNone {
		return
	}
	w.phase = phaseLeaving
	s.leaveIfEmpty(w)
}

func (s *State) leaveIfEmpty(w *worker) {
	if w.phase != phaseLeaving || len(w.runs) > 0 || s.closed[w.cell] && s.waits(w.cell) {
		return
	}
	w.phase = phaseNone
	s.emit(Released{Worker: w.info.ID})
}

// fenced gives up a worker that another host has taken. The runs there end when their
// lease does, or earlier by the other host's order.
func (s *State) fenced(w *worker) {
	if w.phase == phaseNone {
		return
	}
	s.note("", "worker taken by another host", "worker", w.info.ID, "fence", w.fence, "runs", len(w.runs))
	w.phase = phaseNone
	w.foreign = make(map[fleet.RunKey]*foreignRun)
	s.emit(Fenced{Worker: w.info.ID})
}

// tick ends what has run out of time and sends what is due.
func (s *State) tick(now time.Duration) {
	for _, w := range s.order {
		if len(w.runs) > 0 && now > w.leaseBound {
			s.lapse(now, w)
		}
		s.checkRuns(now, w)
		s.leaveIfEmpty(w)
		s.hold(now, w)
	}
	s.expire(now)
	s.dirty = true
}

// lapse ends all runs of a worker whose leases have certainly ended.
func (s *State) lapse(now time.Duration, w *worker) {
	for _, r := range sortedRuns(w) {
		s.note(r.job.spec.RequestID, "run lapsed", "worker", w.info.ID, "task", r.key.Task, "attempt", r.key.Attempt)
		s.stats.Lapsed++
		s.over(now, w, r, fleet.EndLapsed)
	}
}

// sortedRuns returns a worker's runs in a fixed order.
func sortedRuns(w *worker) []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareRuns(a.key, b.key) })
	return runs
}

func compareRuns(a, b fleet.RunKey) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Attempt, b.Attempt),
		cmp.Compare(a.Task.Unread, b.Task.Unread))
}

// checkRuns sends due stops and gives up runs that make no progress.
func (s *State) checkRuns(now time.Duration, w *worker) {
	for _, r := range sortedRuns(w) {
		if r.doubt != 0 && r.confirmed == 0 && r.stop.wanted == 0 && now-r.doubt >= doubtTime {
			r.stop.wanted = now
		}
		if r.stop.wanted == 0 && s.hangs(now, r) {
			s.stats.Hangs++
			w.block(now)
			s.note(r.job.spec.RequestID, "run makes no progress", "worker", w.info.ID, "task", r.key.Task, "percent", r.percent, "age", now-r.sent)
			r.stop.wanted = now
		}
		if r.stop.due(now) {
			s.sendStop(now, w, r.key, &r.stop)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(w.foreign), compareRuns) {
		if f := w.foreign[key]; f.stop.due(now) {
			s.sendStop(now, w, key, &f.stop)
		}
	}
}

func (s *State) sendStop(now time.Duration, w *worker, key fleet.RunKey, st *stopping) {
	if w.phase == phaseNone {
		return
	}
	st.sent = now
	s.stats.Stops++
	s.emit(StopRun{Worker: w.info, Order: fleet.StopOrder{Run: key, Fence: w.fence}})
}
