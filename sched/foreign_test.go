package sched

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/internal/workermodel"
)

// deliverPending delivers the pending calls, but not those that follow from them.
func (m *schedMachine) deliverPending() {
	calls := m.pendingCalls
	m.pendingCalls = nil
	for _, c := range calls {
		m.deliver(c, true)
	}
}

// TestNoPlacementBesideForeignRuns guards against placing tasks beside the runs of a former
// commander, whose size is unknown, before these have been stopped.
func TestNoPlacementBesideForeignRuns(t *testing.T) {
	m := newSchedMachine()
	w := m.workers[0]
	w.Hold(m.now, fleet.HoldOrder{Fence: 1000})
	startRivalRun(w, m.now, 1000, 1)
	m.step(TakeWorker{Worker: w.ID, Cell: "z", Fence: 2000})
	take := m.pendingCalls[0]
	m.pendingCalls = m.pendingCalls[1:]
	m.deliver(take, true)
	key := JobKey{Host: 1, Seq: 1}
	need := fleet.Resources{CPU: 40000, Memory: 64}
	m.taskCounts[key] = 6
	m.needs[jobName(key)] = need
	m.step(Submit{Job: Job{
		Key: key, Cell: "z", Left: 3 * time.Second, CallersSeen: m.now,
		Spec:  fleet.JobSpec{ID: jobName(key), Tasks: 6, Need: need, Estimate: 300 * time.Millisecond},
		Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, SlackFactor: 1.6, ObjectiveOffset: 3 * time.Second},
	}})
	started := make(map[string]int)
	for _, c := range m.pendingCalls {
		if start, ok := c.effect.(StartRun); ok {
			started[start.Worker.ID]++
		}
	}
	if started[w.ID] != 0 || started["w1"] == 0 {
		t.Fatalf("starts by worker: %v; none belongs on %s", started, w.ID)
	}
	for range 4 {
		m.deliverPending()
		m.advance(workermodel.MaxEndTime)
	}
	if got := len(w.Running()); got != 1 {
		t.Fatalf("%d tasks run on %s after the foreign run has ended, want 1", got, w.ID)
	}
}
