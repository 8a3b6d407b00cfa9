package daemon

import (
	"context"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/peer"
)

const (
	// trafficEvery is the interval of the readings that rates are computed from.
	trafficEvery = time.Second
	// trafficReadings is how many readings are kept; rates cover the time between the
	// oldest and the newest.
	trafficReadings = 11
)

// TrafficView is the traffic with other entry hosts, sent and received.
type TrafficView struct {
	peer.TrafficCounters
	ControlMessagesPerSecond float64 `json:"control_messages_per_second"` // over the last 10 s
	ControlBytesPerSecond    float64 `json:"control_bytes_per_second"`
	TaskBytesPerSecond       float64 `json:"task_bytes_per_second"`
	WireBytesPerSecond       float64 `json:"wire_bytes_per_second"`
}

// trafficRate keeps readings of the traffic counters.
type trafficRate struct {
	counters *peer.Traffic
	mu       sync.Mutex
	readings []trafficReading
}

type trafficReading struct {
	at    time.Time
	value peer.TrafficCounters
}

// follow takes readings until the context ends.
func (t *trafficRate) follow(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		t.readings = append(t.readings, trafficReading{time.Now(), t.counters.Read()})
		t.readings = t.readings[max(len(t.readings)-trafficReadings, 0):]
		t.mu.Unlock()
		pause.For(ctx, trafficEvery)
	}
}

func (t *trafficRate) view() TrafficView {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := TrafficView{TrafficCounters: t.counters.Read()}
	if len(t.readings) < 2 {
		return v
	}
	first, last := t.readings[0], t.readings[len(t.readings)-1]
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
