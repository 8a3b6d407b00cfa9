package place

import (
	"math"
	"slices"
	"time"
)

const (
	// windowSize is how many service times of an endpoint and kind are kept. The median
	// of 31 has a standard error of about a fifth of the spread of single run times.
	windowSize = 31
	// recentSize is how many of them reveal a change of speed.
	recentSize = 8
	// changeMargin is the least change of ln(speed) that discards older service times.
	changeMargin = 0.35
	// sampleLife bounds the age of a service time.
	sampleLife = 60 * time.Second
	// endpointWeight is how many samples of a kind weigh as much as those of all kinds.
	endpointWeight = 8
	// defaultRun is the run time assumed for a kind of which nothing is known.
	defaultRun = 200 * time.Millisecond
)

// window holds the latest deviations of an endpoint's run times from what is usual for
// their kind, as logarithms. Its median is robust against single stragglers.
type window struct {
	values []float64
	times  []time.Duration
	median float64
}

// add records a deviation and updates the median.
func (w *window) add(now time.Duration, v float64) {
	w.values = append(w.values, v)
	w.times = append(w.times, now)
	drop := max(0, len(w.values)-windowSize)
	for drop < len(w.values)-1 && now-w.times[drop] > sampleLife {
		drop++
	}
	w.discard(drop)
	if n := len(w.values) - recentSize; n >= recentSize && w.changed(n) {
		w.discard(n)
	}
	w.median = median(w.values)
}

func (w *window) discard(n int) {
	w.values = slices.Delete(w.values, 0, n)
	w.times = slices.Delete(w.times, 0, n)
}

// changed reports whether the samples from n on differ from those before by more than
// chance explains.
func (w *window) changed(n int) bool {
	older, recent := w.values[:n], w.values[n:]
	center := median(older)
	deviations := make([]float64, len(older))
	for i, v := range older {
		deviations[i] = math.Abs(v - center)
	}
	// Two standard errors of the median of recentSize values; 1.48 turns a median
	// deviation into a standard deviation, and 1.25 is the median's relative error.
	noise := 2 * 1.48 * 1.25 * median(deviations) / math.Sqrt(recentSize)
	return math.Abs(median(recent)-center) > changeMargin+noise
}

// estimate is the median, drawn towards 0 while there are few samples.
func (w *window) estimate() float64 {
	n := float64(len(w.values))
	return w.median * n / (n + 1)
}

func median(v []float64) float64 {
	sorted := slices.Clone(v)
	slices.Sort(sorted)
	n := len(sorted)
	if n%2 == 1 {
		return sorted[n/2]
	}
	return (sorted[n/2-1] + sorted[n/2]) / 2
}

// track follows the typical value of a logarithm and its spread.
type track struct {
	n      int
	center float64
	spread float64 // mean absolute deviation
}

// maxTrackSamples bounds the weight of the past: a track follows within that many samples.
const maxTrackSamples = 200

// add moves the track towards v. A single value counts by a factor of e at most.
func (t *track) add(v float64) {
	if t.n == 0 {
		t.center, t.spread = v, 1
	}
	t.n = min(t.n+1, maxTrackSamples)
	d := v - t.center
	t.center += min(max(d, -1), 1) / float64(t.n)
	t.spread += (min(math.Abs(d), 3) - t.spread) / float64(t.n)
}

// kindModel predicts run times of a kind at the typical speed.
type kindModel struct {
	plain    track // ln(run time in seconds)
	declared track // ln(run time / declared run time)
}

// useDeclared reports whether declared run times predict better than the kind alone.
func (k *kindModel) useDeclared(run time.Duration) bool {
	if run <= 0 {
		return false
	}
	return k.declared.n < recentSize || k.declared.spread < k.plain.spread
}

// predict returns the expected run time at the typical speed.
func (k *kindModel) predict(run time.Duration) time.Duration {
	switch {
	case k.useDeclared(run):
		return time.Duration(float64(run) * math.Exp(k.declared.center))
	case k.plain.n > 0:
		return time.Duration(math.Exp(k.plain.center) * float64(time.Second))
	}
	return defaultRun
}

// learn takes a run time at an endpoint that deviates by slow from the typical speed.
func (k *kindModel) learn(took, declared time.Duration, slow float64) {
	k.plain.add(math.Log(took.Seconds()) - slow)
	if declared > 0 {
		k.declared.add(math.Log(float64(took)/float64(declared)) - slow)
	}
}

// speeds holds what was learned of an endpoint's speed.
type speeds struct {
	all    window
	byKind map[string]*window
	factor map[string]float64 // run time relative to the typical speed, by kind
	any    float64            // the same for other kinds
}

func newSpeeds() speeds {
	return speeds{byKind: make(map[string]*window), factor: make(map[string]float64), any: 1}
}

// learn records a deviation of a run time, as a logarithm.
func (s *speeds) learn(now time.Duration, kind string, deviation float64) {
	w := s.byKind[kind]
	if w == nil {
		w = new(window)
		s.byKind[kind] = w
	}
	s.all.add(now, deviation)
	w.add(now, deviation)
	s.any = math.Exp(s.all.estimate())
	n := float64(len(w.values))
	own := (n*w.median + endpointWeight*s.all.estimate()) / (n + endpointWeight)
	s.factor[kind] = math.Exp(own)
}

// unknown reports whether no task has completed at the endpoint yet.
func (s *speeds) unknown() bool { return len(s.all.values) == 0 }

// slowness returns the run time of a kind relative to the typical speed.
func (s *speeds) slowness(kind string) float64 {
	if f, ok := s.factor[kind]; ok {
		return f
	}
	return s.any
}
