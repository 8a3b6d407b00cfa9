package sched

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/timing"
)

// TestClockBehindEstimateIsRead guards against a worker that gets no lease any more: once its estimated
// clock is ahead, a clock that runs as slowly as the estimate never catches up, and each later reading
// would look older than the one before.
func TestClockBehindEstimateIsRead(t *testing.T) {
	const ahead = 20 * time.Millisecond
	s, w := New(0), &worker{}
	start := time.Minute
	clock := func(now time.Duration) int64 {
		return 1000 + time.Duration(float64(now-start)*timing.MinClockRate).Milliseconds()
	}
	s.recordClockOf(start, w, start, 0, clock(start+ahead)) // dated before it was taken
	bound := w.leaseEndBound
	for now := start + 250*time.Millisecond; now < start+3*time.Second; now += 250 * time.Millisecond {
		s.recordClockOf(now, w, now-5*time.Millisecond, 0, clock(now))
		if w.clockStale(now + 100*time.Millisecond) {
			t.Fatalf("no reading was taken since %v after the start", w.lastClockAt-start)
		}
	}
	if raised := w.leaseEndBound - bound; raised < ahead-time.Millisecond || raised > 2*ahead {
		t.Errorf("the bound of the lease was raised by %v, want %v", raised, ahead)
	}
}

// TestOlderClockIsNotRead guards against an answer that was overtaken by a newer one, or that comes from
// another process whose clock began anew, and is taken for the time of the worker.
func TestOlderClockIsNotRead(t *testing.T) {
	s, w := New(0), &worker{}
	s.recordClockOf(10*time.Second, w, 10*time.Second, 0, 5000)
	for name, r := range map[string]struct {
		sent  time.Duration
		clock int64
	}{
		"overtaken":       {sent: 9900 * time.Millisecond, clock: 5010},
		"another process": {sent: 10050 * time.Millisecond, clock: 300},
	} {
		s.recordClockOf(10100*time.Millisecond, w, r.sent, 0, r.clock)
		if w.lastClock != 5000 || w.lastClockAt != 10*time.Second {
			t.Errorf("%s: the reading %d was taken", name, r.clock)
		}
	}
}
