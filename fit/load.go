package fit

import "sesameledge.dev/sesameledge/place"

// load is an amount of resources, allocated or used.
type load struct {
	cores        float64
	memoryMB     float64
	accelerators int
}

// The size assumed for a task that declares none.
const (
	defaultTaskCores    = 1
	defaultTaskMemoryMB = 256
)

// roundingTolerance absorbs rounding errors of sums, in cores and in MB.
const roundingTolerance = 1e-6

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
	return l.cores <= o.cores+roundingTolerance && l.memoryMB <= o.memoryMB+roundingTolerance && l.accelerators <= o.accelerators
}

// fraction returns the larger of the shares of cores and memory that l is of a total.
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

// loadOf returns a size as a load.
func loadOf(s place.Size) load {
	return load{cores: s.Cores, memoryMB: float64(s.MemoryMB), accelerators: s.Accelerators}
}

// declaredLoad returns the declared size of a task, with the assumed size for resources that are
// not declared.
func declaredLoad(s place.Size) load {
	l := loadOf(s)
	if l.cores <= 0 {
		l.cores = defaultTaskCores
	}
	if l.memoryMB <= 0 {
		l.memoryMB = defaultTaskMemoryMB
	}
	return l
}

// usable returns the part of a worker that tasks may take: its capacity less the headroom.
// Accelerators need no headroom, since the platform gives a task exactly as many as it declares.
func (s *Set) usable(w *worker) load {
	usable := loadOf(w.Capacity)
	usable.cores *= 1 - s.opts.CoreHeadroom
	usable.memoryMB *= 1 - s.opts.MemoryHeadroom
	return usable
}

// allocation returns what is allocated to a task on a worker: the corrected size, but not more
// than the usable part, so that a task whose corrected size exceeds every worker can still run on
// an empty one.
func (s *Set) allocation(w *worker, task place.Task) load {
	allocation, usable := s.corrected(task), s.usable(w)
	allocation.cores = min(allocation.cores, usable.cores)
	allocation.memoryMB = min(allocation.memoryMB, usable.memoryMB)
	return allocation
}

// corrected returns the declared size times the learned correction of the kind.
func (s *Set) corrected(task place.Task) load {
	corrected := declaredLoad(task.Size)
	cores, memory := s.Correction(task.Kind)
	corrected.cores *= cores
	corrected.memoryMB *= memory
	return corrected
}

// fits reports whether a worker has room for the task now. A task that needs all of the usable
// part may run beside a small load of other hosts and use the headroom.
func (s *Set) fits(w *worker, task place.Task) bool {
	capacity := loadOf(w.Capacity)
	if !declaredLoad(task.Size).within(capacity) {
		return false
	}
	allocation := s.allocation(w, task)
	loadAfter := allocation.plus(w.ownLoad).plus(w.othersLoad)
	if !loadAfter.within(s.usable(w)) && (w.ownTasks > 0 || !loadAfter.within(capacity)) {
		return false
	}
	return s.shareAllows(w, taskKey{task.Job, task.Index}, allocation)
}
