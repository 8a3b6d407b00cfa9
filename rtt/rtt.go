// Package rtt estimates how long calls to a destination take, and derives from it how long the
// caller should wait before it treats a call as unanswered.
//
// It answers load under which everything is slow at once: a narrow link with a queue, or a host
// that gets little processor time. A fixed limit that is short enough to notice a dead destination
// soon then takes slow answers for lost ones, and what the caller does about a lost answer (asking
// again, opening connections) adds to the load. The estimate is the one that TCP uses for its
// retransmission timeout: the smoothed mean of the samples plus a multiple of their deviation.
//
// The package does no I/O and reads no clock.
package rtt

import "time"

const (
	// meanGain and deviationGain are the weights of a new sample.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviationFactor is the number of deviations above the mean that a call may take.
	deviationFactor = 4
)

// Estimator estimates the time of calls to one destination, or of all calls of a process. The zero
// value has seen no call.
type Estimator struct {
	mean, deviation time.Duration
	sampled         bool
}

// Observe records the time that an answered call took, also if the answer came after the timeout.
func (e *Estimator) Observe(sample time.Duration) {
	if !e.sampled {
		e.mean, e.deviation, e.sampled = sample, sample/2, true
		return
	}
	e.deviation += time.Duration(deviationGain * float64((sample-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanGain * float64(sample-e.mean))
}

// Timeout returns how long to wait for an answer, between floor and ceiling. Without samples it is
// floor.
func (e *Estimator) Timeout(floor, ceiling time.Duration) time.Duration {
	return min(max(e.mean+deviationFactor*e.deviation, floor), ceiling)
}
