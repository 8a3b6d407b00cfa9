package limit

import (
	"math"
	"time"
)

const (
	// groupRateTimeConstant is the time constant of the average work rate of a group.
	groupRateTimeConstant = 2 * time.Second
	// teamUsageTimeConstant is the time constant of the average usage of a team. It is longer,
	// because a team's work comes in bursts of whole jobs.
	teamUsageTimeConstant = 10 * time.Second
)

// decayingRate is an exponentially decaying average of an amount per second.
type decayingRate struct {
	timeConstant time.Duration // of the decay
	sum          float64       // decayed to updatedAt
	updatedAt    time.Duration
}

// rateFor returns the rate with this name, and creates it if there is none.
func rateFor(rates map[string]*decayingRate, name string, timeConstant time.Duration) *decayingRate {
	r := rates[name]
	if r == nil {
		r = &decayingRate{timeConstant: timeConstant}
		rates[name] = r
	}
	return r
}

func (r *decayingRate) add(now time.Duration, amount float64) {
	r.sum = r.decayedSum(now) + amount
	r.updatedAt = now
}

func (r *decayingRate) perSecond(now time.Duration) float64 {
	return r.decayedSum(now) / r.timeConstant.Seconds()
}

func (r *decayingRate) decayedSum(now time.Duration) float64 {
	return r.sum * math.Exp(-float64(now-r.updatedAt)/float64(r.timeConstant))
}
