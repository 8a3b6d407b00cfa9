package fit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// throttleThreshold is the load of a worker as a share of its cores above which tasks are
	// throttled. Up to it, nothing is slowed down.
	throttleThreshold = 1.0
	// restoreThreshold is the share of a worker's cores below which throttled tasks get their
	// speed back. The gap to throttleThreshold keeps tasks from being throttled and restored in
	// turn.
	restoreThreshold = 0.85
	// stopThreshold is the share of a worker's memory from which a task is stopped. The platform
	// kills its largest task when the memory runs out.
	stopThreshold = 0.95
	// stopAfterSamples is how many samples in a row have to reach stopThreshold. A single one may
	// be a peak of short tasks that end by themselves.
	stopAfterSamples = 2
	// overuseRatio is the ratio of used to declared resources above which a task may be throttled
	// or stopped.
	overuseRatio = 1.1
	// minSpeed is the lowest speed of a throttled task.
	minSpeed = 0.1
	// maxSpeedChanges bounds the tasks of one worker that one report throttles or restores.
	maxSpeedChanges = 16
)

// Relief lists the actions for workers under pressure. Each list fits into one message.
type Relief struct {
	Throttle []Throttle
	// Stop lists the tasks to checkpoint and stop.
	Stop []TaskRef
}

// Empty reports whether there are no actions.
func (r *Relief) Empty() bool { return len(r.Throttle) == 0 && len(r.Stop) == 0 }

// TaskRef identifies a task of this process.
type TaskRef struct {
	Job   string
	Index int
}

// Throttle sets the speed of a task; 1 is full speed.
type Throttle struct {
	TaskRef
	Speed float64
}

// pressure is the state of the detection of overload on one worker.
type pressure struct {
	lastSample  time.Duration // time of the newest sample that was used
	lastAction  time.Duration // time of the last action
	fullSamples int           // samples in a row that reached stopThreshold
}

// relievePressure decides on actions for a worker by a report. A report that is older than the
// last action does not show its effect, so at most one action follows each sample, and an action
// whose message was lost is decided again. All hosts see the same report, and each acts on its own
// tasks only.
func (s *Set) relievePressure(w *worker, u *WorkerUsage, r *Relief) {
	p, sampledAt := &w.pressure, s.now-u.SampleAge
	if sampledAt <= p.lastSample || sampledAt < p.lastAction {
		return
	}
	p.lastSample = sampledAt
	tasks := s.openTasks(w, u)
	var used load
	for _, t := range tasks {
		used.add(loadOf(t.Used))
	}
	capacity := loadOf(w.Capacity)
	decidedBefore := len(r.Throttle) + len(r.Stop)
	switch {
	case used.cores > throttleThreshold*capacity.cores:
		r.throttle(tasks, used.cores-throttleThreshold*capacity.cores)
	case used.cores < restoreThreshold*capacity.cores:
		r.restore(tasks, restoreThreshold*capacity.cores-used.cores)
	}
	p.fullSamples++
	if used.memoryMB < stopThreshold*capacity.memoryMB {
		p.fullSamples = 0
	}
	if p.fullSamples >= stopAfterSamples {
		r.stopWorst(tasks)
	}
	if len(r.Throttle)+len(r.Stop) > decidedBefore {
		p.lastAction = s.now
	}
}

// openTasks returns the tasks of a report without this host's tasks that have ended since.
func (s *Set) openTasks(w *worker, u *WorkerUsage) []*TaskUsage {
	var open []*TaskUsage
	for i := range u.Tasks {
		t := &u.Tasks[i]
		if t.Own {
			if task := s.open[taskKey{t.Job, t.Index}]; task == nil || task.worker != w.ID {
				continue
			}
		}
		open = append(open, t)
	}
	return open
}

// throttle slows down own tasks that use more than they declare, so that all such tasks of the
// worker together use fewer cores by reduction. Each gives up the same share of its excess.
// Slowing them down to their declaration made tasks miss their deadline although the worker was
// short of only a few percent of its cores.
func (r *Relief) throttle(tasks []*TaskUsage, reduction float64) {
	totalExcess := 0.0
	for _, t := range tasks {
		totalExcess += excessCores(t)
	}
	if totalExcess <= 0 {
		return
	}
	givenUpShare := min(reduction/totalExcess, 1)
	r.changeSpeeds(tasks, func(t *TaskUsage) (float64, float64) {
		if excessCores(t) <= 0 {
			return 0, 0
		}
		speedFactor := 1 - givenUpShare*excessCores(t)/t.Used.Cores
		return max(t.Speed*speedFactor, minSpeed), excessCores(t)
	})
}

// excessCores returns the cores that a task uses beyond its declaration, or 0 if they are within
// overuseRatio.
func excessCores(t *TaskUsage) float64 {
	declaredCores := declaredLoad(t.Declared).cores
	if t.Used.Cores <= overuseRatio*declaredCores {
		return 0
	}
	return t.Used.Cores - declaredCores
}

// restore gives own tasks their full speed back, those with the lowest speed first, while that
// takes no more than freeCores.
func (r *Relief) restore(tasks []*TaskUsage, freeCores float64) {
	r.changeSpeeds(tasks, func(t *TaskUsage) (float64, float64) {
		if t.Speed >= 1 || t.Speed <= 0 {
			return 0, 0
		}
		addedCores := t.Used.Cores/t.Speed - t.Used.Cores
		if addedCores > freeCores {
			return 0, 0
		}
		freeCores -= addedCores
		return 1, 1 / t.Speed
	})
}

// changeSpeeds sets the speeds of own tasks that choose returns, by descending rank, up to
// maxSpeedChanges. Speed 0 leaves a task as it is.
func (r *Relief) changeSpeeds(tasks []*TaskUsage, choose func(*TaskUsage) (speed, rank float64)) {
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
	for _, c := range changes[:min(len(changes), maxSpeedChanges)] {
		r.Throttle = append(r.Throttle, c.Throttle)
	}
}

// stopWorst stops the task that exceeds its declared memory most. Every host picks the same task,
// and only the host that started it acts, so one task is stopped for each sample.
func (r *Relief) stopWorst(tasks []*TaskUsage) {
	var worst *TaskUsage
	worstExcess := 0.0
	for _, t := range tasks {
		declaredMB := declaredLoad(t.Declared).memoryMB
		excess := float64(t.Used.MemoryMB) - declaredMB
		if float64(t.Used.MemoryMB) <= overuseRatio*declaredMB {
			continue
		}
		if worst == nil || excess > worstExcess || excess == worstExcess && t.ID < worst.ID {
			worst, worstExcess = t, excess
		}
	}
	if worst != nil && worst.Own {
		r.Stop = append(r.Stop, TaskRef{worst.Job, worst.Index})
	}
}
