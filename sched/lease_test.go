package sched

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/timing"
)

// TestNoSecondRunDuringFormerLease guards against starting a second run of a task while the first
// one may still run under the lease that a former commander gave the worker. A lease belongs to the
// worker and never shortens. TestMachine found this fault with -rapid.seed=17690229587908324165.
func TestNoSecondRunDuringFormerLease(t *testing.T) {
	p := newTestPool(32, 32)
	p.s.workers["w1"].missedHolds = 1 // only w0 takes tasks at first
	// Another host has taken w0 before and extended its lease by the longest lease.
	formerEnd := timing.Default().RunOver(p.now + timing.DefaultMaxLease)
	p.step(TakeWorker{Worker: "w0", Cell: "z", Fence: 2})
	p.now += settleTime
	p.step(Tick{})
	p.submit(1, "short", 1, 100*time.Millisecond)
	if len(p.starts) != 1 || p.starts[0].Worker.ID != "w0" {
		t.Fatalf("starts: %v", p.starts)
	}
	p.s.workers["w1"].missedHolds = 0
	for p.now < formerEnd {
		p.now += 20 * time.Millisecond
		p.s.recordClockOf(p.now, p.s.workers["w1"], p.now, 0, p.now.Milliseconds())
		p.step(Tick{}) // w0 answers no hold
		if len(p.starts) > 1 && p.now < formerEnd {
			t.Fatalf("started again %v before a run of the former lease is over", formerEnd-p.now)
		}
	}
	for range 20 {
		p.now += 20 * time.Millisecond
		p.s.recordClockOf(p.now, p.s.workers["w1"], p.now, 0, p.now.Milliseconds())
		p.step(Tick{})
	}
	if len(p.starts) != 2 {
		t.Errorf("%d starts, want a second one after the lease has ended", len(p.starts))
	}
}
