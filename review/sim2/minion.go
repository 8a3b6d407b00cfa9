package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// holdMax is the longest lease of a minion.
	holdMax = 1000 * time.Millisecond
	// killGrace is how long a run takes to end once it is stopped or its lease has lapsed, below killGraceMs (50).
	killGrace = 45 * time.Millisecond
	// heartbeat is the time between two writes of a minion's entry.
	heartbeat = 1500 * time.Millisecond
	// maxListedEnds is the number of ends in one answer.
	maxListedEnds = 500
)

// minion is a sound minion. The spec of a job is "DURATION" or "DURATION;anything".
type minion struct {
	id, zone, addr, rack string
	server               *http.Server
	cpu, memMB           int64
	store                *store
	journal              *journal

	mu       sync.Mutex
	start    time.Time
	born     int64
	fence    int64
	leaseEnd int64 // on its clock, in ms
	running  map[string]*minionRun
	closed   map[string]int64 // highest run of a task that was stopped or has ended
	finished [][]any
	ends     int64
	changed  chan struct{}
	seq      int
	cut      bool // no answer passes from it to the daemons
}

type minionRun struct {
	attempt int64
	begin   time.Time
	length  time.Duration
	stopAt  time.Time // when it has ended; zero: nothing ends it
	lapsed  bool      // its lease has lapsed
}

type order struct {
	Task    string `json:"task"`
	Attempt int64  `json:"attempt"`
	Spec    string `json:"spec"`
	Until   int64  `json:"deadlineMs"`
	Fence   int64  `json:"fencingToken"`
	Ack     int64  `json:"ackCursor"`
	Wait    int    `json:"waitMs"`
}

func newMinion(id, zone, rack string, cpu, memMB int64, s *store, j *journal) *minion {
	now := time.Now()
	return &minion{
		id: id, zone: zone, rack: rack, cpu: cpu, memMB: memMB, store: s, journal: j,
		start: now, born: now.UnixMilli(), running: make(map[string]*minionRun), closed: make(map[string]int64), changed: make(chan struct{}),
	}
}

// listen serves orders on an address.
func (m *minion) listen(addr string) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addr = l.Addr().String()
	m.server = &http.Server{Handler: m}
	go func(s *http.Server) { _ = s.Serve(l) }(m.server)
	return nil
}

// setCut cuts the way from the minion to the daemons, or ends that. Orders reach it, and it runs on.
func (m *minion) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// write writes the minion's entry.
func (m *minion) write() {
	m.mu.Lock()
	m.seq++
	entry := map[string]any{
		"service": serviceName, "addr": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"capacity": map[string]int64{"cpu": m.cpu, "memMb": m.memMB}, "labels": []string{"a", m.rack},
		"coldLeftMs": 0, "seq": m.seq, "born": m.born,
	}
	m.mu.Unlock()
	m.store.putJSON("keyed.servers", m.id, entry)
}

// register writes the minion's entry again and again.
func (m *minion) register(stop <-chan struct{}) {
	for {
		m.write()
		select {
		case <-time.After(heartbeat):
		case <-stop:
			return
		}
	}
}
func (m *minion) clock() int64 { return 1000 + time.Since(m.start).Milliseconds() }

// settle ends the runs that are over. The caller holds mu.
func (m *minion) settle() {
	now := time.Now()
	lapsed := m.clock() >= m.leaseEnd
	for task, r := range m.running {
		switch {
		case now.Sub(r.begin) >= r.length:
			m.end(task, r, "done")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			m.end(task, r, map[bool]string{true: "lapsed", false: "stopped"}[r.lapsed])
		case lapsed && r.stopAt.IsZero():
			r.stopAt, r.lapsed = now.Add(killGrace), true
		}
	}
}

func (m *minion) end(task string, r *minionRun, how string) {
	delete(m.running, task)
	m.closed[task] = max(m.closed[task], r.attempt)
	m.ends++
	m.finished = append(m.finished, []any{m.ends, task, r.attempt, how, ""})
	m.journal.ended(m.id, task, r.attempt, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// loop ends runs in time although nobody asks.
func (m *minion) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.mu.Lock()
			m.settle()
			m.mu.Unlock()
		case <-stop:
			return
		}
	}
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Expect-Instance") != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	status, answer := m.execute(r, o)
	cut := m.cut
	m.mu.Unlock()
	if cut {
		<-r.Context().Done()
		return
	}
	answerJSON(w, status, answer)
}

func (m *minion) reply() map[string]any { return map[string]any{"clockMs": m.clock(), "born": m.born} }

func (m *minion) conflict(reason string) (int, map[string]any) {
	a := m.reply()
	a["reason"] = reason
	return http.StatusConflict, a
}

// execute carries out an order. The caller holds mu.
func (m *minion) execute(r *http.Request, o order) (int, map[string]any) {
	m.settle()
	if o.Fence < m.fence {
		return m.conflict("fence")
	}
	m.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		return m.startRun(o)
	case "/run-stop":
		m.closed[o.Task] = max(m.closed[o.Task], o.Attempt)
		if run := m.running[o.Task]; run != nil && run.attempt == o.Attempt && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(killGrace)
		}
		return http.StatusOK, m.reply()
	case "/hold":
		return m.hold(r, o)
	}
	return http.StatusNotFound, m.reply()
}

func (m *minion) extend(until int64) {
	m.leaseEnd = max(m.leaseEnd, min(until, m.clock()+holdMax.Milliseconds()))
}

func (m *minion) startRun(o order) (int, map[string]any) {
	m.extend(o.Until)
	run := m.running[o.Task]
	switch {
	case run != nil && run.attempt == o.Attempt:
		return http.StatusOK, m.reply()
	case m.closed[o.Task] >= o.Attempt:
		return m.conflict("old")
	case run != nil:
		return m.conflict("room") // the former run is being ended
	case o.Until <= m.clock():
		return m.conflict("late")
	}
	text, _, _ := strings.Cut(o.Spec, ";")
	length, err := time.ParseDuration(text)
	if err != nil {
		return http.StatusBadRequest, m.reply()
	}
	m.running[o.Task] = &minionRun{attempt: o.Attempt, begin: time.Now(), length: length}
	m.journal.started(m.id, o.Task, o.Attempt, o.Spec)
	return http.StatusOK, m.reply()
}

// hold answers at once if an end is to be listed, or after waitMs. It gives up mu while it waits.
func (m *minion) hold(r *http.Request, o order) (int, map[string]any) {
	if o.Until > 0 {
		m.extend(o.Until)
	}
	deadline := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for waiting := o.Wait > 0; ; {
		m.settle()
		for len(m.finished) > 0 && m.finished[0][0].(int64) <= o.Ack {
			m.finished = m.finished[1:]
		}
		if len(m.finished) > 0 || !waiting {
			break
		}
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		m.mu.Lock()
	}
	a := m.reply()
	running := [][]any{}
	for task, run := range m.running {
		percent := 100 * float64(time.Since(run.begin)) / float64(max(1, run.length))
		running = append(running, []any{task, run.attempt, "", min(100, int(percent)), 0})
	}
	a["running"] = running
	a["finished"] = append([][]any{}, m.finished[:min(len(m.finished), maxListedEnds)]...)
	return http.StatusOK, a
}
