package backend

import (
	"context"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
)

// silentIdle runs one task on a reused connection that has gone silent, tries it on a
// second minion if it provably did not start, lets the network heal, and returns the
// first outcome and the starts on both minions.
func silentIdle(t *testing.T, opts Options) (dispatch.AttemptEnded, int) {
	first, second := newMinion(t, complete), newMinion(t, complete)
	c := newClient(t, opts)
	warm(t, c, first)
	first.frozen.Lock()
	got := run(c, first, 1, 400*time.Millisecond)
	if got.Service > 600*time.Millisecond {
		t.Errorf("service %v, over the time that remained", got.Service)
	}
	if got.Outcome == dispatch.AttemptNotStarted {
		again := c.Run(context.Background(), start(second, 1, 2, time.Second))
		expect(t, again, dispatch.AttemptCompleted, ReasonOK)
	}
	first.frozen.Unlock()
	time.Sleep(50 * time.Millisecond)
	return got, first.started(1) + second.started(1)
}

// proveSoon makes connections prove themselves after the idle time that warm leaves.
func proveSoon(f faults) Options {
	return Options{ProveIdleAfter: 10 * time.Millisecond, ProofTimeout: 100 * time.Millisecond, faults: f}
}

// Guards against a task lost or started twice on an idle connection that went silent.
func TestSilentIdleConnection(t *testing.T) {
	got, starts := silentIdle(t, proveSoon(faults{}))
	expect(t, got, dispatch.AttemptNotStarted, ReasonNoContinue)
	expectStarts(t, starts, 1)
	if got.Service > 250*time.Millisecond {
		t.Fatalf("proof took %v", got.Service)
	}
}

// Guards against a test above that passes without the proof, and against a second try
// without it.
func TestSilentIdleConnectionProofOff(t *testing.T) {
	got, starts := silentIdle(t, Options{ProveIdleAfter: -1})
	expect(t, got, dispatch.AttemptUnknown, ReasonDeadline)
	expectStarts(t, starts, 1)
}

// Guards against a test above that passes although net/http sends the body after its
// own ExpectContinueTimeout.
func TestSilentIdleConnectionGateOpen(t *testing.T) {
	_, starts := silentIdle(t, proveSoon(faults{openGate: true}))
	expectStarts(t, starts, 2)
}

// Guards against a task refused or lost because a live idle connection answers
// 100-continue, and against a proof on connections in steady use.
func TestProofOnLiveConnection(t *testing.T) {
	m := newMinion(t, complete)
	c := newClient(t, Options{ProveIdleAfter: 200 * time.Millisecond})
	for range 5 {
		warm(t, c, m)
	}
	time.Sleep(250 * time.Millisecond)
	expect(t, run(c, m, 1, time.Second), dispatch.AttemptCompleted, ReasonOK)
	expectStarts(t, m.started(1), 1)
	got := c.Counters()
	if got.Proofs != 1 || got.Dials != 1 || got.TaskMessages != 6 || got.Outcomes["completed/ok"] != 6 {
		t.Fatalf("counters %+v", got)
	}
}

// Guards against a refusal in place of 100-continue that counts as a possible start.
func TestRefusalInsteadOfContinue(t *testing.T) {
	m := newMinion(t, complete)
	c := newClient(t, proveSoon(faults{}))
	warm(t, c, m)
	m.header = func(x *exchange) bool { return x.refuse() && false }
	expect(t, run(c, m, 1, time.Second), dispatch.AttemptNotStarted, ReasonBusy)
	expectStarts(t, m.started(1), 0)
}

// Guards against a "not started" for a connection that goes silent once the body may
// have left.
func TestSilentBusyConnection(t *testing.T) {
	m := newMinion(t, complete)
	c := newClient(t, Options{})
	m.frozen.Lock()
	expect(t, run(c, m, 1, 100*time.Millisecond), dispatch.AttemptUnknown, ReasonDeadline)
	m.frozen.Unlock()
	time.Sleep(50 * time.Millisecond)
	expectStarts(t, m.started(1), 1)
}

// slow answers a task late.
func slow(x *exchange) bool {
	time.Sleep(200 * time.Millisecond)
	return x.send(200, payload, nil)
}

// Guards against an answer after the deadline that is reported, or that reaches the
// next task.
func TestLateAnswer(t *testing.T) {
	m := newMinion(t, after("/1", slow))
	c := newClient(t, Options{ConnsPerMinion: 1})
	expect(t, run(c, m, 1, 50*time.Millisecond), dispatch.AttemptUnknown, ReasonDeadline)
	expect(t, run(c, m, 2, time.Second), dispatch.AttemptCompleted, ReasonOK)
	expectStarts(t, m.started(1), 1)
}

// Guards against time spent waiting for a connection that counts as the minion's, and
// against a wait that ends as a possible start.
func TestWaitForConnection(t *testing.T) {
	m := newMinion(t, after("/1", slow))
	c := newClient(t, Options{ConnsPerMinion: 1})
	done := make(chan dispatch.AttemptEnded, 2)
	go func() { done <- run(c, m, 1, time.Second) }()
	time.Sleep(20 * time.Millisecond)
	go func() { done <- run(c, m, 2, time.Second) }()
	got := run(c, m, 3, 50*time.Millisecond)
	expect(t, got, dispatch.AttemptNotStarted, ReasonNoFreeConn)
	if got.Service != 0 {
		t.Fatalf("service %v without a connection", got.Service)
	}
	for range 2 {
		got := <-done
		expect(t, got, dispatch.AttemptCompleted, ReasonOK)
		if got.Task.Index == 2 && got.Service > 100*time.Millisecond {
			t.Fatalf("service %v includes the wait", got.Service)
		}
	}
	expectStarts(t, m.started(3), 0)
}
