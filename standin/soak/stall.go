package main

import (
	"sync"
	"time"
)

const (
	// stallTick is the period of the timer that notices stalls.
	stallTick = 50 * time.Millisecond
	// stallLag is how late that timer fires on a machine that has stalled as a whole.
	stallLag = 400 * time.Millisecond
)

// stalls are the times in which this process itself did not run, because the machine was out of
// memory or processors. Bounds on time mean nothing then; the other promises hold as ever.
type stalls struct {
	mu    sync.Mutex
	times []interval
}

// watch notes stalls until stop is closed.
func (s *stalls) watch(stop <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(stallTick):
		}
		now := time.Now()
		if now.Sub(last) > stallTick+stallLag {
			s.mu.Lock()
			s.times = append(s.times, interval{from: last, to: now})
			s.mu.Unlock()
		}
		last = now
	}
}

// during reports whether the process stalled in a time.
func (s *stalls) during(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return anyOverlaps(s.times, from, to)
}

// total returns how long the process has stalled.
func (s *stalls) total() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum time.Duration
	for _, i := range s.times {
		sum += i.to.Sub(i.from)
	}
	return sum
}
