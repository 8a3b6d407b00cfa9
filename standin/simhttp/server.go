// Package simhttp provides the HTTP helpers that the stand-ins share: a server that listens on a
// loopback address only, strict decoding of JSON requests, JSON responses, and waiting for a signal
// to stop. The routes and the simulated behaviour belong to the stand-ins.
package simhttp

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// headerTimeout limits the time that a client may take to send its request header.
const headerTimeout = 30 * time.Second

// ErrNotLoopback reports a listen address outside the loopback network. The stand-ins accept
// loopback addresses only, because they carry test traffic and have no authentication.
var ErrNotLoopback = errors.New("address is not a loopback address")

// Listen opens a TCP listener on a loopback IP:port; port 0 selects a free port. The error wraps
// ErrNotLoopback if the address is not a loopback address. Other errors report an invalid address
// or a failed bind.
func Listen(address string) (net.Listener, error) {
	tcpAddr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen address %q", address)
	}
	if !tcpAddr.IP.IsLoopback() {
		return nil, errors.Wrapf(ErrNotLoopback, "listen address %q", address)
	}
	ln, err := net.ListenTCP("tcp", tcpAddr)
	return ln, errors.Wrapf(err, "listen on %q", address)
}

// Server serves one HTTP handler on one listener.
type Server struct {
	httpServer *http.Server
	addr       string        // IP:port
	stopped    chan struct{} // closed when the server no longer accepts connections
}

// Serve starts serving the handler on the listener and returns immediately.
func Serve(ln net.Listener, handler http.Handler) *Server {
	s := &Server{
		httpServer: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		addr:       ln.Addr().String(),
		stopped:    make(chan struct{}),
	}
	go func() {
		defer close(s.stopped)
		// Serve returns ErrServerClosed after Close. After any other error the stand-in no longer
		// serves, and its clients see refused connections.
		_ = s.httpServer.Serve(ln)
	}()
	return s
}

// Addr returns the IP:port on which the server listens.
func (s *Server) Addr() string { return s.addr }

// Close closes the listener and all connections. It does not wait for running handlers.
func (s *Server) Close() {
	_ = s.httpServer.Close()
	<-s.stopped
}
