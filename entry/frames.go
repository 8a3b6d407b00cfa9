package entry

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
	"google.golang.org/protobuf/proto"

	"sesameledge.dev/sesameledge/admission"
	"sesameledge.dev/sesameledge/mesh"
	"sesameledge.dev/sesameledge/mesh/meshpb"
)

const (
	// decodedFrameFactor is the memory that a frame takes while it waits to be processed, in sizes of its
	// encoding.
	decodedFrameFactor = 3
	// freeFrameBytes of a frame are part of what is accounted for each connection.
	freeFrameBytes = 32 << 10
)

// frameArrival is a frame of another host with a function to call when it was processed.
type frameArrival struct {
	frame     *meshpb.Frame
	processed func()
}

// newMeshServer returns the server for the frames of other hosts. The memory of frames that wait to be
// processed is bounded: when it is used up, hosts are not read from until there is room.
func (h *Host) newMeshServer(g *gate) *mesh.Server {
	limit := h.settings.frameBytes()
	waiting := semaphore.NewWeighted(limit)
	handle := func(f *meshpb.Frame) {
		size := min(limit, decodedFrameFactor*int64(proto.Size(f)))
		if waiting.Acquire(h.loop.context, size) != nil {
			return // the loop has ended
		}
		h.loop.send(frameArrival{frame: f, processed: func() { waiting.Release(size) }})
	}
	server := mesh.NewServer(handle, grpc.StatsHandler(frameMeter{g}))
	server.ReportFailure = func(err error) { h.reportFrameFailure("in", "", err) }
	return server
}

// frameMeter accounts for the bytes of frames that have not been received completely. It is a
// stats.Handler.
type frameMeter struct{ gate *gate }

// frameAccountKey is the key of a connection's account in the contexts of its streams.
type frameAccountKey struct{}

// TagConn implements stats.Handler.
func (m frameMeter) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	c := m.gate.find(info.RemoteAddr.String())
	if c == nil {
		return ctx // closed already
	}
	a := &frameAccount{conn: c}
	c.setOnRead(a.receive)
	return context.WithValue(ctx, frameAccountKey{}, a)
}

// TagRPC implements stats.Handler.
func (frameMeter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (frameMeter) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (frameMeter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.InPayload); !ok {
		return
	}
	if a, ok := ctx.Value(frameAccountKey{}).(*frameAccount); ok {
		a.complete()
	}
}

// frameAccount is the account of what a connection has received of a frame.
type frameAccount struct {
	conn               *guardedConn
	mu                 sync.Mutex
	received, reserved int64
}

// receive reserves memory for received bytes. It waits for it, so that the sender has to wait, and fails
// if there is none.
func (a *frameAccount) receive(n int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.received += int64(n)
	if more := a.received - freeFrameBytes - a.reserved; more > 0 {
		a.conn.enter(admission.Body)
		if err := a.conn.grow(more); err != nil {
			return err
		}
		a.reserved += more
		return nil
	}
	a.conn.enter(admission.Idle)
	return nil
}

// complete frees the memory of a frame that was received completely.
func (a *frameAccount) complete() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn.release(a.reserved)
	a.received, a.reserved = 0, 0
	a.conn.enter(admission.Idle)
}
