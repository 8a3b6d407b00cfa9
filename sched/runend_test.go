package sched

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/timing"
)

// silence lets time pass in ticks while a worker answers nothing and the others answer their holds at once.
func (p *testPool) silence(id string, d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.now += 5 * time.Millisecond
		p.step(Tick{})
		for other, w := range p.s.workers {
			if other != id && w.holdOpen {
				p.answerHold(other, w.holdSeq)
			}
		}
	}
}

// TestTaskWaitsForLapsedRun guards against a second run of a task that starts as soon as the lease of the first
// one has ended, while a worker with the slowest clock is still ending it (review/9). The settings say how long
// that takes.
func TestTaskWaitsForLapsedRun(t *testing.T) {
	for _, runEnd := range []time.Duration{timing.DefaultRunEnd, 147 * time.Millisecond} {
		budget, err := timing.New(timing.Limits{RunEnd: runEnd})
		if err != nil {
			t.Fatal(err)
		}
		p := newTestPool(32, 32)
		p.s.SetTiming(budget)
		p.submit(1, "long", 1, 2*time.Second)
		w := p.s.workers[p.starts[0].Worker.ID]
		p.silence(w.info.ID, 900*time.Millisecond) // the last lease is granted
		over := w.leaseEndBound + timing.OnHostClock(runEnd)
		p.silence(w.info.ID, over-p.now-6*time.Millisecond)
		if len(p.starts) != 1 || w.used.CPU == 0 {
			t.Errorf("run end %v: %d starts and %d of the CPU in use %v before the run is over, want 1 and that of the run", runEnd, len(p.starts), w.used.CPU, over-p.now)
		}
		p.silence(w.info.ID, 20*time.Millisecond)
		if len(p.starts) != 2 || w.used.CPU != 0 {
			t.Errorf("run end %v: %d starts and %d of the CPU in use after the run is over, want 2 and none", runEnd, len(p.starts), w.used.CPU)
		}
	}
}

// TestTaskWaitsForUnlistedRun guards against a second run of a task, and against room that is given away, while
// a worker is ending a run that it lists neither as running nor as ended.
func TestTaskWaitsForUnlistedRun(t *testing.T) {
	p := newTestPool(32)
	p.submit(1, "long", 1, 2*time.Second)
	w := p.s.workers["w0"]
	p.now += 20 * time.Millisecond
	delete(p.running[w.info.ID], p.starts[0].Order.Run)
	p.answerHold(w.info.ID, w.holdSeq)
	unlisted := p.now
	p.silence("", 45*time.Millisecond)
	if len(p.starts) != 1 {
		t.Fatalf("started again %v after the first list without the run", p.now-unlisted)
	}
	p.silence("", 10*time.Millisecond)
	if len(p.starts) != 2 {
		t.Errorf("%d starts %v after the first list without the run, want 2", len(p.starts), p.now-unlisted)
	}
}

// TestUnlistedRunIsNotBlamed guards against a task that counts as one under which a worker has crashed although the
// worker did not list it any more.
func TestUnlistedRunIsNotBlamed(t *testing.T) {
	p := newTestPool(32)
	p.submit(1, "long", 1, 2*time.Second)
	w := p.s.workers["w0"]
	p.now += 20 * time.Millisecond
	clear(p.running["w0"])
	p.answerHold("w0", w.holdSeq)
	p.crash("w0")
	p.silence("w0", 3*time.Second)
	if n := p.s.Stats().Losses; n != [len(n)]int64{} {
		t.Errorf("losses by evidence %v, want none", n)
	}
}

// TestListWithoutRoomEndsNoRun guards against a task that runs again although it is done, because its worker lists only
// so many ends at a time.
func TestListWithoutRoomEndsNoRun(t *testing.T) {
	p := newTestPool(32)
	p.submit(1, "long", 1, 2*time.Second)
	w, run := p.s.workers["w0"], p.starts[0].Order.Run
	p.now += 20 * time.Millisecond
	clear(p.running["w0"])
	reply := fleet.HoldReply{Reply: fleet.Reply{Verdict: fleet.Accepted, ClockMillis: p.now.Milliseconds(), ProcessStart: 1}, MoreEnds: true}
	p.step(HoldReply{Worker: "w0", Seq: w.holdSeq, Sent: p.now, Reply: reply})
	p.now += 100 * time.Millisecond
	p.step(Tick{})
	if len(p.starts) != 1 {
		t.Fatal("the task was started again by a list that had no room for its end")
	}
	p.answerHold("w0", w.holdSeq, fleet.FinishedRun{Number: 1, Run: run, End: fleet.EndDone})
	if p.outcomes[JobKey{Host: 1, Seq: 1}] != Completed {
		t.Errorf("outcomes %v, want the job completed", p.outcomes)
	}
}

