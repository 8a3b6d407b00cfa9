package fit

import (
	"time"

	"sesameledge.dev/sesameledge/place"
)

const (
	// holdAfter is how long a task waits for room before a worker is kept free for it:
	// longer than a short task runs, so that most shortages pass by themselves.
	holdAfter = 200 * time.Millisecond
	// holdExpiry ends the wait of a task that is no longer asked for. The dispatcher asks
	// at least every 250 ms while the task's job is open.
	holdExpiry = time.Second
)

// maxWaiting bounds the tasks of a group whose wait is noted; the dispatcher asks for few
// at a time.
const maxWaiting = 16

// hold is the wait of one task for which no worker has room. One task of a group at a
// time has a worker kept free for it.
type hold struct {
	key    taskKey
	since  time.Duration
	asked  time.Duration
	worker *worker // kept free, or nil
}

// wait notes that a task found no room, and keeps a worker free for one that waits for
// long, since small tasks would otherwise take every gap.
func (s *Set) wait(g *group, task place.Task) {
	key := taskKey{task.Job, task.Index}
	h := g.waiting[key]
	if h == nil {
		if len(g.waiting) >= maxWaiting {
			return
		}
		h = &hold{key: key, since: s.now}
		g.waiting[key] = h
	}
	h.asked = s.now
	if g.holder == nil && s.now-h.since >= holdAfter {
		s.assign(g, h, task)
	}
}

// assign keeps the worker free that is closest to having room.
func (s *Set) assign(g *group, h *hold, task place.Task) {
	want := declared(task.Size)
	for _, w := range g.workers {
		if w.Leaving || w.health.excluded(s.now) || !want.within(capacity(w.Capacity)) {
			continue
		}
		if h.worker == nil || s.closer(w, h.worker, task) {
			h.worker = w
		}
	}
	if h.worker != nil {
		h.worker.heldFor = h
		g.holder = h
	}
}

// closer reports whether a has less to clear than b for the task to fit.
func (s *Set) closer(a, b *worker, task place.Task) bool {
	return s.missing(a, task) < s.missing(b, task)
}

func (s *Set) missing(w *worker, task place.Task) float64 {
	after := s.need(w, task).plus(w.own).plus(w.foreign)
	over := after.fraction(s.usable(w))
	if short := after.accelerators - w.Capacity.Accelerators; short > 0 {
		over += float64(short)
	}
	return over
}

// expireWaits drops the waits of tasks that are no longer asked for.
func (s *Set) expireWaits(g *group) {
	for key, h := range g.waiting {
		if s.now-h.asked > holdExpiry {
			g.endWait(key)
		}
	}
}

// endWait drops the wait of a task, and frees the worker that was kept for it.
func (g *group) endWait(key taskKey) {
	h := g.waiting[key]
	if h == nil {
		return
	}
	delete(g.waiting, key)
	if g.holder != h {
		return
	}
	g.holder = nil
	if h.worker != nil {
		h.worker.heldFor = nil
	}
}
