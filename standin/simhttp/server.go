// Package simhttp holds the HTTP plumbing that the stand-ins share: a server on a
// loopback address and strict JSON messages.
package simhttp

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// headerTimeout bounds how long a client may take to send its request header.
const headerTimeout = 30 * time.Second

// ErrNotLoopback marks a listen address outside the loopback network. The stand-ins
// carry test traffic only and have no authentication.
var ErrNotLoopback = errors.New("address is not a loopback address")

// Listen opens a TCP listener on a loopback IP:port; port 0 picks a free one. The
// error is marked with ErrNotLoopback if the address is not a loopback address.
func Listen(address string) (net.Listener, error) {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen address %q", address)
	}
	if !addr.IP.IsLoopback() {
		return nil, errors.Wrapf(ErrNotLoopback, "listen address %q", address)
	}
	ln, err := net.ListenTCP("tcp", addr)
	return ln, errors.Wrapf(err, "listen on %q", address)
}

// Server serves one handler on one listener.
type Server struct {
	http *http.Server
	addr string
	done chan struct{}
}

// Serve starts to serve the handler on the listener and returns at once.
func Serve(ln net.Listener, handler http.Handler) *Server {
	s := &Server{
		http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		addr: ln.Addr().String(),
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		// Serve returns ErrServerClosed after Close; other errors end the stand-in's
		// service, which its clients observe as refused connections.
		_ = s.http.Serve(ln)
	}()
	return s
}

// Addr returns the IP:port that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Close closes the listener and all connections, without waiting for handlers.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}
