package sched

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// setCold makes the workers of a pool cold until a time.
func (p *testPool) setCold(until time.Duration, ids ...string) {
	var list []fleet.Worker
	for _, w := range p.s.sortedWorkers {
		info := w.info
		for _, id := range ids {
			if info.ID == id {
				info.ColdUntil = until
			}
		}
		list = append(list, info)
	}
	p.step(UpdateWorkers{Workers: list})
}

// TestSpeedOfColdWorkerIsLearnedApart guards against tasks on cold workers that lower the estimate for the
// warm worker or raise the durations of the route, and against a cold speed that is never corrected.
func TestSpeedOfColdWorkerIsLearnedApart(t *testing.T) {
	p := newTestPool(64)
	p.setCold(p.now+time.Hour, "w0")
	before := p.s.durations.predict("r", 100*time.Millisecond)
	for i := range 60 {
		p.submit(uint64(i+1), "r", 1, 100*time.Millisecond)
		p.now += 400 * time.Millisecond // a quarter of the warm speed
		p.endRuns("w0")
	}
	if got := p.s.ColdSpeeds()["s"]; got < 0.22 || got > 0.28 {
		t.Errorf("the speed of cold workers is %.2f, want 0.25", got)
	}
	if got := p.s.workers["w0"].speed; got != 1 {
		t.Errorf("the speed of the warm worker is %.2f, want 1", got)
	}
	if got := p.s.durations.predict("r", 100*time.Millisecond); got != before {
		t.Errorf("the predicted duration went from %v to %v", before, got)
	}
}

// TestTaskPrefersWarmWorker guards against tasks that start on a cold worker and are late although a warm one
// is free, and against cold workers that are avoided when they will be warm soon enough.
func TestTaskPrefersWarmWorker(t *testing.T) {
	p := newTestPool(64, 64)
	p.setCold(p.now+5*time.Second, "w0")
	p.submit(1, "r", 2, 900*time.Millisecond)
	for _, s := range p.starts {
		if s.Worker.ID != "w1" {
			t.Errorf("a task started on the cold worker")
		}
	}
	w := p.s.workers["w0"]
	w.info.ColdUntil = p.now + 100*time.Millisecond
	if got := p.s.speedFor(p.now, w, 900*time.Millisecond); got < 0.9 || got >= 1 {
		t.Errorf("the speed of a worker that is warm in 0.1 s is %.2f for a task of 0.9 s", got)
	}
}

// TestColdCellOffersLess guards against a cell of cold workers that reports all its processors as room for new
// jobs, so that a zone that is taken back is overrun before it is warm.
func TestColdCellOffersLess(t *testing.T) {
	p := newTestPool(64, 64)
	warm := p.s.Loads("z")["s"]
	if got := warm.Slowdown(time.Second); got != 0 {
		t.Errorf("a warm cell delays tasks by %v", got)
	}
	p.setCold(p.now+5*time.Second, "w0", "w1")
	cold := p.s.Loads("z")["s"]
	if 2*cold.FreeCPU != warm.FreeCPU || 2*cold.EffectiveCPU != warm.EffectiveCPU {
		t.Errorf("a cold cell offers %d and %d, a warm one %d and %d", cold.FreeCPU, cold.EffectiveCPU, warm.FreeCPU, warm.EffectiveCPU)
	}
	if got := cold.Slowdown(time.Second); got != time.Second {
		t.Errorf("a cold cell delays a task of 1 s by %v", got)
	}
	p.now += 6 * time.Second
	p.step(Tick{})
	if again := p.s.Loads("z")["s"]; again.FreeCPU != warm.FreeCPU || again.EffectiveCPU != warm.EffectiveCPU {
		t.Errorf("a cell that is warm again offers %d and %d", again.FreeCPU, again.EffectiveCPU)
	}
}
