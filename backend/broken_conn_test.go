package backend

import (
	"io"
	"net"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
)

// connEnds holds the ways in which a minion ends a connection.
var connEnds = map[string]func(x *exchange) bool{
	"closed": func(*exchange) bool { return false },
	"half-closed": func(x *exchange) bool {
		_ = x.conn.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		return false
	},
	"crashed": func(x *exchange) bool {
		_ = x.conn.SetLinger(0)
		return false
	},
	"crashed within the answer": func(x *exchange) bool {
		_, _ = io.WriteString(x.conn, "HTTP/1.1 200 OK\r\nSesameledge-Task: t")
		time.Sleep(20 * time.Millisecond)
		_ = x.conn.SetLinger(0)
		return false
	},
}

// TestReusedConnectionEndsAfterBody guards against a second start through a resend by net/http when a
// reused connection ends after the body has arrived.
func TestReusedConnectionEndsAfterBody(t *testing.T) {
	for name, end := range connEnds {
		t.Run(name, func(t *testing.T) {
			m := newFakeMinion(t, completeAllBut("/1", end))
			c := newClient(t, Options{})
			leaveIdleConn(t, c, m)
			expectOutcome(t, runTask(c, m, 1, 300*time.Millisecond), dispatch.AttemptUnknown, ReasonConnBroken)
			expectStarts(t, m.startCount(1), 1)
		})
	}
}

// TestReusedConnectionResendDetected checks that TestReusedConnectionEndsAfterBody would see a resend by
// net/http: with resends allowed, the task starts twice.
func TestReusedConnectionResendDetected(t *testing.T) {
	for _, name := range []string{"closed", "half-closed", "crashed"} {
		t.Run(name, func(t *testing.T) {
			m := newFakeMinion(t, nil)
			m.onBody = completeAllBut("/1", func(x *exchange) bool {
				if x.connNumber > 1 {
					return x.sendAnswer(200, payload, nil)
				}
				return connEnds[name](x)
			})
			c := newClient(t, Options{faults: faults{resend: true}})
			leaveIdleConn(t, c, m)
			runTask(c, m, 1, 300*time.Millisecond)
			expectStarts(t, m.startCount(1), 2)
		})
	}
}

// TestReusedConnectionEndsBeforeBody guards against a resend, and against an unfounded "not started", when
// a reused connection ends after the header and before the minion has read the body.
func TestReusedConnectionEndsBeforeBody(t *testing.T) {
	m := newFakeMinion(t, runAndAnswer)
	c := newClient(t, Options{})
	leaveIdleConn(t, c, m)
	m.onHeader = func(*exchange) bool { return false }
	expectOutcome(t, runTask(c, m, 1, time.Second), dispatch.AttemptUnknown, ReasonConnBroken)
	if n := m.conns.Load(); n != 1 {
		t.Fatalf("%d connections, want 1", n)
	}
}

// TestIdleConnectionEnded guards against a lost task when an idle connection was closed or half-closed:
// the client has to open a new one.
func TestIdleConnectionEnded(t *testing.T) {
	for _, name := range []string{"closed", "half-closed"} {
		t.Run(name, func(t *testing.T) {
			m := newFakeMinion(t, func(x *exchange) bool { return runAndAnswer(x) && connEnds[name](x) })
			c := newClient(t, Options{})
			leaveIdleConn(t, c, m)
			expectOutcome(t, runTask(c, m, 1, time.Second), dispatch.AttemptCompleted, ReasonOK)
			expectStarts(t, m.startCount(1), 1)
		})
	}
}

// TestDialRefused guards against a refused connection that counts as a possible start or as a message.
func TestDialRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	c := newClient(t, Options{})
	got := runTask(c, &fakeMinion{address: listener.Addr().String()}, 1, time.Second)
	expectOutcome(t, got, dispatch.AttemptNotStarted, ReasonNoConnection)
	if got.ServiceTime != 0 || c.Counters().TaskMessages != 0 {
		t.Fatalf("service %v, counters %+v", got.ServiceTime, c.Counters())
	}
}
