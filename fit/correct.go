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
	memoryMargin = 1
	// priorWeight is how many observations the assumption about an unknown kind is worth.
	priorWeight = 4
	// priorCores and priorMemory are assumed for a kind of which nothing is known. Memory
	// is taken as 4 times the declared one, because all tasks that start before the first
	// report are kept on workers by it: with 1.5 times, 14 of 167 jobs lost a task to a
	// worker without memory, all in the first seconds.
	priorCores, priorCoresDeviation   = 1, 0.5
	priorMemory, priorMemoryDeviation = 2, 2
	// memoryLength is how many observations count.
	memoryLength = 200
	// maxRatio bounds one observation and the correction.
	maxRatio = 8.0
	// maxKinds bounds the kinds remembered.
	maxKinds = 1000
)

// kind returns what is known about a kind.
func (s *Set) kind(name string) *correction {
	if c := s.kinds[name]; c != nil {
		return c
	}
	return newCorrection()
}

func newCorrection() *correction {
	return &correction{
		cores:  estimate{mean: priorCores, dev: priorCoresDeviation, margin: coreMargin},
		memory: estimate{mean: priorMemory, dev: priorMemoryDeviation, margin: memoryMargin},
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
// kind.
func (s *Set) Correction(kind string) (cores, memory float64) {
	c := s.kind(kind)
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
