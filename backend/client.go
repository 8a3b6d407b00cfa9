package backend

import "net/http"

// Client sends tasks to minions. Its methods may be called concurrently.
type Client struct {
	opts     Options
	tasks    *http.Transport
	cancels  *http.Transport
	counters *counters
}

// New returns a client with its own connections.
func New(opts Options) *Client {
	c := &Client{opts: opts.withDefaults(), counters: newCounters()}
	c.tasks = c.newTransport(c.opts.ConnsPerMinion)
	c.cancels = c.newTransport(min(c.opts.ConnsPerMinion, cancelConnsPerMinion))
	return c
}

// Counters returns the totals since New.
func (c *Client) Counters() Counters { return c.counters.snapshot() }

// Close closes idle connections. Running attempts are not interrupted; to stop them,
// end their context.
func (c *Client) Close() {
	c.tasks.CloseIdleConnections()
	c.cancels.CloseIdleConnections()
}
