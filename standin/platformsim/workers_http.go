package platformsim

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/standin/simhttp"
)

func (s *Sim) workerRoutes(handle func(Service, string, http.HandlerFunc)) {
	handle(ServiceWorkers, "POST "+PathLeases, s.serveLease)
	handle(ServiceWorkers, "POST "+PathTasks, s.serveStart)
	handle(ServiceWorkers, "GET "+PathTask, s.serveReadTask)
	handle(ServiceWorkers, "POST "+PathStop, s.serveStop)
	handle(ServiceWorkers, "POST "+PathThrottle, s.serveThrottle)
	handle(ServiceWorkers, "POST "+PathCheckpoint, s.serveCheckpoint)
	handle(ServiceWorkers, "GET "+PathUsage, s.serveUsage)
}

func (s *Sim) serveLease(w http.ResponseWriter, r *http.Request) {
	var req LeaseRequest
	if err := simhttp.ReadJSON(r, &req); err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	if req.Lease == "" || req.TTLMS <= 0 {
		simhttp.WriteError(w, http.StatusBadRequest, errors.New("lease and a positive ttl_ms are required"))
		return
	}
	ttl := time.Duration(req.TTLMS) * time.Millisecond
	if err := s.workers.renew(time.Now(), req.Lease, ttl); err != nil {
		simhttp.WriteError(w, workerStatus(err), err)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, req)
}

func (s *Sim) serveStart(w http.ResponseWriter, r *http.Request) {
	var req StartRequest
	if err := simhttp.ReadJSON(r, &req); err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	if req.Task == "" {
		simhttp.WriteError(w, http.StatusBadRequest, errors.New("task is required"))
		return
	}
	view, created, err := s.workers.start(time.Now(), r.PathValue("id"), req)
	if created {
		simhttp.WriteJSON(w, http.StatusCreated, view)
		return
	}
	writeTask(w, view, err)
}

func (s *Sim) serveReadTask(w http.ResponseWriter, r *http.Request) {
	view, err := s.workers.read(r.PathValue("id"), r.PathValue("task"))
	writeTask(w, view, err)
}

func (s *Sim) serveStop(w http.ResponseWriter, r *http.Request) {
	view, err := s.workers.stop(r.PathValue("id"), r.PathValue("task"))
	writeTask(w, view, err)
}

func (s *Sim) serveThrottle(w http.ResponseWriter, r *http.Request) {
	var req ThrottleRequest
	if err := simhttp.ReadJSON(r, &req); err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	if req.Speed <= 0 || req.Speed > 1 {
		simhttp.WriteError(w, http.StatusBadRequest, errors.Newf("speed %v is not above 0 and at most 1", req.Speed))
		return
	}
	view, err := s.workers.throttle(r.PathValue("id"), r.PathValue("task"), req.Speed)
	writeTask(w, view, err)
}

func (s *Sim) serveCheckpoint(w http.ResponseWriter, r *http.Request) {
	view, err := s.workers.checkpoint(r.PathValue("id"), r.PathValue("task"))
	writeTask(w, view, err)
}

func (s *Sim) serveUsage(w http.ResponseWriter, _ *http.Request) {
	simhttp.WriteJSON(w, http.StatusOK, s.workers.usages(time.Now()))
}

func (s *Sim) serveTaskTotals(w http.ResponseWriter, _ *http.Request) {
	simhttp.WriteJSON(w, http.StatusOK, s.workers.totals())
}

func writeTask(w http.ResponseWriter, view TaskView, err error) {
	if err != nil {
		simhttp.WriteError(w, workerStatus(err), err)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, view)
}

// workerStatus maps an error of the worker pool to a status.
func workerStatus(err error) int {
	switch {
	case errors.Is(err, errUnknownWorker), errors.Is(err, errUnknownTask):
		return http.StatusNotFound
	case errors.Is(err, errLeaseInvalid):
		return http.StatusGone
	default:
		return http.StatusConflict
	}
}
