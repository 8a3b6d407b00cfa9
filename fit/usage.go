package fit

import (
	"time"

	"sesameledge.dev/sesameledge/place"
)

// WorkerUsage is the usage of one worker in a report.
type WorkerUsage struct {
	Worker    place.EndpointID
	SampleAge time.Duration // time since the report's sample was taken
	Tasks     []TaskUsage
}

// TaskUsage is the usage of one task in a report.
type TaskUsage struct {
	ID       string // identity of the task on the platform
	Own      bool   // started by this process
	Job      string // identity of the job; set for own tasks only
	Index    int    // of the task in its job; set for own tasks only
	Kind     string
	Speed    float64 // below 1 if the task is throttled
	Declared place.Size
	Used     place.Size
}

// Report updates the load of workers from a usage report, and returns the actions for workers
// under pressure. Tasks of this process that have ended since the report are left out of the load.
func (s *Set) Report(now time.Duration, report []WorkerUsage) Relief {
	s.now = now
	var relief Relief
	for i := range report {
		w := s.workers[report[i].Worker]
		if w == nil {
			continue
		}
		w.othersLoad = load{}
		w.updateShare(&report[i])
		for n := range report[i].Tasks {
			s.recordTaskUsage(w, &report[i].Tasks[n])
		}
		s.relievePressure(w, &report[i], &relief)
	}
	return relief
}

// recordTaskUsage learns from the usage of a task. For an own task that is still open, the usage
// replaces the allocation.
func (s *Set) recordTaskUsage(w *worker, t *TaskUsage) {
	s.recordSize(t)
	used := loadOf(t.Used)
	if !t.Own {
		w.othersLoad.add(used)
		return
	}
	open := s.open[taskKey{t.Job, t.Index}]
	if open == nil || open.worker != w.ID {
		return
	}
	w.removeTask(open)
	open.load, open.reported = used, true
	w.addTask(open)
}
