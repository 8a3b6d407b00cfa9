package main

import (
	"fmt"
	"io"
	"net"
)

// front is the address that a host advertises to its peers. All peers learn the same
// address, so the front finds the zone of the host that opened a connection by its IP
// and forwards over the route of that zone.
type front struct {
	net      *network
	zone     string
	target   string
	listener net.Listener
}

func newFront(n *network, zone, target string) (*front, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	f := &front{net: n, zone: zone, target: target, listener: ln}
	go f.accept()
	return f, nil
}

func (f *front) address() string { return f.listener.Addr().String() }

func (f *front) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go f.forward(c.(*net.TCPConn))
	}
}

// forward joins the connection with the route. It resets the connection if the route is cut.
func (f *front) forward(c *net.TCPConn) {
	to, err := f.dial(c)
	if err != nil {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	done := make(chan struct{})
	go func() { _, _ = io.Copy(to, c); closeBoth(c, to); close(done) }()
	_, _ = io.Copy(c, to)
	closeBoth(c, to)
	<-done
}

func closeBoth(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
}

func (f *front) dial(c *net.TCPConn) (net.Conn, error) {
	address, err := f.route(c.RemoteAddr().(*net.TCPAddr).IP.String())
	if err != nil {
		return nil, err
	}
	return net.Dial("tcp", address)
}

// route returns the address of the route from the host with the IP.
func (f *front) route(ip string) (string, error) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	source, ok := f.net.zoneOf[ip]
	if !ok {
		return "", fmt.Errorf("a connection from %s, which is no host", ip)
	}
	return f.net.via(source, f.zone, f.target)
}
