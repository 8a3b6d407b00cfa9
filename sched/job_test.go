package sched

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// TestJobWithoutWorkersIsAborted guards against a caller who waits until its deadline for a job whose
// tasks have lost their runs after another host took all workers of the cell.
func TestJobWithoutWorkersIsAborted(t *testing.T) {
	p := newSlowPool()
	p.submit(1)
	p.step(p.startReply(p.starts[0], p.now, p.accepted()))
	p.step(StopReply{Worker: "w0", Sent: p.now, Fence: 1, Reply: fleet.Reply{Verdict: fleet.Fenced}})
	for range 12 { // the run may go on for the longest lease
		p.now += 100 * time.Millisecond
		p.step(Tick{})
	}
	if len(p.outcomes) != 1 || p.outcomes[0] != Aborted {
		t.Errorf("after 1.2 s the outcomes are %v, want one abort", p.outcomes)
	}
}

// TestJobTooLateToRestartIsAborted guards against a caller who waits until its deadline for a job whose
// run has failed so late that another one cannot end in time.
func TestJobTooLateToRestartIsAborted(t *testing.T) {
	p := newSlowPool()
	p.submit(1) // 10 s until the deadline, runs of 1 s
	p.step(p.startReply(p.starts[0], p.now, p.accepted()))
	p.now += 9500 * time.Millisecond
	p.step(Tick{}) // the worker has been silent, so the lease has ended
	if len(p.outcomes) != 1 || p.outcomes[0] != Aborted {
		t.Errorf("500 ms before the deadline the outcomes are %v, want one abort", p.outcomes)
	}
}
