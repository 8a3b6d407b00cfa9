package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// maxQueuedCPUMillis bounds the sum over the waiting tasks, so that it does not overflow: other hosts
// refuse the frames of a host with a negative load.
const maxQueuedCPUMillis = 1 << 60

// Load describes how busy the workers of a service in one cell are. CPU quantities are in
// thousandths of a core.
type Load struct {
	FreeCPU          int64         // unused CPU
	CapacityCPU      int64         // CPU of the commanded workers
	QueuedCPUMillis  int64         // sum over the waiting tasks of needed CPU times predicted duration in ms
	EffectiveCPU     int64         // CPU that tasks can use, weighted by the speeds of the workers
	ColdCPU          int64         // CPU that EffectiveCPU lacks because workers are cold
	MeanTaskDuration time.Duration // mean predicted duration of the running tasks, weighted by their CPU
	Overloaded       bool          // a good part of the work offered lately was refused for overload
}

// TakeWorker adds tasks that need so much CPU in total and that have been assigned since the load was
// measured.
func (l *Load) AddAssigned(need int64) {
	used := min(l.FreeCPU, need)
	l.FreeCPU -= used
	l.QueuedCPUMillis += (need - used) * max(1, l.MeanTaskDuration.Milliseconds())
}

// PredictWait predicts how long a job that needs so much CPU in total waits until all its tasks have
// started.
func (l Load) PredictWait(need int64) time.Duration {
	queued := time.Duration(l.QueuedCPUMillis/max(1, l.EffectiveCPU)) * time.Millisecond
	return queued + l.shortage(need)
}

// shortage predicts how long it takes until running tasks have freed enough CPU for tasks that need
// so much in total. It leaves out the queue.
func (l Load) shortage(need int64) time.Duration {
	if need <= l.FreeCPU {
		return 0
	}
	return time.Duration(float64(l.MeanTaskDuration) * float64(need-l.FreeCPU) / float64(max(1, l.EffectiveCPU)))
}

// Loads returns the load of a cell's workers by service.
func (s *State) Loads(cell fleet.Cell) map[string]Load {
	loads := make(map[string]Load)
	rates := make(map[string]float64)
	running := make(map[string]int64) // CPU of the running tasks, times their predicted durations in µs
	busyCPU := make(map[string]int64) // CPU of the running tasks
	for _, w := range s.sortedWorkers {
		if !w.countsAsCapacity() || w.cell != cell {
			continue
		}
		l := loads[w.info.Service]
		running[w.info.Service] += w.runningWork
		busyCPU[w.info.Service] += w.used.CPU
		l.CapacityCPU += w.info.Capacity.CPU
		cold := s.currentColdSpeed(s.lastStep, w)
		l.FreeCPU += int64(float64(max(0, w.freeCapacity().CPU)) * cold) // a cold worker counts by what it can do
		rate := float64(w.info.Capacity.CPU) * packingEfficiency * w.speed
		l.ColdCPU += int64(rate * (1 - cold))
		loads[w.info.Service] = l
		rates[w.info.Service] += rate * cold
	}
	waitingBytes := 0
	for _, j := range s.queue {
		if j.suspicion.parked() {
			continue
		}
		waitingBytes += j.waitingBytes()
		l, ok := loads[j.route.Service]
		if !ok || j.cell != cell {
			continue
		}
		l.QueuedCPUMillis = min(l.QueuedCPUMillis+int64(len(j.waiting))*j.spec.Need.CPU*j.taskDuration.Milliseconds(), maxQueuedCPUMillis)
		loads[j.route.Service] = l
	}
	linkWait := s.link.Wait(s.lastStep, waitingBytes)
	for service, l := range loads {
		l.EffectiveCPU = int64(rates[service])
		l.Overloaded = s.shares.overloaded(service)
		l.QueuedCPUMillis = max(l.QueuedCPUMillis, linkWait.Milliseconds()*l.EffectiveCPU)
		if busy := busyCPU[service]; busy > 0 {
			l.MeanTaskDuration = time.Duration(running[service]/busy) * time.Microsecond
		}
		loads[service] = l
	}
	return loads
}
