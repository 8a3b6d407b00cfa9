package place

import (
	"math"
	"time"
)

const (
	// loadMemory is the time constant of averaging the load that replies carry.
	loadMemory = 150 * time.Millisecond
	// loadStale is the time constant in which an old report gives way to the average of
	// the group.
	loadStale = time.Second
)

// othersLoad follows the tasks that other hosts have at an endpoint.
type othersLoad struct {
	known bool
	value float64
	at    time.Duration
}

// report takes the load of a reply, less the tasks of this host.
func (o *othersLoad) report(now time.Duration, load, own int) {
	v := float64(max(load-own, 0))
	if !o.known {
		*o = othersLoad{known: true, value: v, at: now}
		return
	}
	keep := math.Exp(-float64(now-o.at) / float64(loadMemory))
	o.value = keep*o.value + (1-keep)*v
	o.at = now
}

// estimate returns the expected tasks of other hosts; average is that of the group.
func (o *othersLoad) estimate(now time.Duration, average float64) float64 {
	if !o.known {
		return average
	}
	keep := math.Exp(-float64(now-o.at) / float64(loadStale))
	return keep*o.value + (1-keep)*average
}

// negligibleAt is the number of deviations from which on the excess differs from the
// positive part of the mean by less than a ten-thousandth of a task.
const negligibleAt = 4

// expectedExcess is the mean of the positive part of a normal variable: the tasks ahead
// that have no slot, when the load is known with an error.
func expectedExcess(mean, deviation float64) float64 {
	// The curved part within a few deviations is all that differs from this line.
	if math.Abs(mean) >= negligibleAt*deviation {
		return max(mean, 0)
	}
	z := mean / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return deviation*density + mean*0.5*math.Erfc(-z/math.Sqrt2)
}
