package minionsim

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener closes connections above a limit right after accepting them, and can
// make the open ones go silent. Silent connections don't count towards the limit.
type limitListener struct {
	net.Listener
	limit   int
	refused func() // called for each connection closed because of the limit

	mu   sync.Mutex
	open map[*conn]struct{}
}

func newLimitListener(ln net.Listener, limit int, refused func()) *limitListener {
	return &limitListener{Listener: ln, limit: limit, refused: refused, open: make(map[*conn]struct{})}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		l.refused()
		_ = raw.Close()
	}
}

func (l *limitListener) admit(raw net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		return nil
	}
	c := &conn{Conn: raw, listener: l}
	l.open[c] = struct{}{}
	return c
}

func (l *limitListener) release(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// silence makes the open connections silent permanently and returns their number.
func (l *limitListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.open)
	for c := range l.open {
		c.silent.Store(true)
	}
	clear(l.open)
	return n
}

// conn is a connection that can go silent: it then discards what it receives and sends
// nothing, while it stays open.
type conn struct {
	net.Conn
	listener *limitListener
	silent   atomic.Bool
}

// Read reads from the connection; on a silent one it returns only at its end.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection; on a silent one it discards the data.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.release(c)
	return c.Conn.Close()
}
