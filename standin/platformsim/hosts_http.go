package platformsim

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

// HostStateRequest is the body of a request that changes the state of a host.
type HostStateRequest struct {
	State logapi.HostState `json:"state"`
}

// hostListPollInterval is the interval at which a held request checks the host list for a change.
const hostListPollInterval = 10 * time.Millisecond

func (s *Sim) serveHosts(w http.ResponseWriter, r *http.Request) {
	waitMS, err := queryUint(r.URL.Query(), "wait_ms", 0)
	if err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	known := r.Header.Get("If-None-Match")
	s.waitForHostListChange(r.Context(), known, time.Duration(min(waitMS, uint64(maxLongPollWait.Milliseconds())))*time.Millisecond)
	list := s.hosts.list(time.Now())
	tag := s.hostListTag(list.Version)
	w.Header().Set("ETag", tag)
	if known == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, list)
}

// hostListTag returns the HTTP entity tag of a version of the host list.
func (s *Sim) hostListTag(version uint64) string { return fmt.Sprintf("\"%x-%d\"", s.runID, version) }

// waitForHostListChange blocks until the tag of the served host list differs from known. It also
// returns after wait, when ctx ends or when the Sim stops.
func (s *Sim) waitForHostListChange(ctx context.Context, known string, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for s.hostListTag(s.hosts.servedVersion(time.Now())) == known && s.ctx.Err() == nil {
		if sleep(ctx, hostListPollInterval) != nil {
			return
		}
	}
}

func (s *Sim) serveRegister(w http.ResponseWriter, r *http.Request) {
	var host logapi.Host
	if err := simhttp.ReadJSON(r, &host); err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	if host.ID == "" || host.Kind == "" || host.Address == "" {
		simhttp.WriteError(w, http.StatusBadRequest, errors.New("id, kind and address are required"))
		return
	}
	host = s.hosts.register(time.Now(), host)
	if r.Header.Get(logapi.HeaderPrefer) == logapi.PreferMinimal {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, host)
}

func (s *Sim) serveHostState(w http.ResponseWriter, r *http.Request) {
	var req HostStateRequest
	if err := simhttp.ReadJSON(r, &req); err != nil {
		simhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	if req.State != logapi.HostLive && req.State != logapi.HostLeaving {
		simhttp.WriteError(w, http.StatusBadRequest, errors.Newf("unknown state %q", req.State))
		return
	}
	if err := s.hosts.setState(time.Now(), r.PathValue("id"), req.State); err != nil {
		simhttp.WriteError(w, http.StatusNotFound, err)
		return
	}
	simhttp.WriteJSON(w, http.StatusOK, req)
}
