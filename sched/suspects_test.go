package sched

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/crash"
)

// lapse lets time pass until the runs of the crashed workers are over.
func (p *testPool) lapse() { p.pass(900 * time.Millisecond) }

// workersOf returns the workers with running tasks of a job, with their number.
func (p *testPool) workersOf(job string) map[string]int {
	found := make(map[string]int)
	for id, runs := range p.running {
		for key := range runs {
			if key.Task.Job == job {
				found[id]++
			}
		}
	}
	return found
}

// makeRisky reports crashes of workers on which only tasks of a route were.
func (p *testPool) makeRisky(route string) {
	for i := range 4 {
		task := crash.Task{Job: crash.Job{Kind: crash.Kind{Prefix: "/" + route + "/"}, ID: fmt.Sprint("old", i)}}
		p.s.crashes.Record(p.now, crash.Process{Worker: fmt.Sprint("gone", i), Start: 1}, crash.Refused, []crash.Task{task})
	}
	p.pass(25 * time.Millisecond)
}

// TestSuspectStartsAlone guards against a task that may have crashed a worker and starts beside the tasks of
// other jobs, which it would take with it, and beside which its next crash would prove nothing.
func TestSuspectStartsAlone(t *testing.T) {
	p := newTestPool(64, 64, 64, 64)
	p.now += 500 * time.Millisecond // past the leases of former commanders
	p.submit(1, "a", 1, 2*time.Second)
	w := p.starts[0].Worker.ID
	p.submit(2, "b", 8, 2*time.Second) // fills all workers
	p.crash(w)
	free := 2 // workers when the lease has ended
	for _, id := range []string{"w0", "w1", "w2", "w3"} {
		if id != w && free > 0 {
			p.endRuns(id)
			free--
		}
	}
	p.lapse()
	p.submit(3, "c", 2, 50*time.Millisecond)
	alone := p.workersOf("a1")
	if len(alone) != 1 {
		t.Fatalf("the suspect runs on %v, want one worker", alone)
	}
	for id := range alone {
		if n := len(p.running[id]); n != 1 {
			t.Errorf("%d tasks run beside the suspect, want none", n-1)
		}
	}
}

// TestRiskyKindKeepsToItself guards against tasks of a kind that crashes workers which share one with tasks of
// another kind.
func TestRiskyKindKeepsToItself(t *testing.T) {
	p := newTestPool(64, 64, 64)
	p.makeRisky("bad")
	for seq := range uint64(2) {
		p.submit(10+seq, "bad", 1, time.Second)
	}
	for seq := range uint64(3) {
		p.submit(20+seq, "good", 1, time.Second) // the third one has to wait
	}
	for id, runs := range p.running {
		routes := make(map[string]bool)
		for key := range runs {
			routes[key.Task.Job[:3]] = true
		}
		if len(routes) > 1 {
			t.Errorf("worker %s runs tasks of both kinds: %v", id, runs)
		}
	}
	if len(p.starts) != 4 {
		t.Errorf("%d tasks have started, want 4", len(p.starts))
	}
}

// TestRiskyKindLeavesRoom guards against a kind that crashes workers and takes those that other kinds need, and
// against its jobs that wait for room which they do not get.
func TestRiskyKindLeavesRoom(t *testing.T) {
	p := newTestPool(64, 64, 64, 64, 64, 64, 64, 64)
	p.makeRisky("bad")
	good := p.s.shares.queue("s", "good")
	good.kind, good.offered = crash.Kind{Prefix: "/good/"}, 6*packingEfficiency*64000*shareMemory.Seconds() // six workers' work
	for seq := range uint64(6) {
		p.submit(100+seq, "good", 1, 400*time.Millisecond)
		p.submit(200+seq, "bad", 1, 400*time.Millisecond)
	}
	used := make(map[string]bool)
	refused := 0
	for seq := range uint64(6) {
		for id := range p.workersOf(fmt.Sprint("bad", 200+seq)) {
			used[id] = true
		}
		if p.outcomes[JobKey{Host: 1, Seq: 200 + seq}] == Refused {
			refused++
		}
		if p.outcomes[JobKey{Host: 1, Seq: 100 + seq}] == Refused {
			t.Errorf("job %d of the sound kind was refused", seq)
		}
	}
	if len(used) == 0 || len(used) > 4 {
		t.Errorf("the risky kind runs on %d of 8 workers, want some and at most half", len(used))
	}
	if refused == 0 {
		t.Error("no job of the risky kind was refused at once")
	}
}
