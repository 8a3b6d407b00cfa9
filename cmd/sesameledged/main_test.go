package main

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// slowProcess takes 100 ms to drain.
type slowProcess struct{ drained chan struct{} }

func (p slowProcess) Drain() {
	time.Sleep(100 * time.Millisecond)
	close(p.drained)
}

func (p slowProcess) Drained() <-chan struct{} { return p.drained }

// TestRepeatedTerminationDrains guards against requests that are cut off by a second SIGTERM, which
// two overlapping rollouts may send. An interrupt by hand still ends a drain.
func TestRepeatedTerminationDrains(t *testing.T) {
	for _, c := range []struct {
		name    string
		signals []os.Signal
		want    int
	}{
		{"once", []os.Signal{syscall.SIGTERM}, 0},
		{"twice", []os.Signal{syscall.SIGTERM, syscall.SIGTERM}, 0},
		{"interrupted", []os.Signal{syscall.SIGTERM, os.Interrupt}, exitFailure},
	} {
		t.Run(c.name, func(t *testing.T) {
			signals := make(chan os.Signal, len(c.signals))
			for _, sig := range c.signals {
				signals <- sig
			}
			if got := drainOnSignal(slowProcess{drained: make(chan struct{})}, signals); got != c.want {
				t.Errorf("exit code %d, want %d", got, c.want)
			}
		})
	}
}
