package fleetsim

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

type order struct {
	Task    string `json:"task"`
	Attempt int64  `json:"attempt"`
	Spec    string `json:"spec"`
	Until   int64  `json:"deadlineMs"`
	Fence   int64  `json:"fencingToken"`
	Ack     int64  `json:"ackCursor"`
	Wait    int    `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	// The whole body is read: only then does the context end with the connection.
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f, born := w.state()
	switch draw := rand.Float64(); {
	case draw < f.Late:
		time.AfterFunc(lateLeast+rand.N(lateMost-lateLeast), func() { w.carryOutLate(r, o, born) })
		<-r.Context().Done()
		return
	case draw < f.Late+f.Deaf || f.Silent:
		w.carryOut(r, o)
		<-r.Context().Done()
		return
	}
	status, answer := w.carryOut(r, o)
	if f, _ := w.state(); f.Silent {
		<-r.Context().Done()
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(answer) // the caller is gone
}

func (w *Worker) state() (Faults, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults, w.born
}

// carryOutLate carries an order out unless its process has ended.
func (w *Worker) carryOutLate(r *http.Request, o order, born time.Time) {
	if _, now := w.state(); now.Equal(born) {
		w.carryOut(r, o)
	}
}

func (w *Worker) carryOut(r *http.Request, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	if o.Fence < w.fence {
		return w.conflict("fence")
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		return w.start(o)
	case "/run-stop":
		if t := w.running[o.Task]; t != nil && t.run == o.Attempt && t.stops.IsZero() {
			t.stops = time.Now().Add(stopTime)
		}
		w.barred[o.Task] = max(w.barred[o.Task], o.Attempt)
		return http.StatusOK, w.body()
	case "/hold":
		return w.hold(r, o)
	default:
		return http.StatusNotFound, w.body()
	}
}

func (w *Worker) body() map[string]any {
	return map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
}

func (w *Worker) conflict(reason string) (int, map[string]any) {
	body := w.body()
	body["reason"] = reason
	return http.StatusConflict, body
}

func (w *Worker) start(o order) (int, map[string]any) {
	w.extend(o.Until)
	t := w.running[o.Task]
	switch {
	case t != nil && t.run == o.Attempt:
		return http.StatusOK, w.body()
	case w.barred[o.Task] >= o.Attempt:
		return w.conflict("old")
	case o.Until <= w.clock():
		return w.conflict("late")
	case t != nil:
		w.report(fmt.Sprintf("task %s started as run %d while run %d is at work", o.Task, o.Attempt, t.run))
	}
	takes, err := time.ParseDuration(o.Spec)
	if err != nil {
		return http.StatusBadRequest, w.body()
	}
	if w.faults.Slow > 0 {
		takes = time.Duration(w.faults.Slow * float64(takes))
	}
	now := time.Now()
	w.running[o.Task] = &task{run: o.Attempt, since: now, until: now.Add(takes), fails: rand.Float64() < w.faults.Fail}
	w.starts[o.Task]++
	w.checkCapacity()
	return http.StatusOK, w.body()
}

// checkCapacity reports if what runs needs more than the worker has.
func (w *Worker) checkCapacity() {
	var used int64
	for name := range w.running {
		used += w.cpuOf(name)
	}
	if used > w.Capacity {
		w.report(fmt.Sprintf("worker %s runs %d of %d thousandths of a core", w.ID, used, w.Capacity))
	}
}

func (w *Worker) extend(until int64) {
	w.lease = max(w.lease, min(until, w.clock()+maxLease))
}

// hold answers with the lists, after the next end if there is none to tell.
func (w *Worker) hold(r *http.Request, o order) (int, map[string]any) {
	if o.Until > 0 {
		w.extend(o.Until)
	}
	deadline := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	for {
		w.settle()
		w.forget(o.Ack)
		if len(w.finished) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			break
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(2 * time.Millisecond):
		}
		w.mu.Lock()
	}
	body := w.body()
	running := [][]any{}
	for name, t := range w.running {
		running = append(running, []any{name, t.run, "", t.percent(), 0})
	}
	body["running"] = running
	body["finished"] = append([][]any{}, w.finished...)
	return http.StatusOK, body
}

func (w *Worker) forget(ack int64) {
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= ack {
		w.finished = w.finished[1:]
	}
}
