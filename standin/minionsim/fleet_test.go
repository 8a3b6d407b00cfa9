package minionsim

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/backend"
)

func startFleet(t *testing.T, cfg Config) (*Fleet, *Minion) {
	t.Helper()
	cfg.Spread = -1
	f := New(cfg)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f, f.Minions[0]
}

type outcome struct {
	status int
	header http.Header
	body   string
	err    error
}

func (o outcome) notRun() string { return o.header.Get(backend.HeaderNotRun) }

// send posts one task of ticket "t" and waits up to the limit for the answer.
func send(c *http.Client, m *Minion, index int, payload string, limit time.Duration) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/tasks/t/%d", m.Host().Address, index)
	req, err := http.NewRequestWithContext(ctx, "POST", url, strings.NewReader(payload))
	if err != nil {
		return outcome{err: err}
	}
	req.GetBody = nil // net/http must not resend the task by itself
	req.Header.Set(backend.HeaderAttempt, "7")
	req.Header.Set(backend.HeaderDeadlineMS, strconv.FormatInt(limit.Milliseconds(), 10))
	resp, err := c.Do(req)
	if err != nil {
		return outcome{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return outcome{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func newClient(t *testing.T) *http.Client {
	tr := &http.Transport{}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

// Guards against a fault switch that does nothing or does something else, which would
// make the failure tests of the product pass without the failure.
func TestFaultsChangeTheResponse(t *testing.T) {
	f, m := startFleet(t, Config{})
	c := newClient(t)
	intact := func(o outcome) bool {
		h := o.header
		return o.err == nil && o.status == 200 && h.Get(backend.HeaderDigest) == digest([]byte(o.body)) &&
			strings.HasPrefix(h.Get(backend.HeaderTask), "t/") && h.Get(backend.HeaderAttempt) == "7" &&
			h.Get(backend.HeaderSlots) == "8"
	}
	ownTask := func(o outcome, index int) bool { return o.header.Get(backend.HeaderTask) == fmt.Sprintf("t/%d", index) }
	cases := []struct {
		fault  Fault
		starts int
		check  func(o outcome, index int) bool
	}{
		{FaultNone, 1, func(o outcome, i int) bool { return intact(o) && ownTask(o, i) }},
		{FaultFailFast, 1, func(o outcome, i int) bool { return o.status == 500 && ownTask(o, i) }},
		{FaultCrash, 1, func(o outcome, _ int) bool { return o.err != nil }},
		{FaultBusy, 0, func(o outcome, _ int) bool { return o.status == 503 && o.notRun() == backend.NotRunBusy }},
		{FaultLate, 1, func(o outcome, _ int) bool { return o.err != nil && strings.Contains(o.err.Error(), "deadline") }},
		{FaultTruncated, 1, func(o outcome, i int) bool { return o.err == nil && o.status == 200 && !intact(o) && ownTask(o, i) }},
		{FaultCutShort, 1, func(o outcome, _ int) bool { return o.err != nil && o.status == 200 }},
		{FaultCrossed, 1, func(o outcome, i int) bool { return intact(o) && !ownTask(o, i) }},
		{FaultNone, 1, func(o outcome, i int) bool { return intact(o) && ownTask(o, i) }},
	}
	for i, tc := range cases {
		if err := f.SetFault(FaultRequest{Minion: m.ID, Fault: tc.fault, DelayMS: 5000}); err != nil {
			t.Fatal(err)
		}
		o := send(c, m, i, `{"run_ms":5,"echo":"hello"}`, 2*time.Second)
		if !tc.check(o, i) {
			t.Errorf("fault %s: %+v", tc.fault, o)
		}
		if got := f.Starts().Tickets["t"][i]; got != tc.starts {
			t.Errorf("fault %s: %d starts, want %d", tc.fault, got, tc.starts)
		}
	}
	if totals := f.Starts().Totals; totals.DoubleStarts != 0 || totals.TaskMessages != len(cases) {
		t.Errorf("totals %+v", totals)
	}
	send(c, m, 0, `{}`, time.Second)
	if totals := f.Starts().Totals; totals.DoubleStarts != 1 {
		t.Errorf("a second start of a task was not counted: %+v", totals)
	}
}

// Guards against counting a queued task as started, starting a cancelled task, and
// a cancelled running task that keeps its slot.
func TestCancelDropsQueuedAndStopsRunning(t *testing.T) {
	f, m := startFleet(t, Config{Slots: 1})
	c := newClient(t)
	results := make(map[int]chan outcome)
	for i := range 2 {
		results[i] = make(chan outcome, 1)
		go func() { results[i] <- send(c, m, i, `{"run_ms":60000}`, 8*time.Second) }()
		waitFor(t, "the task arrived", func() bool { v := m.View(); return v.Running+v.Queued == i+1 })
	}
	if totals := f.Starts().Totals; totals.Starts != 1 {
		t.Fatalf("%d starts with one slot", totals.Starts)
	}
	url := "http://" + m.Host().Address + backend.PathCancel
	body := `{"tasks":[{"ticket":"t","index":1},{"ticket":"t","index":0},{"ticket":"t","index":2}]}`
	resp, err := c.Post(url, "application/json", bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if o := <-results[1]; o.notRun() != backend.NotRunCancelled {
		t.Errorf("queued task: %+v", o)
	}
	if o := <-results[0]; o.status != 500 {
		t.Errorf("running task: %+v", o)
	}
	if o := send(c, m, 2, `{}`, time.Second); o.notRun() != backend.NotRunCancelled {
		t.Errorf("task that arrived after its cancellation: %+v", o)
	}
	if s := f.Starts(); s.Totals.Starts != 1 || s.Totals.CancelMessage != 1 {
		t.Errorf("totals %+v", s.Totals)
	}
}

// Guards against silence that ends, or that also affects new connections.
func TestSilentFaultAffectsOpenConnectionsOnly(t *testing.T) {
	f, m := startFleet(t, Config{Connections: 1})
	idle := newClient(t)
	send(idle, m, 0, `{}`, time.Second)
	if err := f.SetFault(FaultRequest{Minion: "*", Fault: FaultSilent}); err != nil {
		t.Fatal(err)
	}
	if o := send(idle, m, 1, `{}`, 300*time.Millisecond); o.err == nil {
		t.Errorf("silent connection answered: %+v", o)
	}
	if n := f.Starts().Tickets["t"][1]; n != 0 {
		t.Errorf("task on a silent connection started %d times", n)
	}
	if o := send(newClient(t), m, 2, `{}`, time.Second); o.status != 200 {
		t.Errorf("new connection: %+v", o)
	}
}

// Guards against a connection limit that is not enforced or never frees.
func TestConnectionLimit(t *testing.T) {
	f, m := startFleet(t, Config{Connections: 1})
	held, err := net.Dial("tcp", m.Host().Address)
	if err != nil {
		t.Fatal(err)
	}
	if o := send(newClient(t), m, 0, `{}`, time.Second); o.err == nil {
		t.Errorf("connection above the limit was served: %+v", o)
	}
	_ = held.Close()
	waitFor(t, "the connection is freed", func() bool {
		return send(newClient(t), m, 1, `{}`, time.Second).status == 200
	})
	if f.Starts().Totals.ConnsRefused == 0 {
		t.Error("refused connections were not counted")
	}
}

// Guards against a restarted minion that keeps its identity or its queued tasks.
func TestCrashForgetsTasksAndIdentity(t *testing.T) {
	f, m := startFleet(t, Config{Slots: 1})
	before := m.Host()
	results := make(chan outcome, 2)
	for i := range 2 {
		go func() { results <- send(newClient(t), m, i, `{"run_ms":60000}`, 8*time.Second) }()
	}
	waitFor(t, "both tasks arrived", func() bool { v := m.View(); return v.Running+v.Queued == 2 })
	m.Crash()
	for range 2 {
		if o := <-results; o.err == nil {
			t.Errorf("answer from a crashed minion: %+v", o)
		}
	}
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	after := m.Host()
	if after.Address != before.Address || after.Identity == before.Identity {
		t.Errorf("before %+v, after %+v", before, after)
	}
	if v, n := m.View(), f.Starts().Totals.Starts; v.Running+v.Queued != 0 || n != 1 {
		t.Errorf("after restart: %+v, %d starts", v, n)
	}
}
