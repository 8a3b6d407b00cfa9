package backend

import (
	"io"
	"net"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
)

// ends are the ways in which a minion ends a connection.
var ends = map[string]func(x *exchange) bool{
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

// Guards against a second start by net/http's own resend when a reused connection ends
// after the body has arrived.
func TestReusedConnectionEndsAfterBody(t *testing.T) {
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			m := newMinion(t, after("/1", end))
			c := newClient(t, Options{})
			warm(t, c, m)
			expect(t, run(c, m, 1, 300*time.Millisecond), dispatch.AttemptUnknown, ReasonConnBroken)
			expectStarts(t, m.started(1), 1)
		})
	}
}

// Guards against a test above that passes although net/http resends.
func TestReusedConnectionEndsAfterBodyResendOn(t *testing.T) {
	for _, name := range []string{"closed", "half-closed", "crashed"} {
		t.Run(name, func(t *testing.T) {
			m := newMinion(t, nil)
			m.body = after("/1", func(x *exchange) bool {
				if x.number > 1 {
					return x.send(200, payload, nil)
				}
				return ends[name](x)
			})
			c := newClient(t, Options{faults: faults{resend: true}})
			warm(t, c, m)
			run(c, m, 1, 300*time.Millisecond)
			expectStarts(t, m.started(1), 2)
		})
	}
}

// Guards against a resend, and a "not started" without proof, when a reused connection
// ends after the header and before the minion has taken the body.
func TestReusedConnectionEndsBeforeBody(t *testing.T) {
	m := newMinion(t, complete)
	c := newClient(t, Options{})
	warm(t, c, m)
	m.header = func(*exchange) bool { return false }
	expect(t, run(c, m, 1, time.Second), dispatch.AttemptUnknown, ReasonConnBroken)
	if n := m.conns.Load(); n != 1 {
		t.Fatalf("%d connections, want 1", n)
	}
}

// Guards against a lost task when an idle connection was closed or half-closed: the
// client has to use a new one.
func TestIdleConnectionEnded(t *testing.T) {
	for _, name := range []string{"closed", "half-closed"} {
		t.Run(name, func(t *testing.T) {
			m := newMinion(t, func(x *exchange) bool { return complete(x) && ends[name](x) })
			c := newClient(t, Options{})
			warm(t, c, m)
			expect(t, run(c, m, 1, time.Second), dispatch.AttemptCompleted, ReasonOK)
			expectStarts(t, m.started(1), 1)
		})
	}
}

// Guards against a refused dial that counts as a possible start or as a message.
func TestDialRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	c := newClient(t, Options{})
	got := run(c, &minion{address: listener.Addr().String()}, 1, time.Second)
	expect(t, got, dispatch.AttemptNotStarted, ReasonNoConnection)
	if got.Service != 0 || c.Counters().TaskMessages != 0 {
		t.Fatalf("service %v, counters %+v", got.Service, c.Counters())
	}
}
