package entry

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/sched"
)

// slowWorker is a worker that accepts every start, the first one after a delay.
type slowWorker struct {
	*httptest.Server
	calls, connections atomic.Int64
}

func newSlowWorker(t *testing.T, delay time.Duration) *slowWorker {
	s := &slowWorker{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if s.calls.Add(1) == 1 {
			time.Sleep(delay)
		}
		_, _ = w.Write([]byte(`{"clockMs":7}`))
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.connections.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// TestLateAnswerIsPassedOn guards against a call that is cut off when its answer is slow. The missing
// answer is reported at the timeout, and the answer itself when it comes. Other connections to the
// worker, on which answers come in the meantime, stay open.
func TestLateAnswerIsPassedOn(t *testing.T) {
	const timeout, delay, pause = 100 * time.Millisecond, 300 * time.Millisecond, 30 * time.Millisecond
	server := newSlowWorker(t, delay)
	events := make(chan any, 10)
	c := newWorkerCaller(newMetrics(), func(ev any) { events <- ev })
	next := func() fleet.Verdict {
		return (<-events).(host.WorkerEvent).Event.(sched.StartReply).Reply.Verdict
	}
	order := sched.StartRun{Worker: fleet.Worker{ID: "w", Addr: server.Listener.Addr().String()}, CallLimits: sched.CallLimits{Timeout: timeout, Limit: time.Second}}
	order.Decided = sinceBoot()
	c.start(order) // slow
	for server.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	order.Decided = sinceBoot()
	c.start(order)
	for i, want := range []fleet.Verdict{fleet.Accepted, fleet.NoAnswer, fleet.Accepted} {
		if got := next(); got != want {
			t.Fatalf("answer %d is %v, want %v", i, got, want)
		}
	}
	time.Sleep(pause) // until both connections are idle
	order.Decided = sinceBoot()
	c.start(order)
	if got := next(); got != fleet.Accepted {
		t.Errorf("the third call came to %v", got)
	}
	if n := server.connections.Load(); n != 2 {
		t.Errorf("%d connections, want the 2 of the first calls", n)
	}
}

// TestSilentWorkerLosesIdleConnections guards against calls on connections that have gone silent for
// good: after a call without an answer, the next one opens a new connection.
func TestSilentWorkerLosesIdleConnections(t *testing.T) {
	server := newSlowWorker(t, 0)
	addr := server.Listener.Addr().String()
	events := make(chan any, 10)
	c := newWorkerCaller(newMetrics(), func(ev any) { events <- ev })
	order := sched.StartRun{Worker: fleet.Worker{ID: "w", Addr: addr}, CallLimits: sched.CallLimits{Decided: sinceBoot(), Timeout: time.Second, Limit: time.Second}}
	c.start(order)
	<-events
	time.Sleep(30 * time.Millisecond) // until the connection is idle
	c.transport.closeIdleIfSilent(addr, sinceBoot())
	c.start(order)
	<-events
	if n := server.connections.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// TestPausedProcessMakesNoLateCall guards against an order that leaves a process which was paused after
// the decision: the lease in the order is reckoned on the clock of a process of the worker that may be
// gone, and a later process would take it for a longer one.
func TestPausedProcessMakesNoLateCall(t *testing.T) {
	server := newSlowWorker(t, 0)
	events := make(chan any, 10)
	c := newWorkerCaller(newMetrics(), func(ev any) { events <- ev })
	limits := sched.CallLimits{Decided: sinceBoot() - 2*time.Second, Timeout: 80 * time.Millisecond, Limit: time.Second}
	c.start(sched.StartRun{Worker: fleet.Worker{ID: "w", Addr: server.Listener.Addr().String()}, CallLimits: limits})
	reply := (<-events).(host.WorkerEvent).Event.(sched.StartReply).Reply
	if reply.Verdict != fleet.NoAnswer || server.calls.Load() != 0 {
		t.Errorf("%v after %d calls, want no answer and no call", reply.Verdict, server.calls.Load())
	}
}
