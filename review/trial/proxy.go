package main

import (
	"net"
	"sync"
	"time"
)

// links are the proxies through which the hosts reach each other. A host is known by the address from
// which it connects; each has a loopback address of its own.
type links struct {
	mu  sync.Mutex
	cut map[string]bool // addresses of the hosts that are cut off from all others
}

// cutPollInterval is the time between two looks at whether a cut has ended.
const cutPollInterval = 5 * time.Millisecond

func newLinks() *links { return &links{cut: make(map[string]bool)} }

// setCut cuts a host off from all others, or ends that.
func (l *links) setCut(ip string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[ip] = cut
}

// open opens the proxy of a host with an address and returns the proxy's address.
func (l *links) open(ip, target string) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(conn, ip, target)
		}
	}()
	return listener.Addr().String(), nil
}

// pass passes the bytes of a connection to a host on, in both directions, and holds them back while one
// of the two hosts is cut off.
func (l *links) pass(conn net.Conn, ip, target string) {
	defer conn.Close()
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	l.awaitPath(source, ip)
	other, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer other.Close()
	go l.pump(other, conn, source, ip)
	l.pump(conn, other, source, ip)
}

func (l *links) pump(to, from net.Conn, a, b string) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.awaitPath(a, b)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitPath waits until neither of two hosts is cut off.
func (l *links) awaitPath(a, b string) {
	for {
		l.mu.Lock()
		cut := l.cut[a] || l.cut[b]
		l.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(cutPollInterval)
	}
}
