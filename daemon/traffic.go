package daemon

import (
	"context"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/peer"
)

const (
	// trafficSampleInterval is the interval between the samples from which rates are computed.
	trafficSampleInterval = time.Second
	// trafficSampleCount is the number of samples kept. Rates cover the time from the oldest to the
	// newest.
	trafficSampleCount = 11
)

// TrafficView is the traffic with other entry hosts, sent plus received.
type TrafficView struct {
	peer.TrafficCounters
	ControlMessagesPerSecond float64 `json:"control_messages_per_second"` // over the last 10 s
	ControlBytesPerSecond    float64 `json:"control_bytes_per_second"`
	TaskBytesPerSecond       float64 `json:"task_bytes_per_second"`
	WireBytesPerSecond       float64 `json:"wire_bytes_per_second"`
}

// trafficSampler keeps recent samples of the traffic counters.
type trafficSampler struct {
	counters *peer.Traffic
	mu       sync.Mutex
	samples  []trafficSample
}

type trafficSample struct {
	at    time.Time
	value peer.TrafficCounters
}

// run takes samples until the context ends.
func (t *trafficSampler) run(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		t.samples = append(t.samples, trafficSample{time.Now(), t.counters.Read()})
		t.samples = t.samples[max(len(t.samples)-trafficSampleCount, 0):]
		t.mu.Unlock()
		pause.For(ctx, trafficSampleInterval)
	}
}

func (t *trafficSampler) view() TrafficView {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := TrafficView{TrafficCounters: t.counters.Read()}
	if len(t.samples) < 2 {
		return v
	}
	first, last := t.samples[0], t.samples[len(t.samples)-1]
	seconds := last.at.Sub(first.at).Seconds()
	rate := func(read func(peer.TrafficCounters) uint64) float64 {
		return float64(read(last.value)-read(first.value)) / seconds
	}
	v.ControlMessagesPerSecond = rate(func(c peer.TrafficCounters) uint64 { return c.ControlMessages })
	v.ControlBytesPerSecond = rate(func(c peer.TrafficCounters) uint64 { return c.ControlBytes })
	v.TaskBytesPerSecond = rate(func(c peer.TrafficCounters) uint64 { return c.TaskBytes })
	v.WireBytesPerSecond = rate(func(c peer.TrafficCounters) uint64 { return c.WireBytes })
	return v
}
