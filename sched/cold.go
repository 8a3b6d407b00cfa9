package sched

import (
	"math"
	"time"
)

const (
	// initialColdSpeed is the speed of a cold worker, relative to the same worker when warm, that is assumed
	// before any task has shown it.
	initialColdSpeed = 0.5
	// initialColdWeight is the number of samples that initialColdSpeed counts as.
	initialColdWeight = 4
	// maxColdSamples is the number of tasks over which the mean is taken.
	maxColdSamples = 50
	// minColdSpeed bounds the estimate from below, so that cold workers always count for something.
	minColdSpeed = 0.1
	// minColdShare is the share of a task's time on a cold worker from which on the task is a sample.
	minColdShare = 0.5
	// minColdCPUShare is the share of a cell's CPU that has to be missing for Slowdown to count it. While few
	// workers are cold, tasks start on the others.
	minColdCPUShare = 0.2
)

// coldModel estimates for each service how fast its workers are while they are cold, relative to the same
// workers when warm.
type coldModel struct {
	services map[string]*coldSpeed
}

// coldSpeed is the mean of a service, of logarithms.
type coldSpeed struct{ meanLog, samples float64 }

func newColdModel() *coldModel { return &coldModel{services: make(map[string]*coldSpeed)} }

// speed returns the relative speed of a service's cold workers.
func (m *coldModel) speed(service string) float64 {
	if c := m.services[service]; c != nil {
		return math.Exp(c.meanLog)
	}
	return initialColdSpeed
}

// record adds a task that took some time, of which the worker was cold for a part. warm is the predicted
// time of the task on the warm worker.
func (m *coldModel) record(service string, warm, took, cold time.Duration) {
	if cold <= 0 || cold.Seconds() < minColdShare*took.Seconds() {
		return
	}
	sample := float64(warm-(took-cold)) / float64(cold)
	sample = min(max(sample, minColdSpeed), 1)
	c := m.services[service]
	if c == nil {
		c = &coldSpeed{meanLog: math.Log(initialColdSpeed), samples: initialColdWeight}
		m.services[service] = c
	}
	c.samples = min(c.samples+1, maxColdSamples)
	c.meanLog += (math.Log(sample) - c.meanLog) / c.samples
}

// coldLeft returns how much longer the worker stays slow after its start.
func (w *worker) coldLeft(now time.Duration) time.Duration { return max(0, w.info.ColdUntil-now) }

// currentColdSpeed returns the speed that a worker has now, relative to the same worker when warm.
func (s *State) currentColdSpeed(now time.Duration, w *worker) float64 {
	if w.coldLeft(now) == 0 {
		return 1
	}
	return s.cold.speed(w.info.Service)
}

// speedFor returns the mean speed of a worker during a task that starts now and takes the given time on a
// worker of mean speed.
func (s *State) speedFor(now time.Duration, w *worker, d time.Duration) float64 {
	cold := w.coldLeft(now)
	if cold == 0 || d <= 0 {
		return w.speed
	}
	speed := s.cold.speed(w.info.Service)
	warm := d.Seconds() / w.speed      // time of the task on the warm worker
	doneCold := speed * cold.Seconds() // the part of it that is done when the worker is warm
	if warm <= doneCold {
		return w.speed * speed
	}
	return w.speed * warm / (cold.Seconds() + warm - doneCold)
}

// recordColdRun uses a run that was done on a cold worker, and reports whether it was one: its duration then
// tells nothing about the speed of the warm worker.
func (s *State) recordColdRun(w *worker, r *run, took time.Duration) bool {
	cold := min(took, max(r.coldUntil, w.info.ColdUntil)-r.startSentAt)
	if cold <= 0 {
		return false
	}
	if r.coldUntil > r.startSentAt {
		s.cold.record(w.info.Service, time.Duration(float64(r.job.taskDuration)/w.speed), took, cold)
	}
	return true
}

// ColdSpeeds returns the relative speed of the cold workers of the services for which it was learned.
func (s *State) ColdSpeeds() map[string]float64 {
	speeds := make(map[string]float64, len(s.cold.services))
	for service := range s.cold.services {
		speeds[service] = s.cold.speed(service)
	}
	return speeds
}

// Slowdown returns how much longer a task of a duration is expected to run in the cell than it would if all
// workers there were warm. It is 0 unless many of them are cold.
func (l Load) Slowdown(d time.Duration) time.Duration {
	if cold := float64(l.ColdCPU); cold <= 0 || cold < minColdCPUShare*(cold+float64(l.EffectiveCPU)) {
		return 0
	}
	return time.Duration(float64(d) * float64(l.ColdCPU) / float64(max(1, l.EffectiveCPU)))
}
