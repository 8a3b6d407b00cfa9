package sched

import (
	"math"
	"time"
)

// model predicts how long tasks take. Callers' estimates are off by a factor that differs
// from job to job, so they are weighed against what the route's tasks took so far. It
// answers load whose declared durations are wrong.
type model struct {
	routes map[string]*routeModel
}

// routeModel holds means of logarithms, since durations spread by factors.
type routeModel struct {
	base  float64 // of the duration on a worker of mean speed, in seconds
	ratio float64 // of that duration over the caller's estimate
	seen  float64 // number of tasks, up to modelMemory
}

const (
	// modelMemory is the number of tasks over which the model averages.
	modelMemory = 200
	// estimateWeight is the weight of a caller's estimate against the route's mean.
	estimateWeight = 0.5
	// unknownDuration is assumed of a task before anything is known.
	unknownDuration = 200 * time.Millisecond
	// speedGain is the weight of one task in the estimate of a worker's speed.
	speedGain = 0.1
	// speedMin and speedMax bound the estimate of a worker's speed.
	speedMin, speedMax = 0.1, 4
)

func newModel() *model {
	return &model{routes: make(map[string]*routeModel)}
}

// predict returns the expected duration of a task on a worker of mean speed.
func (m *model) predict(route string, estimate time.Duration) time.Duration {
	r := m.routes[route]
	switch {
	case r == nil && estimate <= 0:
		return unknownDuration
	case r == nil:
		return estimate
	case estimate <= 0:
		return seconds(math.Exp(r.base))
	}
	told := math.Log(estimate.Seconds()) + r.ratio
	return seconds(math.Exp(estimateWeight*told + (1-estimateWeight)*r.base))
}

// learn takes the duration of a task that a worker of a known speed has done.
func (m *model) learn(route string, estimate, took time.Duration, speed float64) {
	base := math.Log(took.Seconds() * speed)
	r := m.routes[route]
	if r == nil {
		r = &routeModel{base: base}
		if estimate > 0 {
			r.ratio = base - math.Log(estimate.Seconds())
		}
		m.routes[route] = r
	}
	r.seen = min(r.seen+1, modelMemory)
	r.base += (base - r.base) / r.seen
	if estimate > 0 {
		r.ratio += (base - math.Log(estimate.Seconds()) - r.ratio) / r.seen
	}
}

// learn notes how long a run took, for its route and its worker.
func (s *State) learn(now time.Duration, w *worker, r *run) {
	took := now - r.sent
	if took <= 0 {
		return
	}
	w.failures = 0
	j := r.job
	s.model.learn(j.route.Name, j.spec.Estimate, took, w.speed)
	seen := math.Log(j.base.Seconds() / took.Seconds())
	logSpeed := math.Log(w.speed)
	logSpeed += speedGain * (seen - logSpeed)
	w.speed = min(max(math.Exp(logSpeed), speedMin), speedMax)
}

// hangs reports whether a run has stood still for longer than its kind ever takes.
func (s *State) hangs(now time.Duration, r *run) bool {
	if r.confirmed == 0 {
		return false
	}
	limit := time.Duration(hangFactor*float64(r.predicted)) + hangTime
	return now-r.confirmed > limit && now-max(r.percentAt, r.confirmed) > hangTime
}

const (
	// hangFactor is the multiple of a task's predicted duration after which a lack of
	// progress counts as a hang.
	hangFactor = 1.5
	// hangTime is the time without progress that counts as a hang. It spans two reports.
	hangTime = 600 * time.Millisecond
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
