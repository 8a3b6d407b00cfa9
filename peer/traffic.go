package peer

import (
	"context"
	"net"
	"sync/atomic"

	"google.golang.org/grpc/stats"

	"sesameledge.dev/sesameledge/connstat"
	"sesameledge.dev/sesameledge/peer/peerpb"
)

// Traffic counts the messages and bytes that a process exchanges with other entry hosts. It is
// safe for concurrent use.
type Traffic struct {
	control, task classCounter
	wire          connstat.Counter
}

// classCounter counts the messages of one class, control or task, and their encoded bytes.
type classCounter struct{ messages, bytes atomic.Uint64 }

// TrafficCounters holds the values of Traffic since the process started, sent plus received.
type TrafficCounters struct {
	ControlMessages uint64 `json:"control_messages"` // gossip and configuration
	ControlBytes    uint64 `json:"control_bytes"`    // encoded messages
	TaskMessages    uint64 `json:"task_messages"`    // forwarded requests and answers handed over
	TaskBytes       uint64 `json:"task_bytes"`
	// WireBytes counts the bytes of all connections, including HTTP/2 framing and TLS, but
	// without the TCP and IP headers.
	WireBytes uint64 `json:"wire_bytes"`
}

// Read returns the present values of the counters.
func (t *Traffic) Read() TrafficCounters {
	return TrafficCounters{
		ControlMessages: t.control.messages.Load(),
		ControlBytes:    t.control.bytes.Load(),
		TaskMessages:    t.task.messages.Load(),
		TaskBytes:       t.task.bytes.Load(),
		WireBytes:       t.wire.Bytes(),
	}
}

// classKey is the context key of a call's *classCounter.
type classKey struct{}

// statsHandler is a gRPC stats.Handler that counts the messages of each call by class.
type statsHandler struct{ traffic *Traffic }

// TagRPC implements stats.Handler. It stores the class of the call in the context.
func (h statsHandler) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	class := &h.traffic.control
	switch info.FullMethodName {
	case peerpb.Peer_Forward_FullMethodName, peerpb.Peer_StoreAnswers_FullMethodName:
		class = &h.traffic.task
	}
	return context.WithValue(ctx, classKey{}, class)
}

// HandleRPC implements stats.Handler. It counts the messages sent and received.
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

// TagConn implements stats.Handler. Bytes of connections are counted by Listener and dial.
func (statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (statsHandler) HandleConn(context.Context, stats.ConnStats) {}

// Listener wraps a listener so that the bytes of its connections are counted.
func (t *Traffic) Listener(l net.Listener) net.Listener { return t.wire.Listener(l) }
