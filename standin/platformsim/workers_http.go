package platformsim

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

// messageCounts counts the requests to the worker interface by path.
type messageCounts map[string]*atomic.Int64

func newMessageCounts() messageCounts {
	counts := make(messageCounts)
	for _, path := range []string{logapi.PathLeases, logapi.PathEnded, logapi.PathStarts, logapi.PathReads,
		logapi.PathStops, logapi.PathThrottles, logapi.PathCheckpoints, logapi.PathUsage} {
		counts[path] = new(atomic.Int64)
	}
	return counts
}

func (s *Sim) workerRoutes(handle func(Service, string, http.HandlerFunc)) {
	for method, paths := range map[string]map[string]http.HandlerFunc{
		"GET": {
			logapi.PathEnded: s.serveEnded,
			logapi.PathUsage: s.serveUsage,
		},
		"POST": {
			logapi.PathLeases:      s.serveLease,
			logapi.PathStarts:      s.serveStarts,
			logapi.PathReads:       s.taskBatch(s.workers.read),
			logapi.PathStops:       s.taskBatch(s.workers.stop),
			logapi.PathThrottles:   s.serveThrottles,
			logapi.PathCheckpoints: s.taskBatch(s.workers.checkpoint),
		},
	} {
		for path, handler := range paths {
			handle(ServiceWorkers, method+" "+path, func(w http.ResponseWriter, r *http.Request) {
				s.messages[path].Add(1)
				handler(w, r)
			})
		}
	}
}

// readRequest decodes the request, or answers 400 and returns false.
func readRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	err := simhttp.ReadJSON(r, v)
	if err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
	}
	return err == nil
}

func (s *Sim) serveLease(w http.ResponseWriter, r *http.Request) {
	var req logapi.LeaseRequest
	if !readRequest(w, r, &req) {
		return
	}
	if req.Lease == "" || req.TTLMS <= 0 {
		simhttp.WriteError(w, http.StatusBadRequest, errors.New("lease and a positive ttl_ms are required"))
		return
	}
	ttl := time.Duration(req.TTLMS) * time.Millisecond
	if err := s.workers.renew(time.Now(), req.Lease, ttl); err != nil {
		simhttp.WriteError(w, http.StatusGone, err)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, req)
}

func (s *Sim) serveStarts(w http.ResponseWriter, r *http.Request) {
	var req logapi.StartBatch
	if !readRequest(w, r, &req) {
		return
	}
	var reply logapi.TaskReply
	for _, t := range req.Tasks {
		addAnswer(&reply, t.TaskID, func(string, string) (logapi.TaskView, error) {
			return s.workers.start(time.Now(), req.Lease, t)
		})
	}
	simhttp.WriteJSON(w, http.StatusOK, reply)
}

func (s *Sim) serveThrottles(w http.ResponseWriter, r *http.Request) {
	var req logapi.ThrottleBatch
	if !readRequest(w, r, &req) {
		return
	}
	var reply logapi.TaskReply
	for _, t := range req.Tasks {
		if t.Speed <= 0 || t.Speed > 1 {
			simhttp.WriteError(w, http.StatusBadRequest, errors.Newf("speed %v is not above 0 and at most 1", t.Speed))
			return
		}
		addAnswer(&reply, t.TaskID, func(worker, id string) (logapi.TaskView, error) {
			return s.workers.throttle(worker, id, t.Speed)
		})
	}
	simhttp.WriteJSON(w, http.StatusOK, reply)
}

// taskBatch serves an operation on the tasks of a TaskBatch.
func (s *Sim) taskBatch(operate func(worker, id string) (logapi.TaskView, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req logapi.TaskBatch
		if !readRequest(w, r, &req) {
			return
		}
		var reply logapi.TaskReply
		for _, t := range req.Tasks {
			addAnswer(&reply, t, operate)
		}
		simhttp.WriteJSON(w, http.StatusOK, reply)
	}
}

// serveEnded answers when there are ended tasks, the lease has lapsed, or the wait ends.
func (s *Sim) serveEnded(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.FormValue("after"))
	waitMS, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil {
		simhttp.WriteError(w, http.StatusBadRequest, errors.New("after and wait_ms are required"))
		return
	}
	wait := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer wait.Stop()
	for {
		reply, changed, err := s.workers.endedAfter(r.PathValue("lease"), after)
		if err != nil {
			simhttp.WriteError(w, http.StatusNotFound, err)
			return
		}
		if len(reply.Tasks) > 0 || reply.Lapsed {
			simhttp.WriteJSON(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-wait.C:
			simhttp.WriteJSON(w, http.StatusOK, reply)
			return
		case <-r.Context().Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Sim) serveUsage(w http.ResponseWriter, _ *http.Request) {
	simhttp.WriteJSON(w, http.StatusOK, s.workers.usages(time.Now()))
}

// TaskTotals returns what the workers did so far.
func (s *Sim) TaskTotals() TaskTotals {
	totals := s.workers.totals()
	totals.Messages = make(map[string]int, len(s.messages))
	for path, n := range s.messages {
		totals.Messages[path] = int(n.Load())
	}
	return totals
}

func (s *Sim) serveTaskTotals(w http.ResponseWriter, _ *http.Request) {
	simhttp.WriteJSON(w, http.StatusOK, s.TaskTotals())
}

func (s *Sim) serveWorkerFault(w http.ResponseWriter, r *http.Request) {
	var f WorkerFault
	if !readRequest(w, r, &f) {
		return
	}
	if err := s.workers.setFault(f); err != nil {
		simhttp.WriteError(w, http.StatusNotFound, err)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, f)
}

func addAnswer(reply *logapi.TaskReply, t logapi.TaskID, operate func(worker, id string) (logapi.TaskView, error)) {
	view, err := operate(t.Worker, t.Task)
	reply.Answers = append(reply.Answers, logapi.TaskAnswer{Refused: refusals[err], Task: view})
}

// refusals maps the errors of the worker pool; nil maps to no refusal.
var refusals = map[error]logapi.Refusal{
	errUnknownWorker:  logapi.RefusedWorker,
	errUnknownTask:    logapi.RefusedTask,
	errLeaseInvalid:   logapi.RefusedLease,
	errOtherWorker:    logapi.RefusedOtherWorker,
	errNoAccelerators: logapi.RefusedAccelerators,
	errNotRunning:     logapi.RefusedNotRunning,
	errNoCheckpoint:   logapi.RefusedCheckpoint,
}
