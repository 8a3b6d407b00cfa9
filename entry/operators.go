package entry

import (
	"expvar"
	"net/http"
	"time"

	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/platform"
)

// ready answers whether the host takes connections.
func (h *Host) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	serving := false
	if !h.ingress.draining.Load() {
		h.loop.query(func(_ time.Duration, s *host.State) { serving = s.Serving() })
	}
	if !serving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// operators returns the handler of the metrics address.
func (h *Host) operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}
