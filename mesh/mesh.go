// Package mesh carries frames between entry hosts over gRPC. Each host opens a stream to
// each other one and sends its frames there. Frames may be lost: package session sends
// their messages again.
package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

const (
	// queueFrames bounds the frames that wait for a connection.
	queueFrames = 64
	// connectTimeout bounds an attempt to connect. A host of another zone answers within
	// milliseconds; one that is cut off does not answer at all.
	connectTimeout = 500 * time.Millisecond
	// windowBytes is the flow control window of a stream.
	windowBytes = 256 << 10
	// unackedTimeout is how long the kernel keeps a connection whose bytes stay
	// unacknowledged.
	unackedTimeout = 2 * time.Second
)

// Server takes the frames of other hosts.
type Server struct {
	meshpb.UnimplementedMeshServer
	take func(*meshpb.Frame)
	grpc *grpc.Server
}

// NewServer returns a server that hands each frame to take.
func NewServer(take func(*meshpb.Frame)) *Server {
	s := &Server{take: take, grpc: grpc.NewServer(grpc.InitialWindowSize(windowBytes), grpc.NumStreamWorkers(0))}
	meshpb.RegisterMeshServer(s.grpc, s)
	return s
}

// Serve takes connections until Stop.
func (s *Server) Serve(l net.Listener) error {
	return errors.Wrap(s.grpc.Serve(l), "serving other hosts")
}

// Stop closes all connections.
func (s *Server) Stop() { s.grpc.Stop() }

// Deliver implements meshpb.MeshServer.
func (s *Server) Deliver(stream grpc.ClientStreamingServer[meshpb.Frame, meshpb.DeliverReply]) error {
	for {
		f, err := stream.Recv()
		if err != nil {
			return err // the sender has closed the stream or is gone
		}
		s.take(f)
	}
}

// Links are the streams to other hosts. Use NewLinks.
type Links struct {
	local net.IP
	mu    sync.Mutex
	links map[string]*link
}

// NewLinks returns links whose connections leave from an IP.
func NewLinks(local net.IP) *Links {
	return &Links{local: local, links: make(map[string]*link)}
}

// Send queues a frame for the host at an address. A frame for which there is no room is
// dropped.
func (l *Links) Send(addr string, f *meshpb.Frame) {
	select {
	case l.link(addr).frames <- f:
	default: // the host does not read; the session sends the messages again
	}
}

// Redial closes the connection to an address; the next frame opens another one.
func (l *Links) Redial(addr string) { l.drop(addr) }

// Close closes all connections.
func (l *Links) Close() {
	l.mu.Lock()
	addrs := make([]string, 0, len(l.links))
	for addr := range l.links {
		addrs = append(addrs, addr)
	}
	l.mu.Unlock()
	for _, addr := range addrs {
		l.drop(addr)
	}
}

func (l *Links) link(addr string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[addr]
	if k == nil {
		ctx, cancel := context.WithCancel(context.Background())
		k = &link{addr: addr, local: l.local, frames: make(chan *meshpb.Frame, queueFrames), cancel: cancel}
		l.links[addr] = k
		go k.run(ctx)
	}
	return k
}

func (l *Links) drop(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.links[addr]; k != nil {
		k.cancel()
		delete(l.links, addr)
	}
}

// link is the stream to one host.
type link struct {
	addr   string
	local  net.IP
	frames chan *meshpb.Frame
	cancel context.CancelFunc
}

// run sends frames until ctx ends. After a failure it starts over with the next frame.
func (k *link) run(ctx context.Context) {
	conn, err := k.dial()
	if err != nil {
		return // the address is unusable; checked settings and peers do not yield one
	}
	defer conn.Close()
	client := meshpb.NewMeshClient(conn)
	for ctx.Err() == nil {
		k.stream(ctx, client)
	}
}

// stream opens a stream for the next frame and sends frames on it until one fails.
func (k *link) stream(ctx context.Context, client meshpb.MeshClient) {
	f, ok := k.next(ctx)
	if !ok {
		return
	}
	stream, err := client.Deliver(ctx)
	for ok && err == nil {
		if err = stream.Send(f); err == nil {
			f, ok = k.next(ctx)
		}
	}
}

func (k *link) next(ctx context.Context) (*meshpb.Frame, bool) {
	select {
	case f := <-k.frames:
		return f, true
	case <-ctx.Done():
		return nil, false
	}
}

func (k *link) dial() (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+k.addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(k.connect),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: 500 * time.Millisecond},
			MinConnectTimeout: connectTimeout,
		}))
}

func (k *link) connect(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, LocalAddr: &net.TCPAddr{IP: k.local}, Control: limitUnacked}
	return d.DialContext(ctx, "tcp4", addr)
}
