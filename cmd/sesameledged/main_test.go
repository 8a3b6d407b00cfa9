package main

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// slowProcess takes some time to drain.
type slowProcess struct{ drained chan struct{} }

func (p slowProcess) Drain() {
	time.Sleep(100 * time.Millisecond)
	close(p.drained)
}

func (p slowProcess) Drained() <-chan struct{} { return p.drained }

// TestRepeatedTerminationDrains guards against requests that a second SIGTERM, as two overlapping
// rollouts send, breaks off. An interrupt by hand still ends a drain.
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
			if got := wait(slowProcess{drained: make(chan struct{})}, signals); got != c.want {
				t.Errorf("exit code %d, want %d", got, c.want)
			}
		})
	}
}
