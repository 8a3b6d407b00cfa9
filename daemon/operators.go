package daemon

import (
	"io"
	"net/http"
	"net/http/pprof"
	"time"

	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/member"
)

// Status is the summary of a daemon that GET /v1/status returns.
type Status struct {
	Host            string            `json:"host"`
	Zone            string            `json:"zone"`
	Incarnation     string            `json:"incarnation"`
	Version         string            `json:"version"`
	UptimeMS        int64             `json:"uptime_ms"`
	Ready           bool              `json:"ready"`
	Draining        bool              `json:"draining"`
	RevisionInForce uint64            `json:"config_revision"`
	LatestRevision  uint64            `json:"config_latest"` // accepted; higher while this build cannot apply it
	OpenJobs        int               `json:"open_jobs"`
	OpenTasks       int               `json:"open_tasks"`
	Endpoints       int               `json:"endpoints"`
	Counters        dispatch.Counters `json:"counters"`
	Forward         forward.Counters  `json:"forward"`
	Member          member.Counters   `json:"member"`
	PeerTraffic     TrafficView       `json:"peer_traffic"`
	// PlatformWireBytes counts the bytes exchanged with the platform, including claims and workers.
	PlatformWireBytes uint64 `json:"platform_wire_bytes"`
}

// Dump is the state of a daemon that GET /debug/state returns.
type Dump struct {
	Status   Status        `json:"status"`
	Dispatch dispatch.View `json:"dispatch"`
	Config   ConfigView    `json:"config"`
	Keys     core.KeysView `json:"keys"`
}

// newOperatorsMux returns the routes of the operators' HTTP interface.
func (d *Daemon) newOperatorsMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, d.status())
	})
	mux.HandleFunc("GET /v1/hosts", d.serveHosts)
	mux.HandleFunc("GET /debug/state", d.serveDump)
	mux.HandleFunc("GET /debug/vars", d.serveVars)
	mux.HandleFunc("GET /v1/config", d.serveConfig)
	mux.HandleFunc("POST /v1/config", d.servePublish)
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		go d.Drain()
		writeJSON(w, http.StatusAccepted, struct{}{})
	})
	addProfileRoutes(mux)
	d.addHealthRoutes(mux)
	return mux
}

// addProfileRoutes adds the runtime profiles of net/http/pprof.
func addProfileRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

// addHealthRoutes adds the liveness and readiness checks for the load balancer.
func (d *Daemon) addHealthRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	})
}

func (d *Daemon) status() Status {
	st := Status{
		Host:        d.settings.Host,
		Zone:        d.settings.Zone,
		Incarnation: d.incarnation.String(),
		Version:     Version,
		UptimeMS:    d.loop.now().Milliseconds(),
		Ready:       d.ready(),
		Draining:    d.draining.Load(),
		PeerTraffic: d.traffic.view(),

		PlatformWireBytes: d.platform.WireBytes(),
	}
	d.loop.query(func(_ time.Duration, s *core.State) {
		st.RevisionInForce, st.LatestRevision = s.Config.InForce(), s.Config.Revision()
		st.OpenJobs = s.Dispatch.OpenJobs()
		st.OpenTasks = s.Dispatch.OpenTasks()
		st.Endpoints = s.Dispatch.Endpoints()
		st.Counters = s.Dispatch.Counters()
		st.Forward = s.Forward.Counters()
		st.Member = s.Member.Counters()
	})
	return st
}

func (d *Daemon) serveDump(w http.ResponseWriter, _ *http.Request) {
	dump := Dump{Status: d.status(), Config: d.configView()}
	d.loop.query(func(now time.Duration, s *core.State) {
		dump.Dispatch = s.Dispatch.View(now)
		dump.Keys = s.Keys()
	})
	writeJSON(w, http.StatusOK, dump)
}
