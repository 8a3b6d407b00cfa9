package daemon

import (
	"expvar"
	"fmt"
	"net/http"
	"time"

	"sesameledge.dev/sesameledge/core"
)

// newMetrics returns the metrics of this daemon. They are not published globally, since tests run
// several daemons in one process.
func (d *Daemon) newMetrics() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("host", expvar.Func(func() any { return d.settings.Host }))
	m.Set("uptime_ms", expvar.Func(func() any { return d.loop.now().Milliseconds() }))
	m.Set("reducer_queue", expvar.Func(func() any { return len(d.loop.inputs) }))
	m.Set("backend", expvar.Func(func() any { return d.backend.Counters() }))
	m.Set("worker", expvar.Func(func() any { return d.workers.Counters() }))
	m.Set("dispatch", d.stateMetric(func(s *core.State) any { return s.Dispatch.Counters() }))
	m.Set("forward", d.stateMetric(func(s *core.State) any { return s.Forward.Counters() }))
	m.Set("open_jobs", d.stateMetric(func(s *core.State) any { return s.Dispatch.OpenJobs() }))
	m.Set("open_tasks", d.stateMetric(func(s *core.State) any { return s.Dispatch.OpenTasks() }))
	m.Set("endpoints", d.stateMetric(func(s *core.State) any { return s.Dispatch.Endpoints() }))
	m.Set("config_revision", d.stateMetric(func(s *core.State) any { return s.Config.InForce() }))
	m.Set("config_latest", d.stateMetric(func(s *core.State) any { return s.Config.Revision() }))
	m.Set("member", d.stateMetric(func(s *core.State) any { return s.Member.Counters() }))
	m.Set("tls_handshake_errors", expvar.Func(func() any { return d.listenerErrors.handshakeFailures() }))
	m.Set("peer_traffic", expvar.Func(func() any { return d.traffic.view() }))
	return m
}

// stateMetric returns a metric that is read from the state machine.
func (d *Daemon) stateMetric(read func(*core.State) any) expvar.Func {
	return func() any {
		var v any
		d.loop.query(func(_ time.Duration, s *core.State) { v = read(s) })
		return v
	}
}

// serveVars serves the expvar metrics of the process and those of this daemon.
func (d *Daemon) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(w, "{\n%q: %s", "sesameledge", d.metrics.String())
	expvar.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
	})
	fmt.Fprint(w, "\n}\n")
}
