package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// shrinkGrace is how long after a worker has announced a smaller capacity starts may exceed it.
const shrinkGrace = 4500 * time.Millisecond

// usedCPU returns the CPU of the worker's runs, in thousandths of a core.
func (ww *simWorker) usedCPU() int64 { return ww.Capacity.CPU - ww.Free().CPU }

// TestShrinkingCapacity guards against starts beyond a capacity that has shrunk, also to nothing, while hosts are
// killed and read the entries late.
func TestShrinkingCapacity(t *testing.T) {
	for seed := range uint64(6) {
		w := newSimulation(seed, 2, 8, 100)
		w.load = 15 * time.Millisecond
		announcedAt := make(map[*simWorker]time.Duration)
		used := make(map[*simWorker]int64)
		starts := make(map[*simWorker]int)
		for step := range 4000 {
			if step%40 == 0 {
				ww := w.workers[w.rng.IntN(len(w.workers))]
				cores := []int64{0, 0, 20, 30, 40, 64}[w.rng.IntN(6)]
				ww.announced = &fleet.Resources{CPU: cores * 1000, Memory: ww.Capacity.Memory}
				announcedAt[ww] = w.now
				w.publishWorker(ww)
			}
			if step%1000 == 500 {
				killCommander(w)
			}
			w.advance(10 * time.Millisecond)
			w.check()
			for ww, at := range announcedAt {
				now := ww.usedCPU()
				if w.now-at > shrinkGrace && ww.starts > starts[ww] && now > ww.announced.CPU && now > used[ww] {
					t.Fatalf("seed %d: worker %s uses %d of %d after a start, %v after its entry", seed, ww.ID, now, ww.announced.CPU, w.now-at)
				}
				used[ww], starts[ww] = now, ww.starts
			}
		}
		if w.failure != nil {
			t.Fatalf("seed %d: %v", seed, w.failure)
		}
	}
}
