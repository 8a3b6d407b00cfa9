package rtt

import (
	"testing"
	"time"
)

const (
	testFloor   = 80 * time.Millisecond
	testCeiling = 350 * time.Millisecond
)

func observeAll(e *Estimator, samples ...time.Duration) {
	for _, s := range samples {
		e.Observe(s)
	}
}

// TestTimeoutFollowsCongestion guards against a timeout that stays below the time of most calls
// when a link or a processor becomes a bottleneck, and against one that stays long afterwards.
func TestTimeoutFollowsCongestion(t *testing.T) {
	var e Estimator
	if got := e.Timeout(testFloor, testCeiling); got != testFloor {
		t.Errorf("timeout without samples is %v, want %v", got, testFloor)
	}
	for range 50 {
		observeAll(&e, 2*time.Millisecond, 4*time.Millisecond)
	}
	if got := e.Timeout(testFloor, testCeiling); got != testFloor {
		t.Errorf("timeout of fast calls is %v, want %v", got, testFloor)
	}
	// A queue builds up by 10 ms a call.
	unanswered := 0
	for i := range 15 {
		sample := time.Duration(i) * 10 * time.Millisecond
		if sample > e.Timeout(testFloor, testCeiling) {
			unanswered++
		}
		e.Observe(sample)
	}
	if unanswered > 0 {
		t.Errorf("%d calls are taken for unanswered while a queue builds up", unanswered)
	}
	for range 30 {
		observeAll(&e, 2*time.Millisecond, 4*time.Millisecond)
	}
	if got := e.Timeout(testFloor, testCeiling); got != testFloor {
		t.Errorf("timeout after the queue is gone is %v, want %v", got, testFloor)
	}
}

// TestTimeoutIsBounded guards against a timeout above the ceiling, within which a true loss has to be
// noticed, after a few very late answers.
func TestTimeoutIsBounded(t *testing.T) {
	var e Estimator
	observeAll(&e, time.Second, 5*time.Second)
	if got := e.Timeout(testFloor, testCeiling); got != testCeiling {
		t.Errorf("timeout is %v, want %v", got, testCeiling)
	}
}
