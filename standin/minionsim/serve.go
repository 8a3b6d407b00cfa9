package minionsim

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sesameledge.dev/sesameledge/backend"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

// Payload is the body of a task message. A payload that does not parse makes the task
// start and fail.
type Payload struct {
	RunMS float64         `json:"run_ms"`         // at speed 1, milliseconds
	Echo  json.RawMessage `json:"echo,omitempty"` // returned in the result
	Fail  bool            `json:"fail,omitempty"` // the task runs and then fails
}

// Result is the body of a successful answer.
type Result struct {
	Echo   json.RawMessage `json:"echo,omitempty"`
	Minion string          `json:"minion"`
}

// CancelReply answers a cancel message.
type CancelReply struct {
	Dropped int `json:"dropped"` // queued tasks that will not start
	Stopped int `json:"stopped"` // running tasks that were stopped
}

// service serves the requests of one process of a minion.
type service struct {
	*Minion
	process *process
}

func (m *Minion) routes(p *process) http.Handler {
	s := &service{Minion: m, process: p}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+backend.PathTask, s.serveTask)
	mux.HandleFunc("POST "+backend.PathCancel, s.serveCancel)
	mux.HandleFunc("/", s.serveOther)
	return mux
}

func (s *service) serveOther(w http.ResponseWriter, r *http.Request) {
	s.counters.update(func(t *Totals) { t.OtherMessages++ })
	http.NotFound(w, r)
}

func (s *service) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.counters.update(func(t *Totals) { t.CancelMessage++ })
	var req backend.CancelRequest
	if err := simhttp.ReadJSON(r, &req); err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	var reply CancelReply
	var line *delayLine // all tasks of a message are of the host that sends it
	if len(req.Tasks) > 0 {
		line = s.delayLineTo(req.Tasks[0].Ticket)
	}
	line.waitCrossings(1)
	for _, t := range req.Tasks {
		dropped, stopped := s.process.runner.cancel(TaskID{Ticket: t.Ticket, Index: t.Index})
		reply.Dropped += dropped
		reply.Stopped += stopped
	}
	line.waitCrossings(1)
	simhttp.WriteJSON(w, http.StatusOK, reply)
}

func (s *service) serveTask(w http.ResponseWriter, r *http.Request) {
	line := s.delayLineTo(r.PathValue("ticket"))
	line.waitCrossings(1)
	now := time.Now()
	s.counters.update(func(t *Totals) { t.TaskMessages++ })
	id, deadline, err := parseTask(r, now)
	if err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	fault, delay := s.faults.draw()
	// Refuses before reading the body, so that a client that waits for 100 Continue does not send it.
	if reason := s.notRunReason(now, deadline, fault); reason != "" {
		s.refuseTask(w, r, line, reason)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, simhttp.MaxBodyBytes))
	if err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	line.waitCrossings(bodyCrossings(r))
	t := newReceivedTask(id, deadline)
	s.process.runner.submit(time.Now(), t)
	select {
	case <-t.start:
	case reason := <-t.refused:
		s.refuseTask(w, r, line, reason)
		return
	case <-s.process.ended:
		panic(http.ErrAbortHandler)
	}
	a := answer{service: s, w: w, r: r, line: line, id: id, fault: fault, delay: delay}
	a.send(s.execute(t, body, fault))
}

func (s *service) notRunReason(now, deadline time.Time, fault Fault) string {
	switch {
	case s.countLateTask(now):
		return backend.NotRunLeaving
	case fault == FaultBusy:
		return backend.NotRunBusy
	case !deadline.IsZero() && !now.Before(deadline):
		return backend.NotRunExpired
	}
	return ""
}

// refuseTask answers that the task does not run, for the given reason. Like any other, the answer
// repeats the task and attempt headers; without them a client cannot tell which attempt it concerns.
func (s *service) refuseTask(w http.ResponseWriter, r *http.Request, line *delayLine, reason string) {
	s.counters.update(func(t *Totals) { t.Refused++ })
	s.setLoadHeaders(w.Header())
	w.Header().Set(backend.HeaderTask, r.Header.Get(backend.HeaderTask))
	w.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
	w.Header().Set(backend.HeaderNotRun, reason)
	line.waitCrossings(1)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *service) setLoadHeaders(h http.Header) {
	running, queued := s.process.runner.load()
	h.Set(backend.HeaderLoad, strconv.Itoa(running+queued))
	h.Set(backend.HeaderSlots, strconv.Itoa(s.cfg.Slots))
}

// execute runs a started task, frees its slot, and returns the result and whether the
// task succeeded. With FaultCrash it aborts the connection halfway.
func (s *service) execute(t *receivedTask, body []byte, fault Fault) ([]byte, bool) {
	defer func() { s.process.runner.finish(time.Now(), t) }()
	var p Payload
	if err := json.Unmarshal(body, &p); err != nil {
		return []byte(fmt.Sprintf("payload: %v", err)), false
	}
	period := time.Duration(p.RunMS / s.Speed * float64(time.Millisecond))
	switch fault {
	case FaultFailFast:
		return []byte("fault: fail_fast"), false
	case FaultCrash:
		s.runFor(t, period/2)
		panic(http.ErrAbortHandler)
	}
	if !s.runFor(t, period) {
		return []byte("task was cancelled"), false
	}
	if p.Fail {
		return []byte("payload asks to fail"), false
	}
	result, err := json.Marshal(Result{Echo: p.Echo, Minion: s.ID})
	return result, err == nil
}

// runFor waits for the period and reports whether the task was not cancelled meanwhile.
// It aborts the connection if the process ends.
func (s *service) runFor(t *receivedTask, period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.stop:
		return false
	case <-s.process.ended:
		panic(http.ErrAbortHandler)
	}
}

func parseTask(r *http.Request, now time.Time) (TaskID, time.Time, error) {
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil {
		return TaskID{}, time.Time{}, err
	}
	id := TaskID{Ticket: r.PathValue("ticket"), Index: index}
	text := r.Header.Get(backend.HeaderDeadlineMS)
	if text == "" {
		return id, time.Time{}, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	return id, now.Add(time.Duration(ms) * time.Millisecond), err
}

func digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }
