package entry

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"

	"sesameledge.dev/sesameledge/crash"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/sched"
)

// latencyBucketBounds are the upper bounds of the latency histogram's buckets.
var latencyBucketBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// snapshot holds the values that a host's counters and gauges are made of.
type snapshot struct {
	host            host.Stats
	sched           sched.Stats
	openJobs        int
	cells           int
	callTimeout     time.Duration // of calls to workers
	version         int64         // of the configuration in force
	droppedLogLines int64         // log lines dropped since the start
	queues          []sched.QueueDump
	panics          int64 // panics in the event loop
	framesNotSent   int64 // frames that could not be encoded
	framesNotRead   int64 // frames that could not be decoded
	evacuations     []host.EvacuationDump
	startTimes      map[string]time.Duration // by phase of the start
	crashingTasks   []crash.CrashingTask
	lagging         []host.LaggingHost
	messageBytes    map[string]host.MessageBytes // by kind
}

// snapshot reads the current values. It reports false if the event loop has ended.
func (h *Host) snapshot() (s snapshot, ok bool) {
	s.droppedLogLines = h.logOutput.droppedLines()
	s.panics = h.loop.panics.Load()
	s.framesNotSent, s.framesNotRead = h.frameFailures[0].Load(), h.frameFailures[1].Load()
	ok = h.loop.readState(func(now time.Duration, state *host.State) {
		s.evacuations = state.Evacuations(now)
		s.host, s.sched = state.Stats(), state.Scheduler().Stats()
		s.openJobs, s.cells = state.OpenJobs(), state.CellCount()
		s.startTimes = state.StartTimes()
		s.callTimeout = state.Scheduler().CallTimeout()
		s.queues = state.Scheduler().Queues()
		s.crashingTasks = state.Scheduler().Crashes().CrashingTasks(maxCrashingTasks)
		s.lagging = state.LaggingHosts(now)
		s.messageBytes = state.MessageBytes()
		if c := state.Config(); c != nil {
			s.version = c.Version
		}
	})
	return s, ok
}

// serveMetrics writes the metrics in the Prometheus text format.
func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s, ok := h.snapshot()
	if !ok {
		http.Error(w, "the host has stopped", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	_ = writeFamilies(w, append(append(s.families(), h.gateFamilies()...), h.metrics.latencyFamily())) // fails only if the client has disconnected
}

// writeFamilies writes metric families in the Prometheus text format.
func writeFamilies(w io.Writer, families []*dto.MetricFamily) error {
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return errors.Wrapf(err, "writing %s", f.GetName())
		}
	}
	return nil
}

