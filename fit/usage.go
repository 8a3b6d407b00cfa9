package fit

import (
	"time"

	"sesameledge.dev/sesameledge/place"
)

// Usage is one worker in a usage report.
type Usage struct {
	Worker place.EndpointID
	Age    time.Duration // the report shows the worker as it was then
	Tasks  []TaskUsage
}

// TaskUsage is one task in a usage report.
type TaskUsage struct {
	ID       string // platform's identity of the task
	Own      bool   // started by this process
	Job      string // of an own task
	Index    int    // of an own task
	Kind     string
	Speed    float64 // below 1 if the task is throttled
	Declared place.Size
	Used     place.Size
}

// Report takes in a usage report. Tasks of this process that have ended since are left
// out of the load. It returns what to do about workers under pressure.
func (s *Set) Report(now time.Duration, report []Usage) Relief {
	s.now = now
	var relief Relief
	for i := range report {
		w := s.workers[report[i].Worker]
		if w == nil {
			continue
		}
		w.foreign = load{}
		w.noteShare(&report[i])
		for n := range report[i].Tasks {
			s.reportTask(w, &report[i].Tasks[n])
		}
		s.relieve(w, &report[i], &relief)
	}
	return relief
}

func (s *Set) reportTask(w *worker, t *TaskUsage) {
	s.learnSize(t)
	used := capacity(t.Used)
	if !t.Own {
		w.foreign.add(used)
		return
	}
	o := s.open[taskKey{t.Job, t.Index}]
	if o == nil || o.worker != w.ID {
		return
	}
	w.release(o)
	o.load, o.reported = used, true
	w.take(o)
}
