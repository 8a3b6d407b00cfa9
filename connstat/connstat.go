// Package connstat counts the bytes that pass through connections, so that control
// traffic can be held against its budget.
package connstat

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts bytes sent and received. It is safe for concurrent use.
type Counter struct{ bytes atomic.Uint64 }

// Bytes returns the count, without the headers of TCP and IP.
func (c *Counter) Bytes() uint64 { return c.bytes.Load() }

// Dial opens a counted connection.
func (c *Counter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c.Wrap(conn), nil
}

// Wrap counts what passes through a connection from now on.
func (c *Counter) Wrap(conn net.Conn) net.Conn { return &countedConn{Conn: conn, counter: c} }

// Listener returns a listener whose connections are counted.
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
