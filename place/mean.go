package place

// mean is a moving average.
type mean struct {
	n      int
	center float64
}

func (m *mean) add(v float64) {
	m.n = min(m.n+1, maxTrackSamples)
	m.center += (v - m.center) / float64(m.n)
}

// groupMeans holds averages over the endpoints of a group.
type groupMeans struct {
	others mean // tasks of other hosts at an endpoint
	run    mean // run time at the typical speed, nanoseconds
}
