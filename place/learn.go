package place

import (
	"math"
	"slices"
	"time"
)

const (
	// maxWindowSamples is how many run times of an endpoint and kind are kept. The median of 31
	// has a standard error of about a fifth of the spread of single run times.
	maxWindowSamples = 31
	// recentSamples is how many of the latest run times are compared with the older ones to detect
	// a change of speed. It is also the number of run times that it takes to judge declared run
	// times.
	recentSamples = 8
	// minLogSpeedChange is the least change of ln(speed) that discards older run times.
	minLogSpeedChange = 0.35
	// maxSampleAge bounds the age of a run time.
	maxSampleAge = 60 * time.Second
	// allKindsWeight is the weight of the endpoint's speed over all kinds in its speed for one
	// kind, in samples of that kind.
	allKindsWeight = 8
	// defaultRunTime is assumed for a kind of which no run time is known.
	defaultRunTime = 200 * time.Millisecond
)

// deviationWindow holds the latest deviations of an endpoint's run times from the typical run
// times of their kinds, as logarithms. Its median is robust against single stragglers.
type deviationWindow struct {
	deviations []float64
	times      []time.Duration
	median     float64
}

// add records a deviation, discards those that are too many, too old, or from before a change of
// speed, and updates the median.
func (w *deviationWindow) add(now time.Duration, deviation float64) {
	w.deviations = append(w.deviations, deviation)
	w.times = append(w.times, now)
	drop := max(0, len(w.deviations)-maxWindowSamples)
	for drop < len(w.deviations)-1 && now-w.times[drop] > maxSampleAge {
		drop++
	}
	w.discardOldest(drop)
	if older := len(w.deviations) - recentSamples; older >= recentSamples && w.speedChanged(older) {
		w.discardOldest(older)
	}
	w.median = median(w.deviations)
}

func (w *deviationWindow) discardOldest(n int) {
	w.deviations = slices.Delete(w.deviations, 0, n)
	w.times = slices.Delete(w.times, 0, n)
}

// speedChanged reports whether the deviations after the first olderCount differ from those by more
// than chance explains.
func (w *deviationWindow) speedChanged(olderCount int) bool {
	older, recent := w.deviations[:olderCount], w.deviations[olderCount:]
	center := median(older)
	distances := make([]float64, len(older))
	for i, deviation := range older {
		distances[i] = math.Abs(deviation - center)
	}
	// Two standard errors of the median of recentSamples values. The factor 1.48 turns a median
	// deviation into a standard deviation, and 1.25 is the standard error of a median relative to
	// that of a mean.
	noise := 2 * 1.48 * 1.25 * median(distances) / math.Sqrt(recentSamples)
	return math.Abs(median(recent)-center) > minLogSpeedChange+noise
}

// shrunkMedian returns the median, drawn towards 0 while there are few samples.
func (w *deviationWindow) shrunkMedian() float64 {
	samples := float64(len(w.deviations))
	return w.median * samples / (samples + 1)
}

func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	n := len(sorted)
	if n%2 == 1 {
		return sorted[n/2]
	}
	return (sorted[n/2-1] + sorted[n/2]) / 2
}

// robustMean is a moving average of a logarithm and of its absolute deviation, in which outliers
// have a bounded effect.
type robustMean struct {
	samples   int
	mean      float64
	deviation float64 // mean absolute deviation
}

// maxMeanSamples bounds the weight of the past: a moving average follows a change within about
// that many samples.
const maxMeanSamples = 200

// add moves the mean towards value. A single value counts as a factor of e from the mean at most.
func (m *robustMean) add(value float64) {
	if m.samples == 0 {
		m.mean, m.deviation = value, 1
	}
	m.samples = min(m.samples+1, maxMeanSamples)
	difference := value - m.mean
	m.mean += min(max(difference, -1), 1) / float64(m.samples)
	m.deviation += (min(math.Abs(difference), 3) - m.deviation) / float64(m.samples)
}

// runTimeModel predicts the run times of a kind at the typical speed.
type runTimeModel struct {
	logRunTime       robustMean // ln(run time in seconds)
	logDeclaredRatio robustMean // ln(run time / declared run time)
}

// declaredPredictsBetter reports whether to predict from the declared run time: the ratio of run
// time to declared run time varies less than the run time alone, or too few tasks have completed
// to tell.
func (m *runTimeModel) declaredPredictsBetter(declared time.Duration) bool {
	if declared <= 0 {
		return false
	}
	return m.logDeclaredRatio.samples < recentSamples || m.logDeclaredRatio.deviation < m.logRunTime.deviation
}

// predict returns the expected run time at the typical speed. A declared run time of 0 means that
// none is declared.
func (m *runTimeModel) predict(declared time.Duration) time.Duration {
	switch {
	case m.declaredPredictsBetter(declared):
		return time.Duration(float64(declared) * math.Exp(m.logDeclaredRatio.mean))
	case m.logRunTime.samples > 0:
		return time.Duration(math.Exp(m.logRunTime.mean) * float64(time.Second))
	}
	return defaultRunTime
}

// learn records a run time at an endpoint. logSlowness is the logarithm of the endpoint's run
// times relative to the typical speed.
func (m *runTimeModel) learn(runTime, declared time.Duration, logSlowness float64) {
	m.logRunTime.add(math.Log(runTime.Seconds()) - logSlowness)
	if declared > 0 {
		m.logDeclaredRatio.add(math.Log(float64(runTime)/float64(declared)) - logSlowness)
	}
}

// endpointSpeed holds what was learned about the speed of an endpoint.
type endpointSpeed struct {
	allKinds        deviationWindow
	byKind          map[string]*deviationWindow
	slownessByKind  map[string]float64 // run time relative to the typical speed, by kind
	overallSlowness float64            // the same over all kinds; used for kinds not in slownessByKind
}

func newEndpointSpeed() endpointSpeed {
	return endpointSpeed{byKind: make(map[string]*deviationWindow), slownessByKind: make(map[string]float64), overallSlowness: 1}
}

// learn records the deviation of a run time from the typical one of its kind, as a logarithm.
func (s *endpointSpeed) learn(now time.Duration, kind string, deviation float64) {
	w := s.byKind[kind]
	if w == nil {
		w = new(deviationWindow)
		s.byKind[kind] = w
	}
	s.allKinds.add(now, deviation)
	w.add(now, deviation)
	s.overallSlowness = math.Exp(s.allKinds.shrunkMedian())
	samples := float64(len(w.deviations))
	kindDeviation := (samples*w.median + allKindsWeight*s.allKinds.shrunkMedian()) / (samples + allKindsWeight)
	s.slownessByKind[kind] = math.Exp(kindDeviation)
}

// unmeasured reports whether no run time at the endpoint is known yet.
func (s *endpointSpeed) unmeasured() bool { return len(s.allKinds.deviations) == 0 }

// slowness returns the run time of the kind's tasks at the endpoint relative to the typical speed.
func (s *endpointSpeed) slowness(kind string) float64 {
	if slowness, ok := s.slownessByKind[kind]; ok {
		return slowness
	}
	return s.overallSlowness
}
