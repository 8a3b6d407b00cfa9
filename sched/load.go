package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// Load describes how busy the workers of a service in one cell are. Processors are in
// thousandths of a core.
type Load struct {
	Free     int64         // unused
	Capacity int64         // of the commanded workers
	Queued   int64         // processors that waiting tasks need, times ms
	Rate     int64         // processors that the workers give, with their speeds
	Task     time.Duration // mean duration of a running task
}

// Take notes work that has been assigned and is not in the figures yet.
func (l *Load) Take(need int64) {
	used := min(l.Free, need)
	l.Free -= used
	l.Queued += (need - used) * max(1, l.Task.Milliseconds())
}

// Wait returns how long a job that needs so many processors waits until all its tasks have
// begun.
func (l Load) Wait(need int64) time.Duration {
	queued := time.Duration(l.Queued/max(1, l.Rate)) * time.Millisecond
	return queued + l.shortage(need)
}

// shortage returns how long it takes until tasks that need so many processors have begun.
func (l Load) shortage(need int64) time.Duration {
	if need <= l.Free {
		return 0
	}
	return time.Duration(float64(l.Task) * float64(need-l.Free) / float64(max(1, l.Rate)))
}

// Loads returns the load of a cell's workers by service.
func (s *State) Loads(cell fleet.Cell) map[string]Load {
	loads := make(map[string]Load)
	rates := make(map[string]float64)
	running := make(map[string]int64) // processors of the running tasks, times their durations in µs
	for _, w := range s.order {
		if !w.counts() || w.cell != cell {
			continue
		}
		l := loads[w.info.Service]
		free := w.info.Capacity.CPU
		for _, r := range w.runs {
			free -= r.need.CPU
			running[w.info.Service] += r.need.CPU * r.predicted.Microseconds()
		}
		l.Capacity += w.info.Capacity.CPU
		l.Free += max(0, free)
		loads[w.info.Service] = l
		rates[w.info.Service] += float64(w.info.Capacity.CPU) * packing * w.speed
	}
	for _, j := range s.queue {
		l, ok := loads[j.route.Service]
		if !ok || j.cell != cell {
			continue
		}
		l.Queued += int64(len(j.waiting)) * j.spec.Need.CPU * j.base.Milliseconds()
		loads[j.route.Service] = l
	}
	for service, l := range loads {
		l.Rate = int64(rates[service])
		if busy := l.Capacity - l.Free; busy > 0 {
			l.Task = time.Duration(running[service]/busy) * time.Microsecond
		}
		loads[service] = l
	}
	return loads
}