// families returns the counters and gauges.
func (s snapshot) families() []*dto.MetricFamily {
	h, d := s.host, s.sched
	return append([]*dto.MetricFamily{
		counter("jobs_arrived_total", "Jobs of this host's callers.", "", labelValues{"": h.Arrived}),
		counter("jobs_answered_total", "Jobs of this host's callers that have ended, by outcome.", "outcome", labelValues{
			"completed": h.Completed, "failed": h.Failed, "refused": h.Refused, "aborted": h.Aborted, "caller_gone": h.Gone,
			"cancelled": h.Cancelled,
		}),
		counter("jobs_passed_on_total", "Jobs handed to another host.", "", labelValues{"": h.PassedOn}),
		counter("jobs_scheduled_total", "Jobs of all hosts that have ended on the workers of this host, by outcome.", "outcome", labelValues{
			"completed": d.Completed, "failed": d.Failed, "refused": d.Refused, "aborted": d.Aborted,
			"cancelled": d.Cancelled,
		}),
		counter("cancellations_total", "Cancellations by this host's callers, by result.", "result", labelValues{
			"done": h.CancelsDone, "not_found": h.CancelsNotFound, "unknown": h.CancelsUnknown,
		}),
		counter("run_starts_total", "Starts sent to workers.", "", labelValues{"": d.Starts}),
		counter("run_stops_total", "Stops sent to workers.", "", labelValues{"": d.Stops}),
		counter("run_ends_total", "Runs that have ended, by how.", "how", labelValues{
			"done": d.Done, "failed": d.FailedRuns, "lapsed": d.Lapsed, "lost": d.Lost, "hung": d.Hangs,
		}),
		counter("run_restarts_total", "Starts of tasks of which a run has ended before, by what shows that it is over.", "former_run_over_by", restartCounts(d)),
		counter("worker_losses_total", "Workers lost with runs on them, by the evidence known then.", "evidence", lossCounts(d)),
		counter("jobs_given_up_total", "Jobs that ended as failed for the crashes under a task.", "", labelValues{"": d.GivenUp}),
		gauge("unwanted_run_ms_max", "Longest time in ms for which a run may have gone on after its job was wanted.", d.LongestUnwanted.Milliseconds()),
		counter("run_starts_unanswered_total", "Starts that a worker did not answer.", "", labelValues{"": d.Doubts}),
		counter("foreign_runs_total", "Runs of other hosts found on own workers and stopped.", "", labelValues{"": d.Foreign}),
		counter("invariant_violations_total", "Starts that an internal check has stopped.", "", labelValues{"": d.Violations}),
		counter("cell_changes_total", "Cells that this host has taken and lost.", "change", labelValues{"taken": h.CellsTaken, "lost": h.CellsLost}),
		counter("frames_total", "Frames exchanged with other hosts.", "direction", labelValues{"in": h.FramesIn, "out": h.FramesOut}),
		counter("frames_refused_total", "Frames refused because no sound host sends their values.", "", labelValues{"": h.FramesRefused}),
		counter("frames_lost_total", "Frames that could not be encoded or decoded, or were too large.", "direction", labelValues{"in": s.framesNotRead, "out": s.framesNotSent}),
		counter("messages_refused_total", "Messages to other hosts that were not sent: not text, too large, or too many waiting.", "", labelValues{"": h.MessagesRefused}),
		counter("event_panics_total", "Panics while an event was applied. The host has given up its jobs and cells each time.", "", labelValues{"": s.panics}),
		counter("redials_total", "Connections to other hosts that were replaced because they were silent.", "", labelValues{"": h.Redials}),
		counter("log_lines_left_out_total", "Log lines left out to bound the volume.", "", labelValues{"": s.droppedLogLines}),
		gauge("open_jobs", "Jobs of this host's callers without an answer.", int64(s.openJobs)),
		gauge("cells", "Cells that this host commands or hands over.", int64(s.cells)),
		gauge("worker_call_timeout_ms", "Time in ms after which calls to workers count as unanswered. It rises when answers are slow.", s.callTimeout.Milliseconds()),
		startGauge(s.startTimes),
		gauge("config_version", "Version of the configuration in force, 0 if there is none.", s.version),
	}, slices.Concat(s.zoneGauges(), s.lagFamilies(), s.messageFamilies(), s.crashFamilies(), queueFamilies(s.queues))...)
}

// restartCounts returns the starts of tasks of which a run has ended before, by what shows that it is over.
func restartCounts(d sched.Stats) labelValues {
	values := make(labelValues, len(d.Restarts))
	for basis, n := range d.Restarts {
		values[sched.EndBasis(basis).String()] = n
	}
	return values
}

// zoneGauges returns the gauges with one metric for each availability zone.
func (s snapshot) zoneGauges() []*dto.MetricFamily {
	if len(s.evacuations) == 0 {
		return nil // no zones are known, and a family needs a metric
	}
	return []*dto.MetricFamily{
		s.zoneGauge("evacuation_requested", "1 for each zone that gets no new work.", func(e host.EvacuationDump) int64 {
			if e.Requested {
				return 1
			}
			return 0
		}),
		s.zoneGauge("evacuation_in_force_ms", "Time in ms since the evacuation of a zone came into force on this host, 0 if it has not.", func(e host.EvacuationDump) int64 { return e.InForceMS }),
		s.zoneGauge("zone_runs", "Runs on the workers of a zone that this host commands.", func(e host.EvacuationDump) int64 { return int64(e.Runs) }),
	}
}

