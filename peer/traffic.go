package peer

import (
	"context"
	"net"
	"sync/atomic"

	"google.golang.org/grpc/stats"

	"sesameledge.dev/sesameledge/connstat"
	"sesameledge.dev/sesameledge/peer/peerpb"
)

// Traffic counts what a process sends to and receives from other entry hosts. It is safe
// for concurrent use.
type Traffic struct {
	control, task classCounter
	wire          connstat.Counter
}

type classCounter struct{ messages, bytes atomic.Uint64 }

// TrafficCounters is a reading of Traffic since the process started, sent and received.
type TrafficCounters struct {
	ControlMessages uint64 `json:"control_messages"` // gossip and configuration
	ControlBytes    uint64 `json:"control_bytes"`    // encoded messages
	TaskMessages    uint64 `json:"task_messages"`    // forwarded requests and answers handed over
	TaskBytes       uint64 `json:"task_bytes"`
	// WireBytes counts the bytes of all connections, with HTTP/2 framing and TLS, without
	// the headers of TCP and IP.
	WireBytes uint64 `json:"wire_bytes"`
}

// Read returns the counters.
func (t *Traffic) Read() TrafficCounters {
	return TrafficCounters{
		ControlMessages: t.control.messages.Load(),
		ControlBytes:    t.control.bytes.Load(),
		TaskMessages:    t.task.messages.Load(),
		TaskBytes:       t.task.bytes.Load(),
		WireBytes:       t.wire.Bytes(),
	}
}

type classKey struct{}

// statsHandler counts the messages of each call by its class.
type statsHandler struct{ traffic *Traffic }

// TagRPC implements stats.Handler.
func (h statsHandler) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	class := &h.traffic.control
	switch info.FullMethodName {
	case peerpb.Peer_Forward_FullMethodName, peerpb.Peer_StoreAnswers_FullMethodName:
		class = &h.traffic.task
	}
	return context.WithValue(ctx, classKey{}, class)
}

// HandleRPC implements stats.Handler.
func (h statsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	class, ok := ctx.Value(classKey{}).(*classCounter)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.InPayload:
		class.add(s.WireLength)
	case *stats.OutPayload:
		class.add(s.WireLength)
	}
}

func (c *classCounter) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(uint64(bytes))
}

// TagConn implements stats.Handler.
func (statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (statsHandler) HandleConn(context.Context, stats.ConnStats) {}

// Listener returns a listener whose connections are counted.
func (t *Traffic) Listener(l net.Listener) net.Listener { return t.wire.Listener(l) }
