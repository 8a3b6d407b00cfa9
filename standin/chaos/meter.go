package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// meter is an HTTP transport that counts the callers' requests, replies and lost connections.
type meter struct {
	base       http.RoundTripper
	replyLog   replyLog
	requests   atomic.Int64 // including those that failed
	replies    atomic.Int64 // complete replies
	dialFailed atomic.Int64 // no connection was established
	cutOff     atomic.Int64 // connection lost after the request may have been sent
}

// RoundTrip implements http.RoundTripper.
func (m *meter) RoundTrip(r *http.Request) (*http.Response, error) {
	m.requests.Add(1)
	job := submittedJob(r)
	resp, err := m.base.RoundTrip(r)
	if err != nil {
		m.countFailure(r.Context(), err)
		return nil, err
	}
	resp.Body = &meteredBody{ReadCloser: resp.Body, meter: m, ctx: r.Context(), path: r.URL.Path, job: job}
	return resp, nil
}

// countFailure counts a failed request. It ignores a request that the caller itself gave up.
func (m *meter) countFailure(ctx context.Context, err error) {
	var op *net.OpError
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &op) && op.Op == "dial":
		m.dialFailed.Add(1)
	default:
		m.cutOff.Add(1)
	}
}

type meteredBody struct {
	io.ReadCloser
	meter *meter
	ctx   context.Context
	path  string
	job   []byte // body of the request if it is a submission
	body  []byte // the reply as read so far
}

// Read implements io.Reader. At the end of the reply it counts and records the reply.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.body = append(b.body, p[:n]...)
	switch {
	case errors.Is(err, io.EOF):
		b.meter.replyLog.record(b.path, b.job, b.body)
		b.meter.replies.Add(1)
	case err != nil:
		b.meter.countFailure(b.ctx, err)
	}
	return n, err
}
