package fleetsim

import (
	"testing"
	"time"
)

// TestClockRateOfNextProcess guards against a clock that jumps within a process, so that leases last longer than
// its hosts can know.
func TestClockRateOfNextProcess(t *testing.T) {
	w := NewWorker("w", 1000, func(string) int64 { return 1 }, func(string) {})
	w.processStart = time.Now().Add(-10 * time.Second)
	before := w.clockMillis()
	w.SetClockRate(0.98)
	if jump := before - w.clockMillis(); jump > 0 {
		t.Errorf("the clock has jumped back by %d ms", jump)
	}
	w.Restart()
	w.processStart = time.Now().Add(-10 * time.Second)
	if got := w.clockMillis(); got > initialClockMillis+9810 {
		t.Errorf("after 10 s the clock of the next process shows %d ms, want it 2%% slow", got)
	}
}

// TestLapsedRunTakesTimeToEnd guards against a stand-in that ends a run in the instant of its lease's end, and so
// hides hosts that count the run as over then.
func TestLapsedRunTakesTimeToEnd(t *testing.T) {
	w := NewWorker("w", 1000, func(string) int64 { return 1 }, func(string) {})
	if status, _ := w.startRun(order{Task: "t.0.0.0", Attempt: 1, Spec: "10s", LeaseEnd: initialClockMillis + 500}); status != 200 {
		t.Fatalf("the start was answered with %d", status)
	}
	w.processStart = w.processStart.Add(-520 * time.Millisecond) // the lease has ended 20 ms ago
	if running := w.Running(); len(running) != 1 {
		t.Error("the run is over 20 ms after its lease has ended")
	}
	w.extendLease(initialClockMillis + 900) // too late for the run
	w.processStart = w.processStart.Add(-60 * time.Millisecond)
	w.running["t.0.0.0"].overAt = w.running["t.0.0.0"].overAt.Add(-60 * time.Millisecond)
	if ended := w.History(); len(ended) != 1 || ended[0].Outcome != "lapsed" {
		t.Errorf("80 ms after the lease has ended: %v, want a lapsed run", ended)
	}
}
