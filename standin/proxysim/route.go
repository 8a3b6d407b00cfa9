package proxysim

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sesameledge.dev/sesameledge/standin/simhttp"
)

const (
	dialTimeout = 5 * time.Second
	// After a cut, a route tries at most reopenAttempts times to bind its port again, because an
	// outgoing connection may use the port for a short time.
	reopenAttempts = 40
	reopenInterval = 50 * time.Millisecond
)

// route forwards the connections to one loopback port to its target and applies faults to them.
type route struct {
	cfg                   RouteConfig
	delayNS               atomic.Int64
	heldDirections        atomic.Value // Hold
	acceptedConnections   atomic.Int64 // since the start
	blackHoledConnections atomic.Int64 // since the start
	bytesToTarget         atomic.Int64
	bytesFromTarget       atomic.Int64

	mu          sync.Mutex
	listener    net.Listener // nil while the route is cut
	connections map[*connection]struct{}
}

func newRoute(cfg RouteConfig) *route {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	return &route{cfg: cfg, connections: make(map[*connection]struct{})}
}

// isHeld reports whether the route holds back the data of a direction, HoldToTarget or HoldFromTarget.
func (r *route) isHeld(direction Hold) bool {
	held, _ := r.heldDirections.Load().(Hold)
	return held == direction || held == HoldBoth
}

func (r *route) delay() time.Duration { return time.Duration(r.delayNS.Load()) }

// open binds the port and starts accepting connections. It does nothing if the route is already
// open. Later calls bind the same port, even if the configuration left the choice to the system.
func (r *route) open() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		return nil
	}
	ln, err := simhttp.Listen(r.cfg.Listen)
	if err != nil {
		return err
	}
	r.cfg.Listen = ln.Addr().String()
	r.listener = ln
	go r.acceptConnections(ln)
	return nil
}

// reopen ends a cut. It retries while the port cannot be bound and returns the last error if every
// attempt fails.
func (r *route) reopen() error {
	var err error
	for range reopenAttempts {
		if err = r.open(); err == nil {
			return nil
		}
		time.Sleep(reopenInterval)
	}
	return err
}

// cut closes the listener, so that new connections are refused, and resets the open connections.
// Black-holed connections stay open and silent.
func (r *route) cut() {
	for _, c := range r.closeListener() {
		c.abortUnlessBlackHole()
	}
}

// stop closes the listener and all connections, including black-holed ones.
func (r *route) stop() {
	for _, c := range r.closeListener() {
		c.abort()
	}
}

// closeListener stops accepting connections and returns the open ones.
func (r *route) closeListener() []*connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
	return r.connectionList()
}

// connectionList returns a copy of the set of open connections. The caller must hold mu.
func (r *route) connectionList() []*connection {
	list := make([]*connection, 0, len(r.connections))
	for c := range r.connections {
		list = append(list, c)
	}
	return list
}

// blackHoleConnections makes all open connections black holes.
func (r *route) blackHoleConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		if !c.blackHole.Swap(true) {
			r.blackHoledConnections.Add(1)
		}
	}
}

// acceptConnections serves each accepted connection in its own goroutine until the listener is
// closed.
func (r *route) acceptConnections(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return // the listener is closed
		}
		r.acceptedConnections.Add(1)
		go r.dialAndForward(ln, conn.(*net.TCPConn))
	}
}

// dialAndForward connects to the target and forwards data until both directions have ended. It
// resets the client's connection if the target cannot be reached, or if the route was cut in the
// meantime.
func (r *route) dialAndForward(ln net.Listener, client *net.TCPConn) {
	target, err := net.DialTimeout("tcp", r.cfg.Target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &connection{route: r, client: client, target: target.(*net.TCPConn)}
	if !r.addConnection(ln, c) {
		c.abort()
		return
	}
	c.forwardBoth()
	r.removeConnection(c)
}

// addConnection registers an open connection. It returns false without registering it if the
// listener that accepted it is no longer the route's current listener.
func (r *route) addConnection(ln net.Listener, c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != ln {
		return false
	}
	r.connections[c] = struct{}{}
	return true
}

func (r *route) removeConnection(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
}

// describe returns the current state and the counters of the route.
func (r *route) describe() RouteView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RouteView{
		RouteConfig:           r.cfg,
		DelayMS:               int(r.delay().Milliseconds()),
		Cut:                   r.listener == nil,
		OpenConnections:       len(r.connections),
		AcceptedConnections:   r.acceptedConnections.Load(),
		BytesToTarget:         r.bytesToTarget.Load(),
		BytesFromTarget:       r.bytesFromTarget.Load(),
		BlackHoledConnections: r.blackHoledConnections.Load(),
	}
}
