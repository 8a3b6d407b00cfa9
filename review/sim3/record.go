package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// work is what a task's spec asks of a minion of this stand-in.
type work struct{ cpu, ms int64 }

// parseSpec reads a spec "cpu ms ...".
func parseSpec(spec string) work {
	var w work
	fmt.Sscan(spec, &w.cpu, &w.ms)
	return w
}

// recorder writes what was sent, answered and run, and keeps the broken rules.
type recorder struct {
	mu     sync.Mutex
	out    *bufio.Writer
	file   *os.File
	begin  time.Time
	broken []string
	// active holds the runs of each task on minions that are up.
	active map[string]int
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(f), file: f, begin: time.Now(), active: make(map[string]int)}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *recorder) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaksLocked(format, args...)
}

func (r *recorder) breaksLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.write("BROKEN %s", text)
}

// started records a start. It is called with the lock of the minion.
func (r *recorder) started(m *minion, n *run, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("start task=%s run=%d minion=%s fence=%d kind=%s used=%d of=%d", n.task, n.attempt, m.id, o.Fence, m.kind.Name, m.used(), m.kind.CPU)
	r.active[n.task]++
	if r.active[n.task] > 1 {
		r.breaksLocked("TWICE task %s runs %d times at the same time, now also on %s", n.task, r.active[n.task], m.id)
	}
	if used := m.used(); used > m.kind.CPU {
		r.breaksLocked("LIMIT a start brings minion %s (kind %s) to %d of %d thousandths of a core", m.id, m.kind.Name, used, m.kind.CPU)
	}
}

// ended records the end of a run. It is called with the lock of the minion.
func (r *recorder) ended(m *minion, n *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("end task=%s run=%d minion=%s how=%s", n.task, n.attempt, m.id, how)
	if r.active[n.task]--; r.active[n.task] <= 0 {
		delete(r.active, n.task)
	}
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