// zoneGauge returns a gauge family with one metric for each availability zone.
func (s snapshot) zoneGauge(name, help string, value func(host.EvacuationDump) int64) *dto.MetricFamily {
	values := labelValues{}
	for _, e := range s.evacuations {
		values[e.Zone] = value(e)
	}
	return gaugeBy(name, help, "zone", values)
}

// labelValues maps each value of a metric's label to the metric's value.
type labelValues map[string]int64

// namePrefix is the start of every metric's name.
const namePrefix = "sesameledge_"

// counter returns a counter family with one metric for each label value. An empty label name
// stands for a metric without a label.
func counter(name, help, label string, byLabel labelValues) *dto.MetricFamily {
	f := &dto.MetricFamily{Name: ptr(namePrefix + name), Help: ptr(help), Type: dto.MetricType_COUNTER.Enum()}
	for _, value := range slices.Sorted(maps.Keys(byLabel)) {
		m := &dto.Metric{Counter: &dto.Counter{Value: ptr(float64(byLabel[value]))}}
		if label != "" {
			m.Label = []*dto.LabelPair{{Name: ptr(label), Value: ptr(value)}}
		}
		f.Metric = append(f.Metric, m)
	}
	return f
}

// gauge returns a gauge family with one metric that has no label.
func gauge(name, help string, value int64) *dto.MetricFamily {
	return &dto.MetricFamily{
		Name: ptr(namePrefix + name), Help: ptr(help), Type: dto.MetricType_GAUGE.Enum(),
		Metric: []*dto.Metric{{Gauge: &dto.Gauge{Value: ptr(float64(value))}}},
	}
}

// startGauge returns the time that the process has taken to each phase of its start.
func startGauge(times map[string]time.Duration) *dto.MetricFamily {
	f := &dto.MetricFamily{
		Name: ptr(namePrefix + "start_seconds"), Help: ptr("Time from the start of the process to each phase of it, 0 if it was not reached."),
		Type: dto.MetricType_GAUGE.Enum(),
	}
	for _, phase := range host.StartPhases() {
		f.Metric = append(f.Metric, &dto.Metric{
			Label: []*dto.LabelPair{{Name: ptr("phase"), Value: ptr(phase)}}, Gauge: &dto.Gauge{Value: ptr(times[phase].Seconds())},
		})
	}
	return f
}

// latencyFamily returns the histograms of all latencies.
func (m *metrics) latencyFamily() *dto.MetricFamily {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &dto.MetricFamily{
		Name: ptr(namePrefix + "latency_seconds"), Help: ptr("Time to the answer, by what was asked."), Type: dto.MetricType_HISTOGRAM.Enum(),
	}
	for _, name := range slices.Sorted(maps.Keys(m.latencies)) {
		f.Metric = append(f.Metric, &dto.Metric{
			Label:     []*dto.LabelPair{{Name: ptr("what"), Value: ptr(name)}},
			Histogram: toPrometheus(m.latencies[name]),
		})
	}
	return f
}

// toPrometheus converts a histogram of microseconds to cumulative buckets of seconds.
func toPrometheus(h *hdrhistogram.Histogram) *dto.Histogram {
	out := &dto.Histogram{
		SampleCount: ptr(uint64(h.TotalCount())),
		SampleSum:   ptr(h.Mean() * float64(h.TotalCount()) / 1e6),
	}
	buckets := h.Distribution()
	for _, bound := range latencyBucketBounds {
		count := uint64(0)
		for _, bucket := range buckets {
			if bucket.To <= bound.Microseconds() {
				count += uint64(bucket.Count)
			}
		}
		out.Bucket = append(out.Bucket, &dto.Bucket{CumulativeCount: ptr(count), UpperBound: ptr(bound.Seconds())})
	}
	return out
}

func ptr[T any](v T) *T { return &v }
