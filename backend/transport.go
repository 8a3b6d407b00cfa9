package backend

import (
	"context"
	"net"
	"net/http"
)

// maxHeaderBytes limits the size of the header of a minion's answer.
const maxHeaderBytes = 16 << 10

// cancelConnsPerMinion limits the connections to one minion that carry cancel requests. Cancel requests
// and tasks use separate connections, so that a cancellation does not wait behind the tasks it cancels.
const cancelConnsPerMinion = 2

// keepAliveProbes is the number of unanswered TCP keepalive probes after which a connection is closed.
const keepAliveProbes = 3

// newTransport returns an HTTP/1.1 transport without proxies or compression that opens at most conns
// connections to each minion.
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
		ExpectContinueTimeout:  c.opts.transportContinueTimeout(),
	}
}

// dial opens a TCP connection that detects a silent peer, and wraps it in a trackedConn.
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
	return &trackedConn{Conn: inner}, nil
}
