package backend

import (
	"net"
	"sync/atomic"
)

// trackedConn records whether a request has put any byte on the connection. If it has not, the task
// cannot have started: a reused connection that the minion has closed often fails before the first byte
// of the next request.
type trackedConn struct {
	net.Conn
	writeCount    atomic.Uint64 // writes that may have put bytes on the wire
	writesStopped atomic.Bool
}

// Write sends p. It returns net.ErrClosed once stopWritesCheckUnused has been called.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.writeCount.Add(1)
	if c.writesStopped.Load() {
		c.writeCount.Add(^uint64(0))
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writeCount.Add(^uint64(0))
	}
	return n, err
}

// stopWritesCheckUnused makes all later writes fail and reports whether no byte has been sent since
// writeCount was before. A concurrent Write either increments writeCount before it is compared or sees
// that writes are stopped.
func (c *trackedConn) stopWritesCheckUnused(before uint64) bool {
	c.writesStopped.Store(true)
	return c.writeCount.Load() == before
}
