package sched

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// restartFields returns the fields of the newest log line about a task that was started again.
func (p *testPool) restartFields(t *testing.T) map[any]any {
	t.Helper()
	fields := make(map[any]any)
	for _, e := range p.logs {
		if e.Message != "tasks started again" {
			continue
		}
		for i := 0; i < len(e.Fields); i += 2 {
			fields[e.Fields[i]] = e.Fields[i+1]
		}
	}
	if len(fields) == 0 {
		t.Fatal("no log line about a task that was started again")
	}
	return fields
}

// TestRestartTellsWhatItRestsOn guards against a second run of a task whose log does not tell whether the
// worker has reported the end of the first one or this host's clock has decided.
func TestRestartTellsWhatItRestsOn(t *testing.T) {
	p, w := newLongRun(32, 32)
	first := p.starts[0].Order.Run
	p.step(HoldReply{Worker: w.info.ID, Seq: w.holdSeq, Sent: p.now, Reply: fleet.HoldReply{
		Reply:    fleet.Reply{Verdict: fleet.Accepted, ClockMillis: p.now.Milliseconds()},
		Finished: []fleet.FinishedRun{{Number: 1, Run: first, End: fleet.EndLeaseExpired}},
	}})
	if f := p.restartFields(t); f["former_run_over_by"] != EndListed || f["former_workers"] != w.info.ID || f["of_earlier_submission"] != 0 {
		t.Errorf("after an end that was listed: %v", f)
	}

	p = newTestPool(32, 32)
	p.submit(1, "long", 1, 2*time.Second)
	w = p.s.workers[p.starts[0].Worker.ID]
	for range 60 {
		p.now += 25 * time.Millisecond
		p.step(Tick{})
		for id, other := range p.s.workers {
			if other != w && other.holdOpen {
				p.answerHold(id, other.holdSeq) // w answers nothing
			}
		}
	}
	if f := p.restartFields(t); f["former_run_over_by"] != EndLeaseOver || f["lease_left_then"] != time.Duration(0) {
		t.Errorf("after a lease that has ended: %v", f)
	}
	if n := p.s.Stats().Restarts[EndLeaseOver]; n != 1 {
		t.Errorf("%d restarts counted after a lease that has ended, want 1", n)
	}
}

// TestUnwantedRunIsMeasured guards against a run that goes on after its job without anybody noticing.
func TestUnwantedRunIsMeasured(t *testing.T) {
	p, _ := newLongRun(32)
	p.pass(time.Second)
	p.s.CancelJobsOfHost(p.now, 1) // no stop is answered
	for range 60 {
		p.now += 25 * time.Millisecond
		p.step(Tick{})
	}
	longest := p.s.Stats().LongestUnwanted
	if budget := p.s.timing; longest < budget.Lease/2 || longest > budget.LongestRun() {
		t.Errorf("a run has outlasted its job by %v, want about the lease of %v", longest, budget.Lease)
	}
}
