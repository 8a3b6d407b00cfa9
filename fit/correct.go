package fit

import "math"

// correction is what reports say about the sizes of a kind's tasks: used to declared.
type correction struct {
	cores  estimate
	memory estimate
}

// estimate is a moving mean and mean absolute deviation of a ratio. Each report that
// shows a task counts it again, so that long tasks have more weight, as they have in the
// load.
type estimate struct {
	n         int
	mean, dev float64
	margin    float64 // deviations added to the mean
}

const (
	// coreMargin is small, since the errors of many tasks cancel out and a shortage of
	// cores only slows tasks down.
	coreMargin = 0.25
	// memoryMargin is larger, since a shortage of memory kills.
	memoryMargin = 0.5
	// priorWeight is how many observations the assumption of a true declaration is worth.
	priorWeight = 4
	// memoryLength is how many observations count.
	memoryLength = 200
	// maxRatio bounds one observation and the correction.
	maxRatio = 8.0
	// maxKinds bounds the kinds remembered.
	maxKinds = 1000
)

func newCorrection() *correction {
	return &correction{
		cores:  estimate{mean: 1, margin: coreMargin},
		memory: estimate{mean: 1, margin: memoryMargin},
	}
}

// observe takes in one ratio of used to declared.
func (e *estimate) observe(ratio float64) {
	ratio = min(max(ratio, 1/maxRatio), maxRatio)
	e.n = min(e.n+1, memoryLength)
	step := 1 / float64(e.n+priorWeight)
	e.dev += step * (math.Abs(ratio-e.mean) - e.dev)
	e.mean += step * (ratio - e.mean)
}

// factor is what a declared size is multiplied with.
func (e *estimate) factor() float64 {
	return min(max(e.mean+e.margin*e.dev, 1/maxRatio), maxRatio)
}

// Correction returns the factors that are applied to the declared cores and memory of a
// kind; 1 if nothing is known.
func (s *Set) Correction(kind string) (cores, memory float64) {
	c := s.kinds[kind]
	if c == nil {
		return 1, 1
	}
	return c.cores.factor(), c.memory.factor()
}

func (s *Set) learnSize(t *TaskUsage) {
	c := s.kinds[t.Kind]
	if c == nil {
		if len(s.kinds) >= maxKinds {
			return
		}
		c = newCorrection()
		s.kinds[t.Kind] = c
	}
	d := declared(t.Declared)
	if t.Speed >= 1 {
		c.cores.observe(t.Used.Cores / d.cores)
	}
	c.memory.observe(float64(t.Used.MemoryMB) / d.memoryMB)
}
