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
