package host

import (
	"testing"
	"time"
)

// workersSent counts the worker entries that a step passes on to other hosts.
func workersSent(effects []Effect) int {
	n := 0
	for _, e := range effects {
		if f, ok := e.(SendFrame); ok {
			for _, m := range f.Frame.GetMessages() {
				n += len(m.GetWorkers().GetWorkers())
			}
		}
	}
	return n
}

// TestHeartbeatsAreNotPassedOn guards against flooding hosts that cannot read the store with
// every heartbeat of every worker, from every host: small hosts lose contact under that.
func TestHeartbeatsAreNotPassedOn(t *testing.T) {
	p := newPair() // neither host has reported that the store answers
	heartbeats := 0
	for i := range 20 {
		p.now += 100 * time.Millisecond
		record := WorkerRecord{ID: "w", Record: []byte("w"), Offset: int64(10 + i)}
		for h := range p.hosts {
			effects := p.hosts[h].Step(p.now, WorkersRead{Records: []WorkerRecord{record}}, Tick{})
			heartbeats += workersSent(effects)
			for _, e := range effects {
				if f, ok := e.(SendFrame); ok {
					p.step(1-h, FrameIn{Frame: f.Frame})
				}
			}
		}
	}
	if heartbeats != 0 {
		t.Errorf("%d unchanged entries were passed on", heartbeats)
	}
}

// TestOnlyCommandersPassWorkersOn guards against every host of a deployment sending the same
// entries to one that has just started.
func TestOnlyCommandersPassWorkersOn(t *testing.T) {
	s := newTestState("idle", 1)
	s.Step(0, WorkersRead{Snapshot: true, Records: []WorkerRecord{{ID: "w", Record: []byte("w"), Offset: 1}}})
	p := newPair()
	if got := len(p.hosts[0].workersFor(&peer{})); got == 0 {
		t.Error("a commander passes nothing on")
	}
	if got := len(s.workersFor(&peer{})); got != 0 {
		t.Errorf("a host without a cell passes %d entries on", got)
	}
}
