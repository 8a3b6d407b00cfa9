package daemon

import (
	"context"
	"net"
	"sync"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"sesameledge.dev/sesameledge/peer/peerpb"
)

// blockingPeerServer blocks each forwarded request until release is closed.
type blockingPeerServer struct {
	peerpb.UnimplementedPeerServer
	received, release chan struct{}
}

func (s *blockingPeerServer) Forward(context.Context, *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	close(s.received)
	<-s.release
	return &peerpb.ForwardReply{}, nil
}

// closeNotifyingListener closes a channel when it is closed.
type closeNotifyingListener struct {
	net.Listener
	once   sync.Once
	closed chan struct{}
}

func (l *closeNotifyingListener) Close() error {
	err := l.Listener.Close()
	l.once.Do(func() { close(l.closed) })
	return err
}

// TestPeerAddressHeldUntilRepliesSent guards against a peer address that another process can bind
// while a reply to another host is still being sent.
func TestPeerAddressHeldUntilRepliesSent(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := newBoundListener(tcpListener)
	if err != nil {
		t.Fatal(err)
	}
	blockingPeer := &blockingPeerServer{received: make(chan struct{}), release: make(chan struct{})}
	server := grpc.NewServer()
	peerpb.RegisterPeerServer(server, blockingPeer)
	closed := make(chan struct{})
	go func() { _ = server.Serve(&closeNotifyingListener{Listener: listener, closed: closed}) }()
	address := listener.Addr().String()
	forwardErr := forwardTo(t, address)
	<-blockingPeer.received
	stopped := make(chan struct{})
	go func() { stopGRPCServer(context.Background(), server); close(stopped) }()
	<-closed // closed by the graceful stop
	if l, err := net.Listen("tcp", address); err == nil {
		_ = l.Close()
		t.Error("the address is free while a request is open")
	}
	close(blockingPeer.release)
	if err := <-forwardErr; err != nil {
		t.Error(err)
	}
	<-stopped
	listener.releaseAddress()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("after the release: %v", err)
	}
	_ = l.Close()
}

// forwardTo sends one Forward request and returns a channel that receives its error.
func forwardTo(t *testing.T, address string) <-chan error {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	forwardErr := make(chan error, 1)
	go func() {
		_, err := peerpb.NewPeerClient(conn).Forward(context.Background(), &peerpb.ForwardRequest{})
		forwardErr <- err
	}()
	return forwardErr
}
