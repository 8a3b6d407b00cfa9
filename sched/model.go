package sched

import (
	"math"
	"time"
)

// durationModel predicts how long tasks take, also where the declared durations are wrong. The
// error of callers' estimates is a factor that differs from job to job, so the prediction is a
// weighted mean of the estimate and of the durations that the route's tasks took so far.
type durationModel struct {
	routes map[string]*routeDurations
}

// routeDurations holds means of logarithms, because durations vary by factors.
type routeDurations struct {
	meanLogSeconds float64 // of the duration in seconds on a worker of mean speed
	meanLogRatio   float64 // of that duration divided by the caller's estimate
	samples        float64 // number of tasks, up to maxSamples
}

const (
	// maxSamples is the number of tasks over which means are taken.
	maxSamples = 200
	// estimateWeight is the weight of a caller's estimate; the rest is the weight of the route's mean.
	estimateWeight = 0.5
	// defaultDuration is predicted for a task without an estimate on a route without samples.
	defaultDuration = 200 * time.Millisecond
	// speedSampleWeight is the weight of one task in the estimate of a worker's speed.
	speedSampleWeight = 0.1
	// minSpeed and maxSpeed bound the estimate of a worker's speed.
	minSpeed, maxSpeed = 0.1, 4
)

func newDurationModel() *durationModel {
	return &durationModel{routes: make(map[string]*routeDurations)}
}

// predict returns the expected duration of a task on a worker of mean speed.
func (m *durationModel) predict(route string, estimate time.Duration) time.Duration {
	r := m.routes[route]
	switch {
	case r == nil && estimate <= 0:
		return defaultDuration
	case r == nil:
		return estimate
	case estimate <= 0:
		return seconds(math.Exp(r.meanLogSeconds))
	}
	fromEstimate := math.Log(estimate.Seconds()) + r.meanLogRatio
	return seconds(math.Exp(estimateWeight*fromEstimate + (1-estimateWeight)*r.meanLogSeconds))
}

// record adds the duration of a task that a worker of the given speed has done.
func (m *durationModel) record(route string, estimate, took time.Duration, speed float64) {
	logSeconds := math.Log(took.Seconds() * speed)
	r := m.routes[route]
	if r == nil {
		r = &routeDurations{meanLogSeconds: logSeconds}
		if estimate > 0 {
			r.meanLogRatio = logSeconds - math.Log(estimate.Seconds())
		}
		m.routes[route] = r
	}
	r.samples = min(r.samples+1, maxSamples)
	r.meanLogSeconds += (logSeconds - r.meanLogSeconds) / r.samples
	if estimate > 0 {
		r.meanLogRatio += (logSeconds - math.Log(estimate.Seconds()) - r.meanLogRatio) / r.samples
	}
}

// isRemote reports whether a worker is on another rack than the data of the job.
func (j *job) isRemote(w *worker) bool { return j.spec.Rack != "" && w.info.Rack != j.spec.Rack }

// speedOf returns the speed of a worker for a task of the job that starts now.
func (s *State) speedOf(now time.Duration, w *worker, j *job) float64 {
	speed := s.speedFor(now, w, j.taskDuration)
	if j.isRemote(w) {
		speed /= s.policy.RemotePenalty
	}
	return speed
}

// recordDuration updates the estimates for the route and the worker of a run that has ended done.
func (s *State) recordDuration(now time.Duration, w *worker, r *run) {
	took := now - r.startSentAt
	if took <= 0 {
		return
	}
	w.consecutiveFailures = 0
	if s.recordColdRun(w, r, took) {
		return
	}
	j := r.job
	if j.isRemote(w) {
		// Otherwise a crowd on one rack would make all workers of the others look slow.
		took = time.Duration(float64(took) / s.policy.RemotePenalty)
	}
	s.durations.record(j.route.Name, j.spec.Estimate, took, w.speed)
	logSpeedSample := math.Log(j.taskDuration.Seconds() / took.Seconds())
	logSpeed := math.Log(w.speed)
	logSpeed += speedSampleWeight * (logSpeedSample - logSpeed)
	w.speed = min(max(math.Exp(logSpeed), minSpeed), maxSpeed)
}

// isHanging reports whether a run has made no progress for hangTimeout and has taken longer than
// hangFactor times its predicted duration plus hangTimeout.
func (s *State) isHanging(now time.Duration, r *run) bool {
	if r.confirmedAt == 0 {
		return false
	}
	limit := time.Duration(hangFactor*float64(r.predicted)) + hangTimeout
	return now-r.confirmedAt > limit && now-max(r.percentRoseAt, r.confirmedAt) > hangTimeout
}

const (
	// hangFactor is the multiple of a task's predicted duration after which missing progress counts as
	// a hang.
	hangFactor = 1.5
	// hangTimeout is the time without progress that counts as a hang. It spans two progress reports.
	hangTimeout = 600 * time.Millisecond
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
