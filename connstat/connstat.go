// Package connstat counts the bytes sent and received on connections, so that control traffic can
// be compared with its budget. Packages peer and logapi wrap their connections with it; it knows
// nothing of what the bytes mean and leaves the reporting to them.
package connstat

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts bytes sent and received. It is safe for concurrent use.
type Counter struct{ bytes atomic.Uint64 }

// Bytes returns the number of bytes counted so far, in both directions together. TCP and IP headers
// are not included.
func (c *Counter) Bytes() uint64 { return c.bytes.Load() }

// Dial opens a connection whose bytes are counted. It returns the errors of net.Dialer.DialContext.
func (c *Counter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c.Wrap(conn), nil
}

// Wrap returns a connection that counts the bytes read from and written to conn through it.
func (c *Counter) Wrap(conn net.Conn) net.Conn { return &countedConn{Conn: conn, counter: c} }

// Listener returns a listener that accepts connections from l and counts their bytes.
func (c *Counter) Listener(l net.Listener) net.Listener { return &countedListener{l, c} }

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(uint64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Wrap(conn), nil
}
