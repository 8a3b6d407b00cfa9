package main

import (
	"fmt"
	"io"
	"net"
)

// peerProxy listens on the address that a host advertises to its peers. All peers learn the same address, so
// the proxy determines the zone of the connecting host by its IP and forwards over the route of that zone.
type peerProxy struct {
	network  *network
	zone     string
	target   string
	listener net.Listener
}

func newPeerProxy(n *network, zone, target string) (*peerProxy, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	p := &peerProxy{network: n, zone: zone, target: target, listener: ln}
	go p.accept()
	return p, nil
}

func (p *peerProxy) address() string { return p.listener.Addr().String() }

func (p *peerProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.forward(c.(*net.TCPConn))
	}
}

// forward copies data between the connection and the route. It resets the connection if the route is cut.
func (p *peerProxy) forward(c *net.TCPConn) {
	to, err := p.dial(c)
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

func (p *peerProxy) dial(c *net.TCPConn) (net.Conn, error) {
	address, err := p.routeFrom(c.RemoteAddr().(*net.TCPAddr).IP.String())
	if err != nil {
		return nil, err
	}
	return net.Dial("tcp", address)
}

// routeFrom returns the address of the route from the host with this IP.
func (p *peerProxy) routeFrom(ip string) (string, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	source, ok := p.network.zoneByIP[ip]
	if !ok {
		return "", fmt.Errorf("a connection from %s, which is no host", ip)
	}
	return p.network.routeAddress(source, p.zone, p.target)
}
