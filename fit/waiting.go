package fit

import (
	"time"

	"sesameledge.dev/sesameledge/place"
)

const (
	// reservationDelay is how long a task waits for room before a worker is reserved for it. It is
	// longer than a short task runs, so that most shortages pass by themselves.
	reservationDelay = 200 * time.Millisecond
	// waitExpiry ends the wait of a task that is no longer requested. The dispatcher requests a
	// task at least every 250 ms while its job is open.
	waitExpiry = time.Second
)

// maxWaitingTasks bounds the tasks of a group whose wait is recorded. The dispatcher requests few
// at a time.
const maxWaitingTasks = 16

// waitingTask is a task for which no worker has room. At any time, at most one task of a group has
// a worker reserved for it.
type waitingTask struct {
	key            taskKey
	waitingSince   time.Duration
	lastRequest    time.Duration // when the dispatcher last asked for a worker for it
	reservedWorker *worker       // or nil
}

// recordWait records that a task found no room, and reserves a worker for it once it has waited
// for long. Small tasks would otherwise take every gap.
func (s *Set) recordWait(g *group, task place.Task) {
	key := taskKey{task.Job, task.Index}
	entry := g.waiting[key]
	if entry == nil {
		if len(g.waiting) >= maxWaitingTasks {
			return
		}
		entry = &waitingTask{key: key, waitingSince: s.now}
		g.waiting[key] = entry
	}
	entry.lastRequest = s.now
	if g.reservedTask == nil && s.now-entry.waitingSince >= reservationDelay {
		s.reserveWorker(g, entry, task)
	}
}

// reserveWorker reserves the worker that comes closest to having room for the task.
func (s *Set) reserveWorker(g *group, entry *waitingTask, task place.Task) {
	declared := declaredLoad(task.Size)
	for _, w := range g.workers {
		if w.Leaving || w.health.excluded(s.now) || !declared.within(loadOf(w.Capacity)) {
			continue
		}
		if entry.reservedWorker == nil || s.hasSmallerShortage(w, entry.reservedWorker, task) {
			entry.reservedWorker = w
		}
	}
	if entry.reservedWorker != nil {
		entry.reservedWorker.reservedFor = entry
		g.reservedTask = entry
	}
}

// hasSmallerShortage reports whether less load has to end on a than on b until the task fits.
func (s *Set) hasSmallerShortage(a, b *worker, task place.Task) bool {
	return s.shortage(a, task) < s.shortage(b, task)
}

// shortage ranks how far a worker is from having room for the task; lower is closer. It is the
// load with the task as a fraction of the usable part, plus 1 for each missing accelerator.
func (s *Set) shortage(w *worker, task place.Task) float64 {
	after := s.allocation(w, task).plus(w.ownLoad).plus(w.othersLoad)
	shortage := after.fraction(s.usable(w))
	if missingAccelerators := after.accelerators - w.Capacity.Accelerators; missingAccelerators > 0 {
		shortage += float64(missingAccelerators)
	}
	return shortage
}

// expireWaits removes the tasks that are no longer requested.
func (s *Set) expireWaits(g *group) {
	for key, entry := range g.waiting {
		if s.now-entry.lastRequest > waitExpiry {
			g.endWait(key)
		}
	}
}

// endWait removes a task from the waiting ones, and frees the worker that was reserved for it.
func (g *group) endWait(key taskKey) {
	entry := g.waiting[key]
	if entry == nil {
		return
	}
	delete(g.waiting, key)
	if g.reservedTask != entry {
		return
	}
	g.reservedTask = nil
	if entry.reservedWorker != nil {
		entry.reservedWorker.reservedFor = nil
	}
}