// TestListedEndFreesRoomAtOnce guards against a task that waits although its worker has listed the end of the
// former run.
func TestListedEndFreesRoomAtOnce(t *testing.T) {
	p := newTestPool(32)
	p.submit(1, "long", 1, 2*time.Second)
	w := p.s.workers["w0"]
	p.now += 20 * time.Millisecond
	first := p.starts[0].Order.Run
	delete(p.running[w.info.ID], first)
	p.answerHold(w.info.ID, w.holdSeq, fleet.FinishedRun{Number: 1, Run: first, End: fleet.EndLeaseExpired})
	if len(p.starts) != 2 {
		t.Errorf("%d starts with the listed end, want 2", len(p.starts))
	}
}

// TestTaskWaitsForUnlistedForeignRun guards against a start of a task, and of any task on the same worker, while
// the worker is ending a run of a former commander that it does not list any more.
func TestTaskWaitsForUnlistedForeignRun(t *testing.T) {
	p, foreign := newForeignRun()
	p.submit(1, "long", 1, 5*time.Second)
	p.submit(2, "other", 2, 5*time.Second)
	p.silence("", 100*time.Millisecond)
	delete(p.running["w0"], foreign)
	p.answerHold("w0", p.s.workers["w0"].holdSeq)
	p.silence("", 45*time.Millisecond)
	if len(p.starts) != 1 || p.starts[0].Worker.ID != "w1" || p.starts[0].Order.Run.Task.Job != "other2" {
		t.Fatalf("starts beside a foreign run that may still be ending: %v", p.starts)
	}
	p.silence("", 15*time.Millisecond)
	if len(p.starts) != 2 {
		t.Errorf("%d starts after the foreign run is over, want 2", len(p.starts))
	}
}

// TestForeignRunOutlivesCommand guards against a start of a task that still runs for a former commander on a
// worker that another host has taken, or whose entry has gone, since the run was listed.
func TestForeignRunOutlivesCommand(t *testing.T) {
	for name, lose := range map[string]func(p *testPool){
		"taken": func(p *testPool) {
			p.step(StopReply{Worker: "w0", Fence: 2, Reply: fleet.Reply{Verdict: fleet.Fenced}})
		},
		"removed": func(p *testPool) {
			p.step(UpdateWorkers{Workers: []fleet.Worker{p.s.workers["w1"].info}})
		},
	} {
		p, _ := newForeignRun()
		over := p.s.runsOver(p.s.workers["w0"])
		lose(p)
		p.submit(1, "long", 1, 5*time.Second)
		p.silence("w0", over-p.now-6*time.Millisecond)
		if len(p.starts) != 0 {
			t.Errorf("%s: started %v before the foreign run is over", name, over-p.now)
		}
		p.silence("w0", 20*time.Millisecond)
		if len(p.starts) != 1 {
			t.Errorf("%s: %d starts after the foreign run is over, want 1", name, len(p.starts))
		}
	}
}

// TestRestartTellsHowLongAgoRunWasOver guards against a log line about a restart that does not tell how long the
// former run was certainly over.
func TestRestartTellsHowLongAgoRunWasOver(t *testing.T) {
	p := newTestPool(32, 32)
	p.submit(1, "long", 1, 2*time.Second)
	w := p.s.workers[p.starts[0].Worker.ID]
	p.silence(w.info.ID, 900*time.Millisecond)
	over := p.s.runsOver(w)
	for len(p.starts) < 2 && p.now < over+time.Second {
		p.silence(w.info.ID, 5*time.Millisecond)
	}
	if f := p.restartFields(t); f["former_run_over_by"] != EndLeaseOver || f["over_ago"] != p.now-over || f["found_ago"] != time.Duration(0) {
		t.Errorf("%v after the run was over: %v", p.now-over, f)
	}
}
