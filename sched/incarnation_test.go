package sched

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// newRestartPool returns a pool with one worker of label "a" and 64 cores, whose entry names the start of
// its process.
func newRestartPool() *testPool {
	p := newTestPool(64)
	p.describe(1, 64, "a")
	return p
}

// describe passes the entry of w0's process with a start to the scheduler.
func (p *testPool) describe(start, cores int64, label string) {
	p.step(UpdateWorkers{Workers: []fleet.Worker{{
		ID: "w0", Service: "s", Zone: "z", Capacity: fleet.Resources{CPU: cores * 1000, Memory: 1000}, Labels: []string{label}, ProcessStart: start,
	}}})
}

// restart makes w0 list its runs as a process with a start.
func (p *testPool) restart(start int64) {
	p.now += 2 * time.Second
	p.step(Tick{})
	w := p.s.workers["w0"]
	p.s.sendUrgentHold(p.now, w)
	p.s.Ready()
	p.running["w0"] = make(map[fleet.RunKey]bool)
	reply := fleet.HoldReply{Reply: fleet.Reply{Verdict: fleet.Accepted, ClockMillis: p.now.Milliseconds(), ProcessStart: start}}
	p.step(HoldReply{Worker: "w0", Seq: w.holdSeq, Sent: p.now, Reply: reply})
}

func (p *testPool) submitLabelled(seq uint64, label string, tasks int) {
	p.step(Submit{Job: Job{
		Key: JobKey{Host: 1, Seq: seq}, Cell: "z", Left: 30 * time.Second,
		Spec:  fleet.JobSpec{ID: fmt.Sprintf("j%d", seq), Tasks: tasks, Need: fleet.Resources{CPU: 30000, Memory: 64}, Estimate: time.Second, Label: label},
		Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, SlackFactor: 3, ObjectiveOffset: 5 * time.Second},
	}})
}

// TestRestartedWorkerWaitsForItsEntry guards against starts on a worker by the entry of a former process,
// which may have had other labels or more capacity: a task with a label started on a machine of another
// kind.
func TestRestartedWorkerWaitsForItsEntry(t *testing.T) {
	for _, c := range []struct {
		label         string
		cores, starts int64
	}{{"b", 64, 0}, {"a", 32, 1}, {"a", 64, 2}} {
		p := newRestartPool()
		p.restart(2)
		if !p.s.AwaitsEntries() {
			t.Error("no entry is asked for")
		}
		p.submitLabelled(1, "a", 2)
		p.step(Tick{})
		if len(p.starts) != 0 {
			t.Fatalf("%d starts by the entry of the former process", len(p.starts))
		}
		p.describe(2, c.cores, c.label)
		if p.s.AwaitsEntries() {
			t.Error("an entry is asked for although it is known")
		}
		p.submitLabelled(2, "a", 2)
		if got := int64(len(p.starts)); got != c.starts {
			t.Errorf("%d starts on a worker of %d cores with label %s, want %d", got, c.cores, c.label, c.starts)
		}
	}
}

// TestNewEntryAsksItsProcess guards against an idle worker that gets no tasks any more because the entry
// of a new process is read before the process has answered.
func TestNewEntryAsksItsProcess(t *testing.T) {
	p := newRestartPool()
	w := p.s.workers["w0"]
	seq := w.holdSeq
	p.s.Step(p.now, UpdateWorkers{Workers: []fleet.Worker{{ID: "w0", Service: "s", Zone: "z", Capacity: w.info.Capacity, Labels: []string{"a"}, ProcessStart: 2}}})
	p.s.Ready()
	if w.holdSeq != seq+1 || w.acceptsTasks(p.now) {
		t.Fatalf("%d holds were sent, want 1; accepts tasks: %v", w.holdSeq-seq, w.acceptsTasks(p.now))
	}
	reply := fleet.HoldReply{Reply: fleet.Reply{Verdict: fleet.Accepted, ClockMillis: p.now.Milliseconds(), ProcessStart: 2}}
	p.step(HoldReply{Worker: "w0", Seq: w.holdSeq, Sent: p.now, Reply: reply})
	p.submitLabelled(1, "a", 1)
	if len(p.starts) != 1 {
		t.Errorf("%d starts after the new process has answered, want 1", len(p.starts))
	}
}

// TestEntryWithoutProcessStart guards against workers whose entries do not name their process and that
// get no tasks after a restart.
func TestEntryWithoutProcessStart(t *testing.T) {
	p := newRestartPool()
	p.describe(0, 64, "a")
	p.restart(2)
	p.submitLabelled(1, "a", 2)
	if len(p.starts) != 2 {
		t.Errorf("%d starts, want 2", len(p.starts))
	}
}
