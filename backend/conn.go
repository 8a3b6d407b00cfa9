package backend

import (
	"net"
	"sync/atomic"
)

// conn tells whether a request put any byte on the connection. A reused connection that
// the minion has closed often fails before the first byte of the next request.
type conn struct {
	net.Conn
	writes atomic.Uint64 // writes that may have put bytes on the wire
	sealed atomic.Bool
}

// Write sends p, unless the connection is sealed.
func (c *conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	if c.sealed.Load() {
		c.writes.Add(^uint64(0))
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(^uint64(0))
	}
	return n, err
}

// sealUnused reports whether no byte has left since writes had the given value. It
// stops all later writes: a concurrent Write either counts itself before the check or
// sees the seal.
func (c *conn) sealUnused(writes uint64) bool {
	c.sealed.Store(true)
	return c.writes.Load() == writes
}
