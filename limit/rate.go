package limit

import (
	"math"
	"time"
)

// rateMemory is the time constant over which rates are averaged.
const rateMemory = 2 * time.Second

// rate is a decaying average of an amount per second.
type rate struct {
	sum float64 // decayed
	at  time.Duration
}

func rateOf(rates map[string]*rate, name string) *rate {
	r := rates[name]
	if r == nil {
		r = new(rate)
		rates[name] = r
	}
	return r
}

func (r *rate) add(now time.Duration, v float64) {
	r.sum = r.decayed(now) + v
	r.at = now
}

func (r *rate) perSecond(now time.Duration) float64 {
	return r.decayed(now) / rateMemory.Seconds()
}

func (r *rate) decayed(now time.Duration) float64 {
	return r.sum * math.Exp(-float64(now-r.at)/float64(rateMemory))
}
