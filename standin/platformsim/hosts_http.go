package platformsim

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/platform"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

// HostStateRequest changes the state of a host.
type HostStateRequest struct {
	State platform.HostState `json:"state"`
}

func (s *Sim) serveHosts(w http.ResponseWriter, r *http.Request) {
	list := s.hosts.list(time.Now())
	tag := fmt.Sprintf("\"%x-%d\"", s.run, list.Version)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, list)
}

func (s *Sim) serveRegister(w http.ResponseWriter, r *http.Request) {
	var host platform.Host
	if err := simhttp.ReadJSON(r, &host); err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	if host.ID == "" || host.Kind == "" || host.Address == "" {
		simhttp.WriteError(w, http.StatusBadRequest, errors.New("id, kind and address are required"))
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, s.hosts.register(time.Now(), host))
}

func (s *Sim) serveHostState(w http.ResponseWriter, r *http.Request) {
	var req HostStateRequest
	if err := simhttp.ReadJSON(r, &req); err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	if req.State != platform.HostLive && req.State != platform.HostLeaving {
		simhttp.WriteError(w, http.StatusBadRequest, errors.Newf("unknown state %q", req.State))
		return
	}
	if err := s.hosts.setState(time.Now(), r.PathValue("id"), req.State); err != nil {
		simhttp.WriteError(w, http.StatusNotFound, err)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, req)
}
