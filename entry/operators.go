package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/platform"
)

// serveReady answers the platform's readiness check: status 200 if the host can take jobs, 503
// otherwise and while it drains.
func (h *Host) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	serving := false
	if !h.ingress.draining.Load() {
		h.loop.readState(func(now time.Duration, s *host.State) { serving = s.Serving(now) })
	}
	if !serving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveState writes the state of the process as JSON.
func (h *Host) serveState(w http.ResponseWriter, _ *http.Request) {
	var dump host.Dump
	if !h.loop.readState(func(now time.Duration, s *host.State) { dump = s.Dump(now) }) {
		http.Error(w, "the host has stopped", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(dump) // fails only if the client has disconnected
}
