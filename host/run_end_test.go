package host

import (
	"testing"
	"time"
)

// playEndings plays a loaded deployment beside a fault, for many seeds. Its workers use up the time that they may
// take to end runs, and some list no run meanwhile. The simulation fails if a task then runs twice at the same time
// or a worker runs more than its capacity.
func playEndings(t *testing.T, fault func(w *simulation)) {
	t.Helper()
	for seed := range uint64(30) {
		w := newSimulation(seed, 2, 4, 100)
		w.load = 15 * time.Millisecond
		w.advance(2 * time.Second)
		fault(w)
		for end := w.now + 4*time.Second; w.now < end && w.failure == nil; w.advance(5 * time.Millisecond) {
			w.check()
		}
		if w.failure != nil {
			t.Fatalf("seed %d: %v", seed, w.failure)
		}
	}
}

// TestLostAnswersWhileRunsEnd guards against tasks that start again while a worker is ending their former runs: its
// answers are lost, so its lease ends (review/9).
func TestLostAnswersWhileRunsEnd(t *testing.T) {
	playEndings(t, func(w *simulation) {
		for _, ww := range w.workers[:3] {
			ww.lostReplyShare = 1
			w.after(2*time.Second, func() { ww.lostReplyShare = 0 })
		}
	})
}

// TestNextCommanderWaitsForEndingRuns guards against tasks of a new commander beside runs that the former one has
// stopped just before it was lost, and that the worker lists no more.
func TestNextCommanderWaitsForEndingRuns(t *testing.T) {
	playEndings(t, func(w *simulation) {
		for _, h := range w.hosts {
			if h.state.CellCount() == 0 {
				continue
			}
			for _, other := range w.hosts {
				for seq := range other.seq + 1 {
					other.closeConnection(seq, true)
				}
			}
			w.after(6*time.Millisecond, h.kill)
		}
	})
}
