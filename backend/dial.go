package backend

import (
	"context"
	"net"
	"net/http"
)

// maxHeaderBytes bounds the header of a minion's answer.
const maxHeaderBytes = 16 << 10

// cancelConnsPerMinion bounds the connections that carry cancel messages. They are
// apart from those for tasks, so that a cancellation does not wait behind the tasks
// that it is meant to end.
const cancelConnsPerMinion = 2

// keepAliveProbes is the number of unanswered TCP probes that close a connection.
const keepAliveProbes = 3

// newTransport returns an HTTP/1.1 transport without proxies or compression.
func (c *Client) newTransport(conns int) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            c.dial,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        c.opts.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ExpectContinueTimeout:  c.opts.continueTimeout(),
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: c.opts.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     c.opts.KeepAlive,
			Interval: c.opts.KeepAlive,
			Count:    keepAliveProbes,
		},
		Control: controlUserTimeout(c.opts.UserTimeout),
	}
	c.counters.dials.Add(1)
	inner, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner}, nil
}
