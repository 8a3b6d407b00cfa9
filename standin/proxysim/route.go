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
	// relisten bounds how long a route tries to get its port back after a cut; an
	// outgoing connection may have taken it for a moment.
	relistenTries = 40
	relistenPause = 50 * time.Millisecond
)

// route forwards one loopback port.
type route struct {
	cfg        RouteConfig
	delayNS    atomic.Int64
	hold       atomic.Value // Hold
	accepted   atomic.Int64
	blackHoled atomic.Int64
	bytesTo    atomic.Int64
	bytesFrom  atomic.Int64

	mu       sync.Mutex
	listener net.Listener // nil while the route is cut
	links    map[*link]struct{}
}

func newRoute(cfg RouteConfig) *route {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	return &route{cfg: cfg, links: make(map[*link]struct{})}
}

// holds reports whether the data of a direction is kept back.
func (r *route) holds(direction Hold) bool {
	h, _ := r.hold.Load().(Hold)
	return h == direction || h == HoldBoth
}

func (r *route) delay() time.Duration { return time.Duration(r.delayNS.Load()) }

// open listens and accepts. It does nothing if the route is open.
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
	go r.accept(ln)
	return nil
}

// reopen ends a cut.
func (r *route) reopen() error {
	var err error
	for range relistenTries {
		if err = r.open(); err == nil {
			return nil
		}
		time.Sleep(relistenPause)
	}
	return err
}

// cut closes the listener, so that new connections are refused, and resets the open
// connections. A black-holed one stays silent.
func (r *route) cut() {
	for _, l := range r.closeListener() {
		l.reset()
	}
}

// stop closes the listener and every connection.
func (r *route) stop() {
	for _, l := range r.closeListener() {
		l.abort()
	}
}

func (r *route) closeListener() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
	return r.openLinks()
}

// openLinks copies the set of links. The caller holds mu.
func (r *route) openLinks() []*link {
	links := make([]*link, 0, len(r.links))
	for l := range r.links {
		links = append(links, l)
	}
	return links
}

// swallow turns the open connections into black holes.
func (r *route) swallow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		if !l.blackHole.Swap(true) {
			r.blackHoled.Add(1)
		}
	}
}

func (r *route) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return // the listener is closed
		}
		r.accepted.Add(1)
		go r.connect(ln, c.(*net.TCPConn))
	}
}

// connect dials the target and forwards. If the target cannot be reached, or the route
// was cut meanwhile, the client's connection is reset.
func (r *route) connect(ln net.Listener, client *net.TCPConn) {
	target, err := net.DialTimeout("tcp", r.cfg.Target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	l := &link{route: r, client: client, target: target.(*net.TCPConn)}
	if !r.add(ln, l) {
		l.abort()
		return
	}
	l.run()
	r.remove(l)
}

// add stores the link if the listener that accepted it is still the route's.
func (r *route) add(ln net.Listener, l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != ln {
		return false
	}
	r.links[l] = struct{}{}
	return true
}

func (r *route) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

func (r *route) view() RouteView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RouteView{
		RouteConfig: r.cfg,
		DelayMS:     int(r.delay().Milliseconds()),
		Cut:         r.listener == nil,
		Open:        len(r.links),
		Accepted:    r.accepted.Load(),
		BytesTo:     r.bytesTo.Load(),
		BytesFrom:   r.bytesFrom.Load(),
		BlackHoled:  r.blackHoled.Load(),
	}
}
