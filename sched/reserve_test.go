package sched

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// submitTask submits a job of one task.
func (p *testPool) submitTask(seq uint64, cpu int64, rack string, estimate time.Duration) JobKey {
	key := JobKey{Host: 1, Seq: seq}
	p.step(Submit{Job: Job{
		Key: key, Cell: "z", Left: 10 * time.Second,
		Spec:  fleet.JobSpec{ID: fmt.Sprintf("j%d", seq), Tasks: 1, Need: fleet.Resources{CPU: cpu, Memory: 1}, Rack: rack, Estimate: estimate},
		Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, SlackFactor: 1.6, ObjectiveOffset: 100 * time.Millisecond},
	}})
	return key
}

// TestSmallTasksLeaveReservedRoom guards against small tasks that take each gap as it appears, so that a
// large task finds no worker with enough room. A task that ends before may use the room.
func TestSmallTasksLeaveReservedRoom(t *testing.T) {
	p := newTestPool(64)
	p.s.SetPolicy(Policy{LookAhead: true})
	p.submitTask(1, 40000, "", 60*time.Millisecond)
	p.submitTask(2, 48000, "", 200*time.Millisecond) // finds room when the first one ends
	long := p.submitTask(3, 20000, "", 300*time.Millisecond)
	if len(p.starts) != 1 {
		t.Fatalf("%d starts: a task took the room that was kept for a larger one", len(p.starts))
	}
	p.submitTask(4, 20000, "", 40*time.Millisecond)
	if len(p.starts) != 2 {
		t.Fatalf("%d starts: a task that ends before did not use the room", len(p.starts))
	}
	p.now += 60 * time.Millisecond
	p.endRuns("w0")
	if len(p.starts) < 3 || p.starts[2].Order.Run.Task.Job != "j2" {
		t.Errorf("the large task did not start first when there was room: %v, outcome of the other %v", p.starts, p.outcomes[long])
	}
}

// TestRemoteRunsDoNotSpoilSpeed guards against workers that look slow, and routes that look long, because
// their tasks ran far from their data.
func TestRemoteRunsDoNotSpoilSpeed(t *testing.T) {
	p := newTestPool(64)
	p.s.SetPolicy(Policy{RemotePenalty: 3})
	for seq := uint64(1); seq <= 20; seq++ {
		p.submitTask(seq, 40000, "elsewhere", 100*time.Millisecond)
		p.now += 300 * time.Millisecond // three times as long, on another rack
		p.endRuns("w0")
	}
	if speed := p.s.workers["w0"].speed; speed < 0.9 || speed > 1.1 {
		t.Errorf("the worker has the speed %.2f", speed)
	}
	if d := p.s.durations.predict("r", 100*time.Millisecond); d > 120*time.Millisecond {
		t.Errorf("a task of 100 ms is predicted to take %v", d)
	}
}
