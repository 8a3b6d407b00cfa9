package backend

import (
	"context"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
)

// runOnSilentIdleConn runs a task on a reused connection to a minion that has stopped responding. If the
// task is reported as not started, it runs it on a second minion. It then lets the first minion respond
// again, and returns the first outcome and the total number of starts on both minions.
func runOnSilentIdleConn(t *testing.T, opts Options) (dispatch.AttemptEnded, int) {
	first, second := newFakeMinion(t, runAndAnswer), newFakeMinion(t, runAndAnswer)
	c := newClient(t, opts)
	leaveIdleConn(t, c, first)
	first.silenced.Lock()
	got := runTask(c, first, 1, 400*time.Millisecond)
	if got.ServiceTime > 600*time.Millisecond {
		t.Errorf("service %v, over the time that remained", got.ServiceTime)
	}
	if got.Outcome == dispatch.AttemptNotStarted {
		again := c.Run(context.Background(), newStartAttempt(second, 1, 2, time.Second))
		expectOutcome(t, again, dispatch.AttemptCompleted, ReasonOK)
	}
	first.silenced.Unlock()
	time.Sleep(50 * time.Millisecond)
	return got, first.startCount(1) + second.startCount(1)
}

// expectContinueSoon returns options that require 100-continue after the idle time that leaveIdleConn leaves.
func expectContinueSoon(f faults) Options {
	return Options{ExpectContinueAfterIdle: 10 * time.Millisecond, ContinueTimeout: 100 * time.Millisecond, faults: f}
}

// TestSilentIdleConnection guards against a task that is lost or started twice when the minion behind an
// idle connection has stopped responding.
func TestSilentIdleConnection(t *testing.T) {
	got, starts := runOnSilentIdleConn(t, expectContinueSoon(faults{}))
	expectOutcome(t, got, dispatch.AttemptNotStarted, ReasonNoContinue)
	expectStarts(t, starts, 1)
	if got.ServiceTime > 250*time.Millisecond {
		t.Fatalf("the wait for 100-continue took %v", got.ServiceTime)
	}
}

// TestSilentIdleConnectionWithoutContinue checks that TestSilentIdleConnection fails without the wait for
// 100-continue, and guards against a second attempt without it.
func TestSilentIdleConnectionWithoutContinue(t *testing.T) {
	got, starts := runOnSilentIdleConn(t, Options{ExpectContinueAfterIdle: -1})
	expectOutcome(t, got, dispatch.AttemptUnknown, ReasonDeadline)
	expectStarts(t, starts, 1)
}

// TestSilentIdleConnectionUntrackedBody checks that TestSilentIdleConnection would see a body that net/http
// sends after its own ExpectContinueTimeout: the task then starts twice.
func TestSilentIdleConnectionUntrackedBody(t *testing.T) {
	_, starts := runOnSilentIdleConn(t, expectContinueSoon(faults{untrackedBody: true}))
	expectStarts(t, starts, 2)
}

// TestContinueOnLiveIdleConnection guards against a task that is refused or lost because a live idle
// connection answers 100-continue, and against a wait for it on connections in steady use.
func TestContinueOnLiveIdleConnection(t *testing.T) {
	m := newFakeMinion(t, runAndAnswer)
	c := newClient(t, Options{ExpectContinueAfterIdle: 200 * time.Millisecond})
	for range 5 {
		leaveIdleConn(t, c, m)
	}
	time.Sleep(250 * time.Millisecond)
	expectOutcome(t, runTask(c, m, 1, time.Second), dispatch.AttemptCompleted, ReasonOK)
	expectStarts(t, m.startCount(1), 1)
	got := c.Counters()
	if got.ContinueWaits != 1 || got.Dials != 1 || got.TaskMessages != 6 || got.Outcomes["completed/ok"] != 6 {
		t.Fatalf("counters %+v", got)
	}
}

// TestRefusalInsteadOfContinue guards against a refusal in place of 100-continue that counts as a possible
// start.
func TestRefusalInsteadOfContinue(t *testing.T) {
	m := newFakeMinion(t, runAndAnswer)
	c := newClient(t, expectContinueSoon(faults{}))
	leaveIdleConn(t, c, m)
	m.onHeader = func(x *exchange) bool { return x.refuseAsBusy() && false }
	expectOutcome(t, runTask(c, m, 1, time.Second), dispatch.AttemptNotStarted, ReasonBusy)
	expectStarts(t, m.startCount(1), 0)
}

// TestSilentBusyConnection guards against "not started" when the minion stops responding after the body may
// have been sent.
func TestSilentBusyConnection(t *testing.T) {
	m := newFakeMinion(t, runAndAnswer)
	c := newClient(t, Options{})
	m.silenced.Lock()
	expectOutcome(t, runTask(c, m, 1, 100*time.Millisecond), dispatch.AttemptUnknown, ReasonDeadline)
	m.silenced.Unlock()
	time.Sleep(50 * time.Millisecond)
	expectStarts(t, m.startCount(1), 1)
}

// answerLate answers a task after a delay of 200 ms.
func answerLate(x *exchange) bool {
	time.Sleep(200 * time.Millisecond)
	return x.sendAnswer(200, payload, nil)
}

// TestLateAnswer guards against an answer after the deadline that is reported, or taken for the answer of
// the next task.
func TestLateAnswer(t *testing.T) {
	m := newFakeMinion(t, completeAllBut("/1", answerLate))
	c := newClient(t, Options{ConnsPerMinion: 1})
	expectOutcome(t, runTask(c, m, 1, 50*time.Millisecond), dispatch.AttemptUnknown, ReasonDeadline)
	expectOutcome(t, runTask(c, m, 2, time.Second), dispatch.AttemptCompleted, ReasonOK)
	expectStarts(t, m.startCount(1), 1)
}

// TestWaitForConnection guards against counting the wait for a connection as service time of the minion,
// and against reporting a task that waited in vain as possibly started.
func TestWaitForConnection(t *testing.T) {
	m := newFakeMinion(t, completeAllBut("/1", answerLate))
	c := newClient(t, Options{ConnsPerMinion: 1})
	done := make(chan dispatch.AttemptEnded, 2)
	go func() { done <- runTask(c, m, 1, time.Second) }()
	time.Sleep(20 * time.Millisecond)
	go func() { done <- runTask(c, m, 2, time.Second) }()
	got := runTask(c, m, 3, 50*time.Millisecond)
	expectOutcome(t, got, dispatch.AttemptNotStarted, ReasonNoFreeConn)
	if got.ServiceTime != 0 {
		t.Fatalf("service %v without a connection", got.ServiceTime)
	}
	for range 2 {
		got := <-done
		expectOutcome(t, got, dispatch.AttemptCompleted, ReasonOK)
		if got.Task.Index == 2 && got.ServiceTime > 100*time.Millisecond {
			t.Fatalf("service %v includes the wait", got.ServiceTime)
		}
	}
	expectStarts(t, m.startCount(3), 0)
}
