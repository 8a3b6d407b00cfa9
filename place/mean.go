package place

// movingMean is a moving average over the last maxMeanSamples samples or so.
type movingMean struct {
	samples int
	value   float64
}

func (m *movingMean) add(v float64) {
	m.samples = min(m.samples+1, maxMeanSamples)
	m.value += (v - m.value) / float64(m.samples)
}

// groupMeans holds averages over the endpoints of a group.
type groupMeans struct {
	othersLoad movingMean // tasks of other hosts at an endpoint
	runTime    movingMean // run time at the typical speed, nanoseconds
}
