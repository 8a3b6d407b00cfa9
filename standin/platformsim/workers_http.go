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

// requestCounts holds the number of requests to the worker interface by path.
type requestCounts map[string]*atomic.Int64

func newRequestCounts() requestCounts {
	counts := make(requestCounts)
	for _, path := range []string{logapi.PathLeases, logapi.PathEndedTasks, logapi.PathStartTasks, logapi.PathReadTasks,
		logapi.PathStopTasks, logapi.PathThrottleTasks, logapi.PathCheckpointTasks, logapi.PathUsage} {
		counts[path] = new(atomic.Int64)
	}
	return counts
}

// registerWorkerRoutes registers the routes of the worker interface with handle and counts their
// requests.
func (s *Sim) registerWorkerRoutes(handle func(Service, string, http.HandlerFunc)) {
	for method, paths := range map[string]map[string]http.HandlerFunc{
		"GET": {
			logapi.PathEndedTasks: s.serveEnded,
			logapi.PathUsage:      s.serveUsage,
		},
		"POST": {
			logapi.PathLeases:          s.serveLease,
			logapi.PathStartTasks:      s.serveStarts,
			logapi.PathReadTasks:       s.taskBatchHandler(s.workers.read),
			logapi.PathStopTasks:       s.taskBatchHandler(s.workers.stop),
			logapi.PathThrottleTasks:   s.serveThrottles,
			logapi.PathCheckpointTasks: s.taskBatchHandler(s.workers.checkpoint),
		},
	} {
		for path, handler := range paths {
			handle(ServiceWorkers, method+" "+path, func(w http.ResponseWriter, r *http.Request) {
				s.requests[path].Add(1)
				handler(w, r)
			})
		}
	}
}

// decodeRequest decodes the request body into v. If that fails, it answers 400 and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	err := simhttp.ReadJSON(r, v)
	if err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
	}
	return err == nil
}

func (s *Sim) serveLease(w http.ResponseWriter, r *http.Request) {
	var req logapi.LeaseRequest
	if !decodeRequest(w, r, &req) {
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
	if !decodeRequest(w, r, &req) {
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
	if !decodeRequest(w, r, &req) {
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

// taskBatchHandler returns a handler that applies an operation to each task of a TaskBatch.
func (s *Sim) taskBatchHandler(operate func(worker, id string) (logapi.TaskView, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req logapi.TaskBatch
		if !decodeRequest(w, r, &req) {
			return
		}
		var reply logapi.TaskReply
		for _, t := range req.Tasks {
			addAnswer(&reply, t, operate)
		}
		simhttp.WriteJSON(w, http.StatusOK, reply)
	}
}

// serveEnded holds the request until there are ended tasks after the given position, the lease has
// lapsed or the wait time has passed.
func (s *Sim) serveEnded(w http.ResponseWriter, r *http.Request) {
	after, errAfter := strconv.Atoi(r.FormValue("after"))
	waitMS, errWait := strconv.Atoi(r.FormValue("wait_ms"))
	if errAfter != nil || errWait != nil {
		simhttp.WriteError(w, http.StatusBadRequest, errors.New("after and wait_ms are required"))
		return
	}
	wait := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer wait.Stop()
	for {
		reply, changed, err := s.workers.endedTasksAfter(r.PathValue("lease"), after)
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
	simhttp.WriteJSON(w, http.StatusOK, s.workers.servedUsages(time.Now()))
}

// TaskTotals returns what the workers did since the Sim started.
func (s *Sim) TaskTotals() TaskTotals {
	totals := s.workers.totals()
	totals.RequestsByPath = make(map[string]int, len(s.requests))
	for path, n := range s.requests {
		totals.RequestsByPath[path] = int(n.Load())
	}
	return totals
}

func (s *Sim) serveTaskTotals(w http.ResponseWriter, _ *http.Request) {
	simhttp.WriteJSON(w, http.StatusOK, s.TaskTotals())
}

func (s *Sim) serveWorkerFault(w http.ResponseWriter, r *http.Request) {
	var f WorkerFault
	if !decodeRequest(w, r, &f) {
		return
	}
	if err := s.workers.setFault(f); err != nil {
		simhttp.WriteError(w, http.StatusNotFound, err)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, f)
}

// addAnswer applies an operation to a task and adds the outcome to the reply.
func addAnswer(reply *logapi.TaskReply, t logapi.TaskID, operate func(worker, id string) (logapi.TaskView, error)) {
	view, err := operate(t.Worker, t.Task)
	reply.Answers = append(reply.Answers, logapi.TaskAnswer{Refused: refusalsByError[err], Task: view})
}

// refusalsByError maps the errors of the worker pool to the refusals that clients receive. A
// nil error is not in the map, which gives the empty refusal.
var refusalsByError = map[error]logapi.Refusal{
	errUnknownWorker:     logapi.RefusedUnknownWorker,
	errUnknownTask:       logapi.RefusedUnknownTask,
	errLeaseInvalid:      logapi.RefusedLeaseLapsed,
	errTaskOnOtherWorker: logapi.RefusedOtherWorker,
	errNoAccelerators:    logapi.RefusedAccelerators,
	errNotRunning:        logapi.RefusedNotRunning,
	errNoCheckpoint:      logapi.RefusedNoCheckpoint,
}
