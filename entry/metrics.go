package entry

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// maxLatency is the largest latency that the histograms record. Longer ones count as this.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits that the histograms keep.
	latencyDigits = 2
)

// metrics holds the latency histograms of a host by name, in microseconds. The counters are kept
// by the state machines of packages host and sched.
type metrics struct {
	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram
}

func newMetrics() *metrics {
	return &metrics{latencies: make(map[string]*hdrhistogram.Histogram)}
}

// observe adds a duration to the histogram of that name.
func (m *metrics) observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.latencies[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		m.latencies[name] = h
	}
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds())) // within the bounds
}

// latencySummary summarises a histogram, in ms.
type latencySummary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// summaries returns the summary of each histogram by its name.
func (m *metrics) summaries() map[string]latencySummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]latencySummary, len(m.latencies))
	for name, h := range m.latencies {
		ms := func(us int64) float64 { return float64(us) / 1000 }
		out[name] = latencySummary{
			Count: h.TotalCount(), Mean: h.Mean() / 1000,
			P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
		}
	}
	return out
}

// observeAnswer records the time from a job's arrival to its answer, by outcome.
func (m *metrics) observeAnswer(o sched.Outcome, elapsed time.Duration) {
	m.observe("job."+o.String(), elapsed)
}

// operatorHandler returns the handler of the metrics address. It serves metrics for Prometheus at
// /metrics and as JSON at /debug/vars, and the state of the process at /debug/state.
func (h *Host) operatorHandler() http.Handler {
	vars := new(expvar.Map).Init()
	vars.Set("host", expvar.Func(func() any { return h.hostStats() }))
	vars.Set("sched", expvar.Func(func() any { return h.schedStats() }))
	vars.Set("latency", expvar.Func(func() any { return h.metrics.summaries() }))
	vars.Set("worker_call_timeout_ms", expvar.Func(func() any { return h.workerCallTimeout().Milliseconds() }))
	vars.Set("log_lines_left_out", expvar.Func(func() any { return h.logOutput.droppedLines() }))
	vars.Set("event_panics", expvar.Func(func() any { return h.loop.panics.Load() }))
	vars.Set("frames_lost", expvar.Func(func() any { return h.frameFailures[0].Load() + h.frameFailures[1].Load() }))
	vars.Set("clients", expvar.Func(func() any { return h.gateStats() }))
	vars.Set("memstats", expvar.Get("memstats"))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintln(w, vars.String()) // fails only if the client has disconnected
	})
	mux.HandleFunc("GET /debug/state", h.serveState)
	mux.HandleFunc("GET /metrics", h.serveMetrics)
	return mux
}

func (h *Host) hostStats() (stats host.Stats) {
	h.loop.readState(func(_ time.Duration, s *host.State) { stats = s.Stats() })
	return stats
}

// workerCallTimeout returns the time after which calls to workers count as unanswered. It rises when
// the link or the processor of this host is a bottleneck.
func (h *Host) workerCallTimeout() (timeout time.Duration) {
	h.loop.readState(func(_ time.Duration, s *host.State) { timeout = s.Scheduler().CallTimeout() })
	return timeout
}

func (h *Host) schedStats() (stats sched.Stats) {
	h.loop.readState(func(_ time.Duration, s *host.State) { stats = s.Scheduler().Stats() })
	return stats
}
