package entry

import (
	"fmt"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/sched"
)

// testCaller is a caller with a connection to this process.
type testCaller struct {
	remote *net.TCPConn
	local  *net.TCPConn
	conn   syscall.RawConn // of local
}

// newCaller returns a caller that waits.
func newCaller(t *testing.T) *testCaller {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	remote, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	local, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = remote.Close(); _ = local.Close() })
	c := &testCaller{remote: remote.(*net.TCPConn), local: local.(*net.TCPConn)}
	if c.conn, err = c.local.SyscallConn(); err != nil {
		t.Fatal(err)
	}
	return c
}

// awaitClosed waits until the kernel knows that the caller has left.
func (c *testCaller) awaitClosed(t *testing.T) {
	t.Helper()
	for range 1000 {
		if !isOpen(c.conn) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the connection stays open")
}

// waysToLeave are the ways in which a caller's connection ends.
var waysToLeave = map[string]func(*testCaller){
	"reset":             func(c *testCaller) { _ = c.remote.SetLinger(0); _ = c.remote.Close() },
	"closed":            func(c *testCaller) { _ = c.remote.Close() },
	"half closed":       func(c *testCaller) { _ = c.remote.CloseWrite() },
	"next request sent": func(c *testCaller) { fmt.Fprint(c.remote, "GET / HTTP/1.1\r\n"); _ = c.remote.Close() },
	"closed here":       func(c *testCaller) { _ = c.local.Close() },
}

// stopClock makes the time of the looks at callers stand still.
func stopClock(l *loop) *clockReading {
	at := readClocks()
	l.callers.clocks = func() clockReading { return at }
	l.callers.awakeTime = func() time.Duration { return at.awake }
	return &at
}

// pass lets time pass on both clocks.
func (r *clockReading) pass(d time.Duration) {
	r.sinceBoot += d
	r.awake += d
}

// TestCallersThatLeftAreFoundBeforeEvents guards against a batch after a pause of the process whose events are applied
// before the loop has found out which callers have left: their tasks would be started again. The server's notices may
// come later, or never.
func TestCallersThatLeftAreFoundBeforeEvents(t *testing.T) {
	for name, leave := range waysToLeave {
		t.Run(name, func(t *testing.T) {
			l, _ := newTestLoop()
			clock := stopClock(l)
			stays, leaves := newCaller(t), newCaller(t)
			answers := make([]chan host.Answer, 2)
			for i, c := range []*testCaller{stays, leaves} {
				answers[i] = make(chan host.Answer, 1)
				l.applyBatch(jobArrival{event: host.JobArrived{Spec: fleet.JobSpec{ID: "a", Tasks: 1}, Remaining: time.Minute}, conn: c.conn, seq: make(chan uint64, 1), answer: answers[i]})
			}
			leave(leaves)
			leaves.awaitClosed(t)
			if events := l.checkCallers(); len(events) != 0 {
				t.Errorf("a look at once after another one: %v", events)
			}
			clock.pass(callerCheckInterval)
			if events, want := l.checkCallers(), []host.Event{host.CallerGone{Seq: 2}, host.CallersSeen{At: clock.sinceBoot}}; !slices.Equal(events, want) {
				t.Errorf("the look has shown %v, want %v", events, want)
			}
			if _, waits := <-answers[1]; waits || len(l.callers.waiting) != 1 {
				t.Errorf("%d callers wait, want the one that has not left", len(l.callers.waiting))
			}
		})
	}
}

// TestJobOfCallerThatLeftInQueueIsRefused guards against a job that has waited in the queue of the event loop while
// the process was paused, and that is started although its caller has left meanwhile.
func TestJobOfCallerThatLeftInQueueIsRefused(t *testing.T) {
	l, _ := newTestLoop()
	c, answer := newCaller(t), make(chan host.Answer, 1)
	l.events <- jobArrival{event: host.JobArrived{Spec: fleet.JobSpec{ID: "a", Tasks: 1}, Remaining: time.Minute}, conn: c.conn, seq: make(chan uint64, 1), answer: answer}
	_ = c.remote.Close()
	c.awaitClosed(t)
	l.applyBatch(host.Tick{})
	if a := <-answer; a.Outcome != sched.Refused || l.state.OpenJobs() != 0 {
		t.Errorf("%d open jobs; the caller was told %v, want refused", l.state.OpenJobs(), a.Outcome)
	}
}

// TestSuspensionEndsWaits guards against a host that believes, after its machine was suspended, that callers wait whose
// closing segments have found no machine.
func TestSuspensionEndsWaits(t *testing.T) {
	l, _ := newTestLoop()
	clock := stopClock(l)
	arrive(t, l, "a")
	clock.pass(time.Second)
	clock.sinceBoot += time.Second
	if events := l.checkCallers(); !slices.Contains(events, host.Event(host.CallerGone{Seq: 1})) {
		t.Errorf("the look after a suspension has shown %v", events)
	}
	arrive(t, l, "b")
	clock.pass(time.Second)
	if events := l.checkCallers(); len(events) != 1 || len(l.callers.waiting) != 1 {
		t.Errorf("the next look has shown %v", events)
	}
}
