// Package mesh carries frames between entry hosts over gRPC. Each host opens one stream to every
// other host and sends its frames on it. Frames may be lost: package session sends their messages
// again. Package host makes the frames and processes received ones.
package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

const (
	// maxStreams limits the streams of one connection. Hosts use one, and a new one after it has failed.
	maxStreams = 1
	// maxHeaderBytes limits the header of a stream, which hosts leave almost empty.
	maxHeaderBytes = 8 << 10
	// handshakeTimeout limits the time until a new connection speaks HTTP/2.
	handshakeTimeout = 3 * time.Second
	// readBufferBytes is the read buffer of a connection. The default of 32 KiB is kept by each connection
	// whose type gRPC does not know. Larger frames are read without it.
	readBufferBytes = 4 << 10
	// maxQueuedFrames limits the frames that wait for a connection to one host.
	maxQueuedFrames = 64
	// connectTimeout limits one attempt to connect. A reachable host of another zone answers within
	// milliseconds; a partitioned one does not answer at all.
	connectTimeout = 500 * time.Millisecond
	// streamWindowBytes is the flow control window of a stream.
	streamWindowBytes = 256 << 10
	// unackedTimeout is how long the kernel keeps a connection with sent bytes that the other side
	// has not acknowledged.
	unackedTimeout = 2 * time.Second
	// MaxFrameBytes limits the encoded size of a frame on both sides. Processes of earlier versions take no
	// larger ones either. Package session keeps the messages of a frame below it.
	MaxFrameBytes = 4 << 20
)

// frameFailure reports whether an error says that a frame itself cannot be encoded, decoded or taken for
// its size. Other errors are those of the connection.
func frameFailure(err error) bool {
	code := status.Code(err)
	return code == codes.Internal || code == codes.ResourceExhausted
}

// Server receives the frames of other hosts. Create it with NewServer.
type Server struct {
	meshpb.UnimplementedMeshServer
	handleFrame func(*meshpb.Frame)
	grpc        *grpc.Server
	// ReportFailure is called for each frame that cannot be decoded, if it is set before Serve. The stream
	// ends with such a frame.
	ReportFailure func(error)
}

// NewServer returns a server that calls handleFrame for each received frame. Calls for frames of
// different streams run concurrently. The options are added to those of the server.
func NewServer(handleFrame func(*meshpb.Frame), options ...grpc.ServerOption) *Server {
	options = append([]grpc.ServerOption{
		grpc.InitialWindowSize(streamWindowBytes), grpc.NumStreamWorkers(0),
		grpc.MaxRecvMsgSize(MaxFrameBytes), grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.ReadBufferSize(readBufferBytes),
	}, options...)
	s := &Server{handleFrame: handleFrame, grpc: grpc.NewServer(options...)}
	meshpb.RegisterMeshServer(s.grpc, s)
	return s
}

// Serve accepts connections until Stop is called, and returns nil then. It returns an error if the
// listener fails.
func (s *Server) Serve(l net.Listener) error {
	return errors.Wrap(s.grpc.Serve(l), "serving other hosts")
}

// Stop closes the listener and all connections.
func (s *Server) Stop() { s.grpc.Stop() }

// Deliver implements meshpb.MeshServer. It receives the frames of one stream.
func (s *Server) Deliver(stream grpc.ClientStreamingServer[meshpb.Frame, meshpb.DeliverReply]) error {
	for {
		f, err := stream.Recv()
		if err != nil {
			if s.ReportFailure != nil && frameFailure(err) {
				s.ReportFailure(errors.Wrap(err, "receiving a frame"))
			}
			return err // mostly, the sender has closed the stream or is gone
		}
		s.handleFrame(f)
	}
}

// Links holds the streams to other hosts. Create it with NewLinks.
type Links struct {
	// ReportFailure is called with the address for each frame that cannot be encoded or is too large, if it
	// is set before the first Send. Package session keeps such messages out of frames.
	ReportFailure func(addr string, err error)
	localIP       net.IP
	mu            sync.Mutex
	links         map[string]*link // by address
}

// NewLinks returns an empty set of links whose connections use localIP as their source address.
func NewLinks(localIP net.IP) *Links {
	return &Links{localIP: localIP, links: make(map[string]*link)}
}

// Send queues a frame for the host at an address (IP:port), and opens a stream if there is none. The
// frame is dropped if the queue is full.
func (l *Links) Send(addr string, f *meshpb.Frame) {
	select {
	case l.linkTo(addr).frames <- f:
	default: // the host does not receive; the session sends the messages again
	}
}

// CloseLink closes the connection to an address and drops its queued frames. The next Send opens a new
// connection.
func (l *Links) CloseLink(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.links[addr]; k != nil {
		k.cancel()
		delete(l.links, addr)
	}
}

// Close closes all connections.
func (l *Links) Close() {
	l.mu.Lock()
	addrs := make([]string, 0, len(l.links))
	for addr := range l.links {
		addrs = append(addrs, addr)
	}
	l.mu.Unlock()
	for _, addr := range addrs {
		l.CloseLink(addr)
	}
}

// linkTo returns the link to an address, and starts it if there is none.
func (l *Links) linkTo(addr string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[addr]
	if k == nil {
		ctx, cancel := context.WithCancel(context.Background())
		k = &link{addr: addr, localIP: l.localIP, frames: make(chan *meshpb.Frame, maxQueuedFrames), cancel: cancel, reportFailure: l.ReportFailure}
		l.links[addr] = k
		go k.run(ctx)
	}
	return k
}

// link is the stream to one host and the queue of its frames.
type link struct {
	addr          string
	localIP       net.IP
	frames        chan *meshpb.Frame
	cancel        context.CancelFunc // ends run
	reportFailure func(addr string, err error)
}

// run sends frames until ctx ends. After a failure it opens a new stream for the next frame; the frame
// that failed is lost.
func (k *link) run(ctx context.Context) {
	conn, err := k.newClientConn()
	if err != nil {
		return // the address is malformed; validated settings and peers do not contain such an address
	}
	defer conn.Close()
	client := meshpb.NewMeshClient(conn)
	for ctx.Err() == nil {
		k.sendFrames(ctx, client)
	}
}

// sendFrames waits for a frame, opens a stream, and sends frames on it until one fails or ctx ends.
func (k *link) sendFrames(ctx context.Context, client meshpb.MeshClient) {
	f, ok := k.nextFrame(ctx)
	if !ok {
		return
	}
	stream, err := client.Deliver(ctx)
	for ok && err == nil {
		if err = stream.Send(f); err == nil {
			f, ok = k.nextFrame(ctx)
		} else if k.reportFailure != nil && frameFailure(err) {
			k.reportFailure(k.addr, errors.Wrap(err, "sending a frame"))
		}
	}
}

// nextFrame waits for a queued frame. It reports false when ctx ends.
func (k *link) nextFrame(ctx context.Context) (*meshpb.Frame, bool) {
	select {
	case f := <-k.frames:
		return f, true
	case <-ctx.Done():
		return nil, false
	}
}

// newClientConn returns a connection that is established when it is first used.
func (k *link) newClientConn() (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+k.addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(k.dialTCP),
		grpc.WithInitialWindowSize(streamWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(MaxFrameBytes)),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: 500 * time.Millisecond},
			MinConnectTimeout: connectTimeout,
		}))
}

func (k *link) dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, LocalAddr: &net.TCPAddr{IP: k.localIP}, Control: setUnackedTimeout}
	return d.DialContext(ctx, "tcp4", addr)
}
