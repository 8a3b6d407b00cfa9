package backend

import "net/http"

// Client sends tasks and cancel requests to minions. It is safe for concurrent use.
type Client struct {
	opts            Options
	taskTransport   *http.Transport
	cancelTransport *http.Transport // apart from tasks, see cancelConnsPerMinion
	counters        *counters
}

// New returns a client with connection pools of its own.
func New(opts Options) *Client {
	c := &Client{opts: opts.withDefaults(), counters: newCounters()}
	c.taskTransport = c.newTransport(c.opts.ConnsPerMinion)
	c.cancelTransport = c.newTransport(min(c.opts.ConnsPerMinion, cancelConnsPerMinion))
	return c
}

// Counters returns the totals since New.
func (c *Client) Counters() Counters { return c.counters.snapshot() }

// Close closes idle connections. It does not interrupt running attempts; cancel their contexts to stop them.
func (c *Client) Close() {
	c.taskTransport.CloseIdleConnections()
	c.cancelTransport.CloseIdleConnections()
}
