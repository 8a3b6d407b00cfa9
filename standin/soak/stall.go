package main

import (
	"sync"
	"time"
)

const (
	// stallCheckInterval is the interval of the timer that detects stalls.
	stallCheckInterval = 50 * time.Millisecond
	// minStallDelay is how late that timer fires at least when the machine as a whole has stalled.
	minStallDelay = 400 * time.Millisecond
)

// stalls records when this process itself did not run because the machine was out of memory or
// processors. Time limits are not checked for these times; all other checks still apply.
type stalls struct {
	mu        sync.Mutex
	intervals []interval
}

// watch records stalls until stop is closed.
func (s *stalls) watch(stop <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(stallCheckInterval):
		}
		now := time.Now()
		if now.Sub(last) > stallCheckInterval+minStallDelay {
			s.mu.Lock()
			s.intervals = append(s.intervals, interval{from: last, to: now})
			s.mu.Unlock()
		}
		last = now
	}
}

// overlap reports whether a stall overlaps the period between two times.
func (s *stalls) overlap(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return anyIntervalOverlaps(s.intervals, from, to)
}

// total returns the sum of all stalls.
func (s *stalls) total() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum time.Duration
	for _, i := range s.intervals {
		sum += i.to.Sub(i.from)
	}
	return sum
}
