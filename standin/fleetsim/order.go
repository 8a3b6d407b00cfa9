package fleetsim

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// order is the body of a request from a host. Which fields it holds depends on the path.
type order struct {
	Task       string `json:"task"`
	Attempt    int64  `json:"attempt"`
	Spec       string `json:"spec"`
	LeaseEnd   int64  `json:"deadlineMs"`
	Fence      int64  `json:"fencingToken"`
	AckedEnds  int64  `json:"ackCursor"`
	WaitMillis int    `json:"waitMs"`
}

// ServeHTTP executes the order of a request, subject to the faults of the worker.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	// The server cancels the context on disconnect only after the whole body has been read.
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f, processStart := w.faultsAndStart()
	switch random := rand.Float64(); {
	case random < f.LateShare:
		time.AfterFunc(minLateDelay+rand.N(maxLateDelay-minLateDelay), func() { w.executeLate(r, o, processStart) })
		<-r.Context().Done()
		return
	case random < f.LateShare+f.UnansweredShare || f.Silent:
		w.execute(r, o)
		<-r.Context().Done()
		return
	}
	status, answer := w.execute(r, o)
	if f, _ := w.faultsAndStart(); f.Silent {
		<-r.Context().Done()
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(answer) // fails only if the caller has disconnected
}

// faultsAndStart returns the current faults and the start time of the process.
func (w *Worker) faultsAndStart() (Faults, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults, w.processStart
}

// executeLate executes an order unless the process that received it has ended.
func (w *Worker) executeLate(r *http.Request, o order, processStart time.Time) {
	if _, now := w.faultsAndStart(); now.Equal(processStart) {
		w.execute(r, o)
	}
}

// execute executes an order and returns the status and the body of the reply.
func (w *Worker) execute(r *http.Request, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	if o.Fence < w.fence {
		return w.conflictReply("fence")
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		return w.startRun(o)
	case "/run-stop":
		if run := w.running[o.Task]; run != nil && run.number == o.Attempt {
			run.beginEnd(time.Now(), "stopped", w.endTime())
		}
		w.highestClosedRun[o.Task] = max(w.highestClosedRun[o.Task], o.Attempt)
		return http.StatusOK, w.replyBody()
	case "/hold":
		return w.hold(r, o)
	default:
		return http.StatusNotFound, w.replyBody()
	}
}

// replyBody returns the fields that all replies have.
func (w *Worker) replyBody() map[string]any {
	return map[string]any{"clockMs": w.clockMillis(), "born": w.processStart.UnixMilli()}
}

// conflictReply returns the reply to an order that is refused for the given reason.
func (w *Worker) conflictReply(reason string) (int, map[string]any) {
	body := w.replyBody()
	body["reason"] = reason
	return http.StatusConflict, body
}

// startRun starts a run of a task, unless it is already active, was stopped, has ended, or its lease has
// expired.
func (w *Worker) startRun(o order) (int, map[string]any) {
	w.extendLease(o.LeaseEnd)
	run := w.running[o.Task]
	switch {
	case run != nil && run.number == o.Attempt:
		return http.StatusOK, w.replyBody()
	case w.highestClosedRun[o.Task] >= o.Attempt:
		return w.conflictReply("old")
	case o.LeaseEnd <= w.clockMillis():
		return w.conflictReply("late")
	case run != nil:
		w.reportViolation(fmt.Sprintf(
			"task %s started as run %d while run %d is active", o.Task, o.Attempt, run.number,
		))
	}
	text, crashes := strings.CutSuffix(o.Spec, CrashSuffix)
	duration, err := time.ParseDuration(text)
	if err != nil {
		return http.StatusBadRequest, w.replyBody()
	}
	if w.faults.SlowFactor > 0 {
		duration = time.Duration(w.faults.SlowFactor * float64(duration))
	}
	now := time.Now()
	if now.Before(w.coldUntil) {
		duration *= ColdSlowdown
	}
	w.running[o.Task] = &activeRun{
		number: o.Attempt, start: now, end: now.Add(duration), fails: rand.Float64() < w.faults.FailedShare,
	}
	w.startCounts[o.Task]++
	if crashes && strings.HasSuffix(o.Task, ".0") {
		time.AfterFunc(crashDelay, w.crash)
	}
	w.checkCapacity()
	return http.StatusOK, w.replyBody()
}

// checkCapacity reports a violation if the active runs need more CPU than the worker has.
func (w *Worker) checkCapacity() {
	var used int64
	for task := range w.running {
		used += w.cpuOf(task)
	}
	if used > w.Capacity {
		w.reportViolation(fmt.Sprintf("worker %s runs %d of %d thousandths of a core", w.ID, used, w.Capacity))
	}
}

// extendLease moves the end of the lease to a time on the worker's clock, at most maxLeaseMillis from
// now. It never shortens the lease.
func (w *Worker) extendLease(endMillis int64) {
	w.leaseEndMillis = max(w.leaseEndMillis, min(endMillis, w.clockMillis()+maxLeaseMillis))
}

// hold extends the lease and returns the active and the ended runs. If no ended run is unacknowledged,
// it waits for the next end, up to the time in the order. It unlocks mu while it waits.
func (w *Worker) hold(r *http.Request, o order) (int, map[string]any) {
	if o.LeaseEnd > 0 {
		w.extendLease(o.LeaseEnd)
	}
	deadline := time.Now().Add(time.Duration(o.WaitMillis) * time.Millisecond)
	for {
		w.endDueRuns()
		w.dropAckedEnds(o.AckedEnds)
		if len(w.finished) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			break
		}
		runEnded := w.runEnded
		w.mu.Unlock()
		select {
		case <-runEnded:
		case <-time.After(2 * time.Millisecond):
		}
		w.mu.Lock()
	}
	body := w.replyBody()
	running := [][]any{}
	for task, run := range w.running {
		if !run.overAt.IsZero() && !w.ListsEnding {
			continue
		}
		running = append(running, []any{task, run.number, "", run.percent(), 0})
	}
	body["running"] = running
	body["finished"] = append([][]any{}, w.finished[:min(len(w.finished), maxListedEnds)]...)
	return http.StatusOK, body
}

// dropAckedEnds drops the ended runs that the host has acknowledged.
func (w *Worker) dropAckedEnds(acked int64) {
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= acked {
		w.finished = w.finished[1:]
	}
}
