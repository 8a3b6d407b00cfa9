package sched

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// resize passes on an entry of worker w0 with another capacity in cores.
func (p *testPool) resize(cores int64, processStart int64) {
	info := p.s.workers["w0"].info
	info.Capacity.CPU, info.ProcessStart = cores*1000, processStart
	p.step(UpdateWorkers{Workers: []fleet.Worker{info}})
}

// TestShrunkCapacityGetsNoStarts guards against starts on a worker whose capacity has shrunk below what runs
// there, and against runs that are stopped for it.
func TestShrunkCapacityGetsNoStarts(t *testing.T) {
	p := newTestPool(64)
	p.submit(1, "a", 2, 100*time.Millisecond)
	p.resize(40, 1)
	p.submit(2, "b", 2, time.Second)
	if len(p.starts) != 2 || len(p.running["w0"]) != 2 {
		t.Fatalf("%d starts and %d runs while 54 of 40 cores are in use, want 2 and 2", len(p.starts), len(p.running["w0"]))
	}
	p.endRuns("w0")
	if len(p.starts) != 3 {
		t.Errorf("%d starts when 40 cores are free, want one more of 27 cores", len(p.starts)-2)
	}
	p.resize(64, 1)
	if len(p.starts) != 4 {
		t.Errorf("%d starts when 64 cores are there again, want both tasks", len(p.starts)-2)
	}
}

// TestNoCapacityRefusesAtOnce guards against callers who wait for a worker that has no capacity left for their
// job, and against jobs that are refused once it has some again.
func TestNoCapacityRefusesAtOnce(t *testing.T) {
	p := newTestPool(64)
	p.submit(1, "a", 2, time.Second)
	waiting := p.submit(2, "b", 1, time.Second)
	p.resize(0, 1)
	p.pass(25 * time.Millisecond)
	if p.outcomes[waiting] != Refused {
		t.Errorf("the outcome of the waiting job is %v, want refused", p.outcomes[waiting])
	}
	if late := p.submit(3, "b", 1, time.Second); p.outcomes[late] != Refused {
		t.Errorf("the outcome of a new job is %v, want refused", p.outcomes[late])
	}
	p.endRuns("w0")
	p.resize(30, 1)
	again := p.submit(4, "b", 1, time.Second)
	if len(p.starts) != 3 || p.outcomes[again] != 0 {
		t.Errorf("%d starts and the outcome %v with 30 cores, want a start", len(p.starts)-2, p.outcomes[again])
	}
}

// TestNewProcessWithLessCapacity guards against starts by the capacity of a former process.
func TestNewProcessWithLessCapacity(t *testing.T) {
	p := newTestPool(64)
	p.resize(64, 1)
	p.submit(1, "a", 1, time.Second)
	p.resize(30, 2) // the entry of the next process comes before its first answer
	p.submit(2, "b", 1, time.Second)
	if len(p.starts) != 1 {
		t.Errorf("%d starts although the worker has not answered as the process of its entry, want 1", len(p.starts))
	}
}
