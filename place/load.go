package place

import (
	"math"
	"time"
)

const (
	// loadAverageTimeConstant is the time constant of the average of the loads that replies
	// report.
	loadAverageTimeConstant = 150 * time.Millisecond
	// staleLoadTimeConstant is the time constant with which an old report gives way to the average
	// of the group.
	staleLoadTimeConstant = time.Second
)

// othersLoad is a moving average of the number of tasks that other hosts have at an endpoint.
type othersLoad struct {
	known      bool
	mean       float64 // tasks
	reportedAt time.Duration
}

// addReport records the load that a reply reported, less the own tasks of this host.
func (o *othersLoad) addReport(now time.Duration, load, own int) {
	tasks := float64(max(load-own, 0))
	if !o.known {
		*o = othersLoad{known: true, mean: tasks, reportedAt: now}
		return
	}
	oldWeight := math.Exp(-float64(now-o.reportedAt) / float64(loadAverageTimeConstant))
	o.mean = oldWeight*o.mean + (1-oldWeight)*tasks
	o.reportedAt = now
}

// estimate returns the expected number of tasks of other hosts. groupAverage is the average over
// the endpoints of the group.
func (o *othersLoad) estimate(now time.Duration, groupAverage float64) float64 {
	if !o.known {
		return groupAverage
	}
	oldWeight := math.Exp(-float64(now-o.reportedAt) / float64(staleLoadTimeConstant))
	return oldWeight*o.mean + (1-oldWeight)*groupAverage
}

// maxCurvedDeviations is the distance of the mean from 0, in standard deviations, from which on
// the expected excess differs from max(mean, 0) by less than a ten-thousandth of a task.
const maxCurvedDeviations = 4

// expectedExcess returns the mean of the positive part of a normal variable. Applied to the tasks
// at an endpoint beyond its slots, it is the expected number of tasks without a slot when the load
// is known only with an error.
func expectedExcess(mean, deviation float64) float64 {
	// Far from 0, the result is a straight line.
	if math.Abs(mean) >= maxCurvedDeviations*deviation {
		return max(mean, 0)
	}
	normalised := mean / deviation
	density := math.Exp(-normalised*normalised/2) / math.Sqrt(2*math.Pi)
	return deviation*density + mean*0.5*math.Erfc(-normalised/math.Sqrt2)
}
