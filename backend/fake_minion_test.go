package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/place"
)

// payload is the body of every task and of a correct answer.
const payload = `{"n":1}`

// fakeMinion is a minion on raw TCP that counts how often each task starts.
type fakeMinion struct {
	address      string
	conns        atomic.Int64
	silenced     sync.RWMutex // while locked, the minion neither reads nor answers; bytes wait in the network
	mu           sync.Mutex
	startsByTask map[string]int
	// onHeader, if set, runs before the minion asks for the body; false ends the connection.
	onHeader func(x *exchange) bool
	// onBody runs when the body has arrived; false ends the connection.
	onBody func(x *exchange) bool
}

// exchange is one request to a fakeMinion and the connection for its answer.
type exchange struct {
	*http.Request
	minion     *fakeMinion
	conn       *net.TCPConn
	connNumber int64 // counts from 1
}

func newFakeMinion(t testing.TB, onBody func(x *exchange) bool) *fakeMinion {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	m := &fakeMinion{address: listener.Addr().String(), startsByTask: make(map[string]int), onBody: onBody}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go m.serve(c.(*net.TCPConn), m.conns.Add(1))
		}
	}()
	return m
}

func (m *fakeMinion) serve(c *net.TCPConn, connNumber int64) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		m.waitWhileSilenced()
		x := &exchange{r, m, c, connNumber}
		if err != nil || m.onHeader != nil && !m.onHeader(x) {
			return
		}
		if r.Header.Get("Expect") != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !m.onBody(x) {
			return
		}
	}
}

// waitWhileSilenced blocks while m.silenced is locked.
func (m *fakeMinion) waitWhileSilenced() {
	m.silenced.RLock()
	defer m.silenced.RUnlock()
}

// startCount returns how often the task with the given index has started.
func (m *fakeMinion) startCount(index int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startsByTask[fmt.Sprintf("t/%d", index)]
}

// recordStart counts a start of the task.
func (x *exchange) recordStart() {
	x.minion.mu.Lock()
	defer x.minion.mu.Unlock()
	x.minion.startsByTask[strings.TrimPrefix(x.URL.Path, "/v1/tasks/")]++
}

// sendAnswer writes an answer with the given result. The given headers replace those of a correct answer;
// an empty value removes the header.
func (x *exchange) sendAnswer(status int, result string, headers map[string]string) bool {
	all := map[string]string{
		HeaderTask:       x.Header.Get(HeaderTask),
		HeaderAttempt:    x.Header.Get(HeaderAttempt),
		HeaderDigest:     Digest([]byte(result)),
		HeaderLoad:       "3",
		"Content-Length": fmt.Sprint(len(result)),
	}
	for key, value := range headers {
		all[key] = value
	}
	var out strings.Builder
	fmt.Fprintf(&out, "HTTP/1.1 %d x\r\n", status)
	for key, value := range all {
		if value != "" {
			fmt.Fprintf(&out, "%s: %s\r\n", key, value)
		}
	}
	_, err := io.WriteString(x.conn, out.String()+"\r\n"+result)
	return err == nil
}

// refuseAsBusy answers that the task did not run because the minion is busy.
func (x *exchange) refuseAsBusy() bool {
	return x.sendAnswer(http.StatusServiceUnavailable, "", map[string]string{HeaderNotRun: NotRunBusy})
}

// runAndAnswer starts the task and sends a correct answer.
func runAndAnswer(x *exchange) bool {
	x.recordStart()
	return x.sendAnswer(http.StatusOK, payload, nil)
}

// completeAllBut completes each task except those whose path has the given suffix: these start, and then
// end is called.
func completeAllBut(suffix string, end func(x *exchange) bool) func(x *exchange) bool {
	return func(x *exchange) bool {
		if !strings.HasSuffix(x.URL.Path, suffix) {
			return runAndAnswer(x)
		}
		x.recordStart()
		return end(x)
	}
}

func newClient(t testing.TB, opts Options) *Client {
	c := New(opts)
	t.Cleanup(c.Close)
	return c
}

// newStartAttempt returns an attempt of the task with the given index.
func newStartAttempt(m *fakeMinion, index, attempt int, remaining time.Duration) dispatch.StartAttempt {
	return dispatch.StartAttempt{
		Task:      dispatch.TaskRef{Ticket: "t", Index: index},
		Attempt:   attempt,
		Kind:      "quote",
		Endpoint:  place.Endpoint{ID: "m", Address: m.address},
		Payload:   []byte(payload),
		Remaining: remaining,
	}
}

// runTask makes the first attempt of a task.
func runTask(c *Client, m *fakeMinion, index int, remaining time.Duration) dispatch.AttemptEnded {
	return c.Run(context.Background(), newStartAttempt(m, index, 1, remaining))
}

func expectOutcome(t *testing.T, got dispatch.AttemptEnded, outcome dispatch.AttemptOutcome, reason Reason) {
	t.Helper()
	if got.Outcome != outcome || got.Reason != string(reason) {
		t.Fatalf("got %s/%s, want %s/%s", outcomeNames[got.Outcome], got.Reason, outcomeNames[outcome], reason)
	}
}

func expectStarts(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Fatalf("the task started %d times, want %d", got, want)
	}
}

// leaveIdleConn completes a task, which leaves an idle connection to the minion in the client's pool.
func leaveIdleConn(t *testing.T, c *Client, m *fakeMinion) {
	t.Helper()
	got := runTask(c, m, 1000, time.Second)
	expectOutcome(t, got, dispatch.AttemptCompleted, ReasonOK)
	if string(got.Result) != payload || got.ReportedLoad != 3 {
		t.Fatalf("result %s, load %d", got.Result, got.ReportedLoad)
	}
	time.Sleep(20 * time.Millisecond)
}
