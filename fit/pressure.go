package fit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// throttleAt is the wanted share of a worker's cores above which tasks are throttled.
	// Up to it, nothing is slowed down.
	throttleAt = 1.0
	// restoreAt is the share up to which throttled tasks get their speed back. The gap to
	// throttleAt keeps tasks from being throttled and restored in turn.
	restoreAt = 0.85
	// stopAt is the share of a worker's memory at which a task is stopped. The platform
	// kills its largest task when the memory runs out.
	stopAt = 0.95
	// stopAfter is how many samples in a row have to show that; one may be a peak of
	// short tasks that end by themselves.
	stopAfter = 2
	// exceeds is the use relative to the declaration above which a task is at fault.
	exceeds = 1.1
	// minSpeed bounds the slow-down of a throttled task.
	minSpeed = 0.1
	// maxThrottled bounds the tasks of one worker that one report throttles or restores.
	maxThrottled = 16
)

// Relief is what to do about workers under pressure. Each part fits into one message.
type Relief struct {
	Throttle []Throttle
	// Stop lists tasks to be checkpointed and stopped.
	Stop []TaskRef
}

// Empty reports whether there is nothing to do.
func (r *Relief) Empty() bool { return len(r.Throttle) == 0 && len(r.Stop) == 0 }

// TaskRef names a task of this process.
type TaskRef struct {
	Job   string
	Index int
}

// Throttle sets the speed of a task; 1 is normal.
type Throttle struct {
	TaskRef
	Speed float64
}

// pressure is what was done about a worker's load.
type pressure struct {
	seen  time.Duration // time of the newest sample that was judged
	acted time.Duration // time of the last action
	full  int           // samples in a row with the memory used up
}

// relieve judges a worker by a report. A report that is older than the last action does
// not show its effect, so at most one action follows each sample, and one whose message
// was lost is decided again. All hosts see the same report, and each acts on its own
// tasks only.
func (s *Set) relieve(w *worker, u *Usage, r *Relief) {
	p, sampled := &w.pressure, s.now-u.Age
	if sampled <= p.seen || sampled < p.acted {
		return
	}
	p.seen = sampled
	tasks := s.present(w, u)
	var used load
	for _, t := range tasks {
		used.add(capacity(t.Used))
	}
	most := capacity(w.Capacity)
	before := len(r.Throttle) + len(r.Stop)
	switch {
	case used.cores > throttleAt*most.cores:
		r.throttle(tasks, used.cores-throttleAt*most.cores)
	case used.cores < restoreAt*most.cores:
		r.restore(tasks, restoreAt*most.cores-used.cores)
	}
	p.full++
	if used.memoryMB < stopAt*most.memoryMB {
		p.full = 0
	}
	if p.full >= stopAfter {
		r.stop(tasks)
	}
	if len(r.Throttle)+len(r.Stop) > before {
		p.acted = s.now
	}
}

// present returns the tasks of a report without the own ones that have ended since.
func (s *Set) present(w *worker, u *Usage) []*TaskUsage {
	var out []*TaskUsage
	for i := range u.Tasks {
		t := &u.Tasks[i]
		if t.Own {
			if o := s.open[taskKey{t.Job, t.Index}]; o == nil || o.worker != w.ID {
				continue
			}
		}
		out = append(out, t)
	}
	return out
}

// throttle slows down own tasks that use more than they declare, so that all such tasks
// of the worker together use fewer cores by cut. Each gives up the same part of its
// excess: slowing them down to their declaration made tasks miss their deadline although
// the worker was short of a few percent of its cores.
func (r *Relief) throttle(tasks []*TaskUsage, cut float64) {
	total := 0.0
	for _, t := range tasks {
		total += excess(t)
	}
	if total <= 0 {
		return
	}
	part := min(cut/total, 1)
	r.adjust(tasks, func(t *TaskUsage) (float64, float64) {
		if excess(t) <= 0 {
			return 0, 0
		}
		left := 1 - part*excess(t)/t.Used.Cores
		return max(t.Speed*left, minSpeed), excess(t)
	})
}

// excess is the cores that a task at fault uses beyond its declaration.
func excess(t *TaskUsage) float64 {
	d := declared(t.Declared).cores
	if t.Used.Cores <= exceeds*d {
		return 0
	}
	return t.Used.Cores - d
}

// restore gives own tasks their full speed back, the slowest first, while that takes no
// more than the room.
func (r *Relief) restore(tasks []*TaskUsage, room float64) {
	r.adjust(tasks, func(t *TaskUsage) (float64, float64) {
		if t.Speed >= 1 || t.Speed <= 0 {
			return 0, 0
		}
		more := t.Used.Cores/t.Speed - t.Used.Cores
		if more > room {
			return 0, 0
		}
		room -= more
		return 1, 1 / t.Speed
	})
}

// adjust sets the speeds that choose returns, by descending rank; speed 0 leaves a task
// as it is.
func (r *Relief) adjust(tasks []*TaskUsage, choose func(*TaskUsage) (speed, rank float64)) {
	type change struct {
		Throttle
		rank float64
	}
	var changes []change
	for _, t := range tasks {
		if !t.Own {
			continue
		}
		if speed, rank := choose(t); speed > 0 {
			changes = append(changes, change{Throttle{TaskRef{t.Job, t.Index}, speed}, rank})
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(b.rank, a.rank) })
	for _, c := range changes[:min(len(changes), maxThrottled)] {
		r.Throttle = append(r.Throttle, c.Throttle)
	}
}

// stop picks the task that exceeds its declared memory most. Every host picks the same
// one, and only its owner acts, so one task is stopped for a sample.
func (r *Relief) stop(tasks []*TaskUsage) {
	var worst *TaskUsage
	most := 0.0
	for _, t := range tasks {
		declaredMB := declared(t.Declared).memoryMB
		over := float64(t.Used.MemoryMB) - declaredMB
		if float64(t.Used.MemoryMB) <= exceeds*declaredMB {
			continue
		}
		if worst == nil || over > most || over == most && t.ID < worst.ID {
			worst, most = t, over
		}
	}
	if worst != nil && worst.Own {
		r.Stop = append(r.Stop, TaskRef{worst.Job, worst.Index})
	}
}
