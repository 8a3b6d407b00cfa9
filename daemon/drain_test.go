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

// slowPeer answers a forwarded request once it is released.
type slowPeer struct {
	peerpb.UnimplementedPeerServer
	entered, release chan struct{}
}

func (s *slowPeer) Forward(context.Context, *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	close(s.entered)
	<-s.release
	return &peerpb.ForwardReply{}, nil
}

// noticedListener tells that it was closed.
type noticedListener struct {
	net.Listener
	once   sync.Once
	closed chan struct{}
}

func (l *noticedListener) Close() error {
	err := l.Listener.Close()
	l.once.Do(func() { close(l.closed) })
	return err
}

// TestAddressOutlastsReplies guards against a peer address that another process can bind
// while a reply to another host is still open.
func TestAddressOutlastsReplies(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held, err := holdListener(plain)
	if err != nil {
		t.Fatal(err)
	}
	slow := &slowPeer{entered: make(chan struct{}), release: make(chan struct{})}
	server := grpc.NewServer()
	peerpb.RegisterPeerServer(server, slow)
	closed := make(chan struct{})
	go func() { _ = server.Serve(&noticedListener{Listener: held, closed: closed}) }()
	address := held.Addr().String()
	replied := forwardTo(t, address)
	<-slow.entered
	stopped := make(chan struct{})
	go func() { stopServer(context.Background(), server); close(stopped) }()
	<-closed // by the graceful stop
	if l, err := net.Listen("tcp", address); err == nil {
		_ = l.Close()
		t.Error("the address is free while a request is open")
	}
	close(slow.release)
	if err := <-replied; err != nil {
		t.Error(err)
	}
	<-stopped
	held.release()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("after the release: %v", err)
	}
	_ = l.Close()
}

// forwardTo sends one request and returns the channel of its result.
func forwardTo(t *testing.T, address string) <-chan error {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	replied := make(chan error, 1)
	go func() {
		_, err := peerpb.NewPeerClient(conn).Forward(context.Background(), &peerpb.ForwardRequest{})
		replied <- err
	}()
	return replied
}
