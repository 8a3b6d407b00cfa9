package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/admission"
)

const (
	// growWait is how long a request waits for memory before it is refused, and growRetry the time
	// between two attempts.
	growWait  = 300 * time.Millisecond
	growRetry = 10 * time.Millisecond
	// freeHeaderBytes of a header are part of what is accounted for each connection. A larger one takes
	// parsedHeaderFactor times its size while it is parsed.
	freeHeaderBytes    = 4 << 10
	parsedHeaderFactor = 2
)

var (
	errNoRoom  = errors.New("no memory is left for the request")
	errDropped = errors.New("closed to make room for other clients")
	errHeader  = errors.New("the header is too large")
)

// guardedConn is a connection with an account.
type guardedConn struct {
	*net.TCPConn
	gate   *gate
	id     admission.ID
	first  int64                             // bytes of the current header, received by one goroutine at a time
	held   int64                             // bytes reserved for the current request, changed by one goroutine at a time
	onRead atomic.Pointer[func(n int) error] // called for what is received; an error ends the connection
	once   sync.Once
	reset  bool // set before abort closes the connection
}

// Read implements net.Conn. It accounts for what is received.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.gate.mu.Lock()
	phase := c.gate.ledger.Receive(c.gate.now(), c.id, n)
	limit := c.gate.headerBytes
	c.gate.mu.Unlock()
	if onRead := c.onRead.Load(); onRead != nil {
		return n, errors.CombineErrors((*onRead)(n), err)
	}
	if phase != admission.Header {
		return n, err
	}
	return n, errors.CombineErrors(c.accountHeader(int64(n), limit), err)
}

// accountHeader accounts for bytes of a header.
func (c *guardedConn) accountHeader(n, limit int64) error {
	c.first += n
	if limit > 0 && c.first > limit+headerSlack {
		c.gate.count(admission.HeaderTooLarge)
		return errHeader
	}
	if c.first <= freeHeaderBytes {
		return nil
	}
	if ok, _ := c.tryGrow(n * parsedHeaderFactor); !ok {
		c.gate.count(admission.NoMemory)
		return errNoRoom
	}
	return nil
}

// Close implements net.Conn. It closes the account.
func (c *guardedConn) Close() error {
	c.once.Do(func() {
		c.gate.mu.Lock()
		defer c.gate.mu.Unlock()
		c.gate.ledger.Close(c.id)
		delete(c.gate.conns, c.id)
	})
	return c.TCPConn.Close()
}

// setOnRead sets a function to call for what is received.
func (c *guardedConn) setOnRead(f func(n int) error) { c.onRead.Store(&f) }

// enter records the phase of the connection's request. A nil connection has no account.
func (c *guardedConn) enter(p admission.Phase) {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.Enter(c.gate.now(), c.id, p)
}

// finish records that a request was answered and that the connection waits for the next one.
func (c *guardedConn) finish() {
	c.first = 0
	c.release(c.held)
	c.enter(admission.Idle)
}

// tryGrow reserves bytes if they are free. Otherwise it closes slower connections and reports false.
func (c *guardedConn) tryGrow(n int64) (ok, dropped bool) {
	c.gate.mu.Lock()
	drop, ok := c.gate.ledger.Grow(c.gate.now(), c.id, n)
	dropped = c.gate.ledger.IsDropped(c.id)
	conns := c.gate.lookUp(drop)
	c.gate.mu.Unlock()
	abort(conns)
	if ok {
		c.held += n
	}
	return ok, dropped
}

// grow reserves bytes for the connection's request. It waits a short time for others to free them, and
// returns errNoRoom or errDropped if that fails.
func (c *guardedConn) grow(n int64) error {
	for deadline := time.Now().Add(growWait); ; time.Sleep(growRetry) {
		ok, dropped := c.tryGrow(n)
		switch {
		case ok:
			return nil
		case dropped:
			return errDropped
		case time.Now().After(deadline):
			c.gate.count(admission.NoMemory)
			return errNoRoom
		}
	}
}

// release frees bytes of the connection's request.
func (c *guardedConn) release(n int64) {
	if n == 0 {
		return
	}
	c.held -= n
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.ledger.Release(c.id, n)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn makes a connection known to the requests that arrive on it.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection on which a request has arrived, or nil if it is not guarded.
func connOf(ctx context.Context) *guardedConn {
	c, _ := ctx.Value(connKey{}).(*guardedConn)
	return c
}
