package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/member"
)

// Status is a short summary of a daemon.
type Status struct {
	Host        string            `json:"host"`
	Zone        string            `json:"zone"`
	Incarnation string            `json:"incarnation"`
	Version     string            `json:"version"`
	UptimeMS    int64             `json:"uptime_ms"`
	Ready       bool              `json:"ready"`
	Draining    bool              `json:"draining"`
	Revision    uint64            `json:"config_revision"`
	OpenJobs    int               `json:"open_jobs"`
	OpenTasks   int               `json:"open_tasks"`
	Endpoints   int               `json:"endpoints"`
	Counters    dispatch.Counters `json:"counters"`
	Forward     forward.Counters  `json:"forward"`
	Member      member.Counters   `json:"member"`
	PeerTraffic TrafficView       `json:"peer_traffic"`
}

// Dump is the state of a daemon on request.
type Dump struct {
	Status   Status            `json:"status"`
	Dispatch dispatch.View     `json:"dispatch"`
	History  []config.Revision `json:"config_history"`
}

// ConfigReply answers GET /v1/config.
type ConfigReply struct {
	Revision uint64            `json:"revision"`
	Text     string            `json:"text"`
	History  []config.Revision `json:"history,omitempty"`
}

// PublishReply answers POST /v1/config.
type PublishReply struct {
	Accepted bool   `json:"accepted"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason,omitempty"`
}

// operatorsMux serves the operators' interface.
func (d *Daemon) operatorsMux() *http.ServeMux {
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
	profileRoutes(mux)
	d.healthRoutes(mux)
	return mux
}

// profileRoutes adds the runtime's profiles.
func profileRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

// healthRoutes adds the liveness and readiness pages, which the load balancer reads.
func (d *Daemon) healthRoutes(mux *http.ServeMux) {
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
	}
	d.loop.query(func(_ time.Duration, s *core.State) {
		st.Revision = s.Config.Revision()
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
	dump := Dump{Status: d.status()}
	d.loop.query(func(now time.Duration, s *core.State) {
		dump.Dispatch = s.Dispatch.View(now)
		dump.History = s.Config.History()
	})
	writeJSON(w, http.StatusOK, dump)
}

func (d *Daemon) serveConfig(w http.ResponseWriter, r *http.Request) {
	var reply ConfigReply
	d.loop.query(func(_ time.Duration, s *core.State) {
		history := s.Config.History()
		if n := len(history); n > 0 {
			reply.Revision = history[n-1].Number
			reply.Text = history[n-1].Record.Text
		}
		if r.URL.Query().Has("history") {
			reply.History = history
		}
	})
	writeJSON(w, http.StatusOK, reply)
}

// servePublish appends a configuration record and waits until the fold has judged it.
func (d *Daemon) servePublish(w http.ResponseWriter, r *http.Request) {
	var rec config.Record
	dec := json.NewDecoder(io.LimitReader(r.Body, d.settings.Limits.BodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&rec); err != nil || rec.ID == "" {
		writeJSON(w, http.StatusBadRequest, api.Errorf(api.CodeMalformed, "", "the body is not a configuration record with an id"))
		return
	}
	outcome, err := d.publish(r.Context(), &rec)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, api.Errorf(api.CodeLogUnavailable, "", "%v", err))
		return
	}
	status := http.StatusOK
	if !outcome.Accepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, PublishReply{Accepted: outcome.Accepted, Revision: outcome.Revision, Reason: outcome.Reason})
}
