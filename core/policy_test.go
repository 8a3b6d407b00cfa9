package core

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/config"
)

// Guards against a window that delays jobs although messages have no weight, and against a
// wide window where messages have the greatest weight.
func TestJobWindowDependsOnMessageWeight(t *testing.T) {
	for _, c := range []struct {
		weight float64
		share  float64
		step   time.Duration
	}{{0, 1, 0}, {0.25, 1, 5 * time.Millisecond}, {0.5, 1, 10 * time.Millisecond}, {0.75, 0.5, 15 * time.Millisecond}, {1, minWindowShare, 20 * time.Millisecond}} {
		share, step := jobWindow(config.Policy{MessageWeight: &c.weight})
		if share != c.share || step != c.step {
			t.Errorf("weight %v: share %v, step %v, want %v and %v", c.weight, share, step, c.share, c.step)
		}
	}
	if share, step := jobWindow(config.Policy{Placement: "random"}); share != 0 || step != 0 {
		t.Errorf("a baseline has the window %v, %v", share, step)
	}
}
