package sched

import (
	"testing"
	"time"
)

// TestLeaseOfFormerCommander guards against a second run of a task whose first one lives on
// under the lease that a former commander gave the worker: a lease belongs to the worker and
// never shortens. The machine test found it with -rapid.seed=17690229587908324165.
func TestLeaseOfFormerCommander(t *testing.T) {
	y := newTestPool(32, 32)
	y.s.workers["w1"].misses = 1 // only w0 takes tasks at first
	// Another host had taken w0 and extended its lease to the longest that it allows.
	formerEnd := y.now + maxLease
	y.step(Take{Worker: "w0", Cell: "z", Fence: 2})
	y.submit(1, "short", 1, 100*time.Millisecond)
	if len(y.starts) != 1 || y.starts[0].Worker.ID != "w0" {
		t.Fatalf("starts: %v", y.starts)
	}
	y.s.workers["w1"].misses = 0
	for y.now < formerEnd {
		y.now += 20 * time.Millisecond
		y.s.workers["w1"].observe(y.now, y.now.Milliseconds())
		y.step(Tick{}) // w0 stays silent
		if len(y.starts) > 1 && y.now < formerEnd {
			t.Fatalf("started again after %v; the former lease ends after %v", y.now-time.Minute, maxLease)
		}
	}
	for range 20 {
		y.now += 20 * time.Millisecond
		y.s.workers["w1"].observe(y.now, y.now.Milliseconds())
		y.step(Tick{})
	}
	if len(y.starts) != 2 {
		t.Errorf("%d starts, want a second one after the lease has ended", len(y.starts))
	}
}
