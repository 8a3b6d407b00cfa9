package limit

import (
	"math"
	"time"
)

const (
	// rateMemory is the time constant over which the rate of a group is averaged.
	rateMemory = 2 * time.Second
	// usageMemory is that of what a team used. It is longer, because a team's work comes
	// in lumps of whole jobs.
	usageMemory = 10 * time.Second
)

// rate is a decaying average of an amount per second.
type rate struct {
	memory time.Duration // time constant
	sum    float64       // decayed
	at     time.Duration
}

func rateOf(rates map[string]*rate, name string, memory time.Duration) *rate {
	r := rates[name]
	if r == nil {
		r = &rate{memory: memory}
		rates[name] = r
	}
	return r
}

func (r *rate) add(now time.Duration, v float64) {
	r.sum = r.decayed(now) + v
	r.at = now
}

func (r *rate) perSecond(now time.Duration) float64 {
	return r.decayed(now) / r.memory.Seconds()
}

func (r *rate) decayed(now time.Duration) float64 {
	return r.sum * math.Exp(-float64(now-r.at)/float64(r.memory))
}
