package fit

import "sesameledge.dev/sesameledge/place"

// load is an amount of resources, reserved or used.
type load struct {
	cores        float64
	memoryMB     float64
	accelerators int
}

// Assumed size of a task that declares none.
const (
	undeclaredCores    = 1
	undeclaredMemoryMB = 256
)

// slack absorbs rounding errors of sums.
const slack = 1e-6

func (l *load) add(o load) {
	l.cores += o.cores
	l.memoryMB += o.memoryMB
	l.accelerators += o.accelerators
}

func (l *load) sub(o load) {
	l.cores = max(l.cores-o.cores, 0)
	l.memoryMB = max(l.memoryMB-o.memoryMB, 0)
	l.accelerators -= o.accelerators
}

func (l load) plus(o load) load {
	l.add(o)
	return l
}

// within reports whether l is at most o in each resource.
func (l load) within(o load) bool {
	return l.cores <= o.cores+slack && l.memoryMB <= o.memoryMB+slack && l.accelerators <= o.accelerators
}

// fraction is the larger of the shares of cores and memory.
func (l load) fraction(of load) float64 {
	f := 0.0
	if of.cores > 0 {
		f = l.cores / of.cores
	}
	if of.memoryMB > 0 {
		f = max(f, l.memoryMB/of.memoryMB)
	}
	return f
}

func capacity(s place.Size) load {
	return load{cores: s.Cores, memoryMB: float64(s.MemoryMB), accelerators: s.Accelerators}
}

// declared is the declared size, or the assumed one where none is declared.
func declared(s place.Size) load {
	l := capacity(s)
	if l.cores <= 0 {
		l.cores = undeclaredCores
	}
	if l.memoryMB <= 0 {
		l.memoryMB = undeclaredMemoryMB
	}
	return l
}

// usable is the part of a worker that tasks may take. Accelerators need no headroom: the
// platform gives a task exactly what it declares.
func (s *Set) usable(w *worker) load {
	l := capacity(w.Capacity)
	l.cores *= 1 - s.opts.CoreHeadroom
	l.memoryMB *= 1 - s.opts.MemoryHeadroom
	return l
}

// need is what is reserved on a worker for a task: the corrected size, but not more than
// the usable part, so that a task whose corrected size exceeds every worker can still run
// on an empty one.
func (s *Set) need(w *worker, task place.Task) load {
	l, most := s.corrected(task), s.usable(w)
	l.cores = min(l.cores, most.cores)
	l.memoryMB = min(l.memoryMB, most.memoryMB)
	return l
}

func (s *Set) corrected(task place.Task) load {
	l := declared(task.Size)
	cores, memory := s.Correction(task.Kind)
	l.cores *= cores
	l.memoryMB *= memory
	return l
}

// fits reports whether a task can be started on a worker now. A task that needs all of
// the usable part may run beside a small load of other hosts, into the headroom.
func (s *Set) fits(w *worker, task place.Task) bool {
	most := capacity(w.Capacity)
	if !declared(task.Size).within(most) {
		return false
	}
	need := s.need(w, task)
	after := need.plus(w.own).plus(w.foreign)
	if !after.within(s.usable(w)) && (w.ownTasks > 0 || !after.within(most)) {
		return false
	}
	return s.shareAllows(w, taskKey{task.Job, task.Index}, need)
}
