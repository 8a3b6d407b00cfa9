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
	// maxLatency bounds what the histograms tell apart.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits that they keep.
	latencyDigits = 2
)

// metrics holds the latency histograms of a host, by what they time. Counters come from the
// state machines.
type metrics struct {
	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram
}

func newMetrics() *metrics {
	return &metrics{latencies: make(map[string]*hdrhistogram.Histogram)}
}

// observe adds a duration to a histogram.
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

// latency is the summary of a histogram, in ms.
type latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func (m *metrics) summaries() map[string]latency {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]latency, len(m.latencies))
	for name, h := range m.latencies {
		ms := func(us int64) float64 { return float64(us) / 1000 }
		out[name] = latency{
			Count: h.TotalCount(), Mean: h.Mean() / 1000,
			P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
		}
	}
	return out
}

// observeAnswer times a caller's job by its outcome.
func (m *metrics) observeAnswer(o sched.Outcome, took time.Duration) {
	m.observe("job."+o.String(), took)
}

// operators returns the handler of the metrics address: figures at /metrics for collectors and at
// /debug/vars, the state of the process at /debug/state.
func (h *Host) operators() http.Handler {
	vars := new(expvar.Map).Init()
	vars.Set("host", expvar.Func(func() any { return h.counters() }))
	vars.Set("sched", expvar.Func(func() any { return h.schedCounters() }))
	vars.Set("latency", expvar.Func(func() any { return h.metrics.summaries() }))
	vars.Set("log_lines_left_out", expvar.Func(func() any { return h.writer.omittedLines() }))
	vars.Set("memstats", expvar.Get("memstats"))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintln(w, vars.String()) // the reader is gone
	})
	mux.HandleFunc("GET /debug/state", h.serveState)
	mux.HandleFunc("GET /metrics", h.serveMetrics)
	return mux
}

func (h *Host) counters() (stats host.Stats) {
	h.loop.query(func(_ time.Duration, s *host.State) { stats = s.Stats() })
	return stats
}

func (h *Host) schedCounters() (stats sched.Stats) {
	h.loop.query(func(_ time.Duration, s *host.State) { stats = s.Sched().Stats() })
	return stats
}
