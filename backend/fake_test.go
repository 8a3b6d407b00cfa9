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

// minion is a fake back end on raw TCP that counts how often each task starts.
type minion struct {
	address string
	conns   atomic.Int64
	frozen  sync.RWMutex // while locked, the minion is silent; bytes wait in the network
	mu      sync.Mutex
	starts  map[string]int
	// header, if set, runs before the body is asked for; false ends the connection.
	header func(x *exchange) bool
	// body runs when the body has arrived; false ends the connection.
	body func(x *exchange) bool
}

// exchange is one request that a minion serves.
type exchange struct {
	*http.Request
	minion *minion
	conn   *net.TCPConn
	number int64 // of the connection, from 1
}

func newMinion(t testing.TB, body func(x *exchange) bool) *minion {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	m := &minion{address: listener.Addr().String(), starts: make(map[string]int), body: body}
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

func (m *minion) serve(c *net.TCPConn, number int64) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		m.awaitThaw()
		x := &exchange{r, m, c, number}
		if err != nil || m.header != nil && !m.header(x) {
			return
		}
		if r.Header.Get("Expect") != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !m.body(x) {
			return
		}
	}
}

// awaitThaw blocks while the minion is silent.
func (m *minion) awaitThaw() {
	m.frozen.RLock()
	defer m.frozen.RUnlock()
}

// started returns the number of starts of a task.
func (m *minion) started(index int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts[fmt.Sprintf("t/%d", index)]
}

// start counts a start of the task.
func (x *exchange) start() {
	x.minion.mu.Lock()
	defer x.minion.mu.Unlock()
	x.minion.starts[strings.TrimPrefix(x.URL.Path, "/v1/tasks/")]++
}

// send writes an answer with the given result. The fields replace those of a correct
// answer, or remove them if empty.
func (x *exchange) send(status int, result string, fields map[string]string) bool {
	all := map[string]string{
		HeaderTask:       x.Header.Get(HeaderTask),
		HeaderAttempt:    x.Header.Get(HeaderAttempt),
		HeaderDigest:     Digest([]byte(result)),
		HeaderLoad:       "3",
		"Content-Length": fmt.Sprint(len(result)),
	}
	for key, value := range fields {
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

// refuse proves that the task did not run.
func (x *exchange) refuse() bool {
	return x.send(http.StatusServiceUnavailable, "", map[string]string{HeaderNotRun: NotRunBusy})
}

// complete runs the task and answers correctly.
func complete(x *exchange) bool {
	x.start()
	return x.send(http.StatusOK, payload, nil)
}

// after completes each task but those with the given suffix, which start and then end
// as given.
func after(suffix string, end func(x *exchange) bool) func(x *exchange) bool {
	return func(x *exchange) bool {
		if !strings.HasSuffix(x.URL.Path, suffix) {
			return complete(x)
		}
		x.start()
		return end(x)
	}
}

func newClient(t testing.TB, opts Options) *Client {
	c := New(opts)
	t.Cleanup(c.Close)
	return c
}

// start returns an attempt of the task with the given index.
func start(m *minion, index, attempt int, remaining time.Duration) dispatch.StartAttempt {
	return dispatch.StartAttempt{
		Task:      dispatch.TaskRef{Ticket: "t", Index: index},
		Attempt:   attempt,
		Kind:      "quote",
		Endpoint:  place.Endpoint{ID: "m", Address: m.address},
		Payload:   []byte(payload),
		Remaining: remaining,
	}
}

func run(c *Client, m *minion, index int, remaining time.Duration) dispatch.AttemptEnded {
	return c.Run(context.Background(), start(m, index, 1, remaining))
}

func expect(t *testing.T, got dispatch.AttemptEnded, outcome dispatch.AttemptOutcome, reason Reason) {
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

// warm leaves an idle connection to the minion in the client's pool.
func warm(t *testing.T, c *Client, m *minion) {
	t.Helper()
	got := run(c, m, 1000, time.Second)
	expect(t, got, dispatch.AttemptCompleted, ReasonOK)
	if string(got.Result) != payload || got.Load != 3 {
		t.Fatalf("result %s, load %d", got.Result, got.Load)
	}
	time.Sleep(20 * time.Millisecond)
}
