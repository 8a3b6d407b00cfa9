package sched

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/timing"
)

// newLongRun returns a pool with one worker that runs a task of a job of process 1 for another 10 s.
func newLongRun(workers ...int64) (*testPool, *worker) {
	p := newTestPool(workers...)
	p.submit(1, "long", 1, 10*time.Second)
	return p, p.s.workers[p.starts[0].Worker.ID]
}

// pass lets time pass in ticks. The workers answer their holds at once and give readings of their clocks.
func (p *testPool) pass(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.now += 25 * time.Millisecond
		p.step(Tick{})
		for id, w := range p.s.workers {
			if w.holdOpen {
				p.answerHold(id, w.holdSeq)
			}
		}
	}
}

// TestNoLeaseForUnwantedRun guards against leases for a run that nobody waits for any more: its task may
// be started by another host soon. The lease of its worker is extended again as soon as the worker has
// taken the stop.
func TestNoLeaseForUnwantedRun(t *testing.T) {
	p, w := newLongRun(32)
	p.pass(timing.DefaultMaxLease) // until the lease of a former commander counts no more
	p.s.CancelJobsOfHost(p.now, 1)
	lost := p.now
	p.pass(stopGracePeriod / 2) // no stop is answered
	if limit := lost + timing.OnHostClock(timing.Default().Lease); w.leaseEndBound > limit {
		t.Errorf("the lease goes on for %v after the last wish for the run, want %v at most", w.leaseEndBound-lost, limit-lost)
	}
	p.step(StopReply{Worker: w.info.ID, Run: p.starts[0].Order.Run, Sent: p.now, Fence: 1, Reply: fleet.Reply{Verdict: fleet.Accepted, ClockMillis: p.now.Milliseconds()}})
	before := w.leaseEndBound
	p.pass(stopGracePeriod / 4)
	if w.leaseEndBound <= before {
		t.Error("the lease is not extended after the stop was answered")
	}
}

// newRemoteRun returns a pool with one worker that runs a task of a job of another process, which is in
// contact, for another 10 s. The worker may take leases of former commanders no more.
func newRemoteRun(workers ...int64) (*testPool, *worker) {
	p := newTestPool(workers...)
	p.pass(timing.DefaultMaxLease)
	p.contact = p.now
	p.submit(1, "long", 1, 10*time.Second)
	return p, p.s.workers[p.starts[0].Worker.ID]
}

// TestNoLeaseForSilentHost guards against leases and starts for jobs whose host has been silent for
// longer than the contact timeout and does not count as lost yet.
func TestNoLeaseForSilentHost(t *testing.T) {
	p, w := newRemoteRun(64)
	p.pass(timing.Default().ContactTimeout + 25*time.Millisecond)
	before := w.leaseEndBound
	p.submit(2, "late", 1, 2*time.Second)
	p.pass(300 * time.Millisecond)
	if w.leaseEndBound > before || len(p.starts) != 1 {
		t.Errorf("lease extended by %v and %d starts, want 0 and 1", w.leaseEndBound-before, len(p.starts))
	}
	p.s.RecordCallersSeen(1, p.now)
	p.pass(50 * time.Millisecond)
	if w.leaseEndBound <= before || len(p.starts) != 2 {
		t.Errorf("lease extended by %v and %d starts after the suspicion, want more and 2", w.leaseEndBound-before, len(p.starts))
	}
}

// TestLeaseEndsSoonAfterLastContact guards against a run that outlasts the last contact with its caller's
// host by the contact timeout and a whole lease: a lease that is granted late is shorter, also one that
// comes with the start of another job's task.
func TestLeaseEndsSoonAfterLastContact(t *testing.T) {
	p, w := newRemoteRun(64)
	limit := p.contact + timing.Default().Horizon
	p.pass(350 * time.Millisecond)
	p.submitFrom(2, 1, "short", 1, 100*time.Millisecond)
	p.pass(150 * time.Millisecond)
	if len(p.starts) != 2 {
		t.Fatalf("%d starts, want 2", len(p.starts))
	}
	if w.leaseEndBound > limit {
		t.Errorf("the lease outlasts the last contact by %v, want %v at most", w.leaseEndBound-limit+timing.Default().Horizon, timing.Default().Horizon)
	}
	if shortest := p.now + timing.MinLease - 150*time.Millisecond; w.leaseEndBound < shortest {
		t.Errorf("the lease ends %v before a hold is sure to be answered", shortest-w.leaseEndBound)
	}
}

// TestResubmissionWaitsForEarlierRun guards against a second run of a task whose job another host submits
// again while the run of the earlier submission goes on: until the host of the earlier one is known to be
// lost, and then until the lease of its worker has certainly ended.
func TestResubmissionWaitsForEarlierRun(t *testing.T) {
	p, w := newLongRun(32, 32)
	first := p.starts[0]
	p.step(Submit{Job: Job{
		Key: JobKey{Host: 2, Seq: 1}, Cell: "z", Left: 30 * time.Second, Spec: fleet.JobSpec{ID: "long1", Tasks: 1, Need: fleet.Resources{CPU: 27000, Memory: 64}, Estimate: 10 * time.Second},
		Route: fleet.Route{Name: "long", Service: "s", MaxAttempts: 3, SlackFactor: 1.6, ObjectiveOffset: time.Second},
	}})
	p.pass(200 * time.Millisecond)
	p.s.CancelJobsOfHost(p.now, 1) // the stop is never answered
	p.pass(w.leaseEndBound - p.now - 25*time.Millisecond)
	if p.now > w.leaseEndBound || len(p.starts) != 1 {
		t.Fatalf("%d starts %v before the lease ends, want 1", len(p.starts), w.leaseEndBound-p.now)
	}
	delete(p.running[w.info.ID], first.Order.Run)
	p.pass(75 * time.Millisecond)
	if len(p.starts) != 2 {
		t.Errorf("%d starts after the lease has ended, want 2", len(p.starts))
	}
}

// newForeignRun returns a pool of two workers of which w0 has been taken with a run of its former commander, of the
// first task of the job "long1".
func newForeignRun() (*testPool, fleet.RunKey) {
	p := newTestPool(32, 32)
	foreign := fleet.RunKey{Task: fleet.Task{Job: "long1"}, Attempt: 1}
	p.running["w0"][foreign] = true
	p.step(TakeWorker{Worker: "w0", Cell: "z", Fence: 2})
	return p, foreign
}

// TestTaskWaitsForForeignRun guards against a start of a task that a worker still runs for a former
// commander, whose jobs this host knows nothing of.
func TestTaskWaitsForForeignRun(t *testing.T) {
	p, foreign := newForeignRun()
	p.submit(1, "long", 1, 5*time.Second)
	p.pass(200 * time.Millisecond)
	if len(p.starts) != 0 {
		t.Fatalf("%v is started on %s beside the run on w0", p.starts[0].Order.Run, p.starts[0].Worker.ID)
	}
	delete(p.running["w0"], foreign)
	p.pass(100 * time.Millisecond)
	if len(p.starts) != 1 {
		t.Errorf("%d starts after the foreign run has ended, want 1", len(p.starts))
	}
}
