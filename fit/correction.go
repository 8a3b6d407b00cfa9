package fit

import "math"

// sizeCorrection holds the learned ratios of used to declared resources of a kind's tasks.
type sizeCorrection struct {
	cores  ratioEstimate
	memory ratioEstimate
}

// ratioEstimate is a moving mean and mean absolute deviation of the ratio of used to declared
// size. Each report that shows a task counts it again, so that long tasks have more weight, as
// they have in the load.
type ratioEstimate struct {
	samples          int
	mean, deviation  float64
	marginDeviations float64 // deviations added to the mean
}

const (
	// coreMarginDeviations is small, since the errors of many tasks cancel out and a shortage of
	// cores only slows tasks down.
	coreMarginDeviations = 0.25
	// memoryMarginDeviations is larger, since the platform kills a task when a worker's memory
	// runs out.
	memoryMarginDeviations = 1
	// priorSamples is the weight, in samples, of the assumption about an unknown kind.
	priorSamples = 4
	// priorCores and priorMemory, with their deviations, are the ratios assumed for a kind of
	// which nothing is known. With the margin, memory is taken as 4 times the declared amount,
	// since this assumption decides how many tasks start on a worker before its first report:
	// with 1.5 times, 14 of 167 jobs lost a task to a worker without memory, all in the first
	// seconds.
	priorCores, priorCoresDeviation   = 1, 0.5
	priorMemory, priorMemoryDeviation = 2, 2
	// maxRatioSamples is the number of samples over which a ratio is averaged.
	maxRatioSamples = 200
	// maxRatio bounds each sample and the correction, and 1/maxRatio bounds them from below.
	maxRatio = 8.0
	// maxKinds bounds the number of kinds with a learned correction.
	maxKinds = 1000
)

// correctionFor returns the learned correction of a kind, or the assumed one if nothing is known
// about it.
func (s *Set) correctionFor(name string) *sizeCorrection {
	if c := s.kinds[name]; c != nil {
		return c
	}
	return newCorrection()
}

func newCorrection() *sizeCorrection {
	return &sizeCorrection{
		cores:  ratioEstimate{mean: priorCores, deviation: priorCoresDeviation, marginDeviations: coreMarginDeviations},
		memory: ratioEstimate{mean: priorMemory, deviation: priorMemoryDeviation, marginDeviations: memoryMarginDeviations},
	}
}

// observe updates the estimate with one ratio of used to declared size.
func (e *ratioEstimate) observe(ratio float64) {
	ratio = min(max(ratio, 1/maxRatio), maxRatio)
	e.samples = min(e.samples+1, maxRatioSamples)
	weight := 1 / float64(e.samples+priorSamples)
	e.deviation += weight * (math.Abs(ratio-e.mean) - e.deviation)
	e.mean += weight * (ratio - e.mean)
}

// factor returns the factor by which a declared size is multiplied.
func (e *ratioEstimate) factor() float64 {
	return min(max(e.mean+e.marginDeviations*e.deviation, 1/maxRatio), maxRatio)
}

// Correction returns the factors by which the declared cores and memory of a kind's tasks are
// multiplied.
func (s *Set) Correction(kind string) (cores, memory float64) {
	c := s.correctionFor(kind)
	return c.cores.factor(), c.memory.factor()
}

// recordSize updates the correction of the task's kind with its reported usage. The cores of a
// throttled task are left out.
func (s *Set) recordSize(t *TaskUsage) {
	c := s.kinds[t.Kind]
	if c == nil {
		if len(s.kinds) >= maxKinds {
			return
		}
		c = newCorrection()
		s.kinds[t.Kind] = c
	}
	declaredSize := declaredLoad(t.Declared)
	if t.Speed >= 1 {
		c.cores.observe(t.Used.Cores / declaredSize.cores)
	}
	c.memory.observe(float64(t.Used.MemoryMB) / declaredSize.memoryMB)
}
