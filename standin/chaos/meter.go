package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// meter counts what callers see on their connections.
type meter struct {
	base     http.RoundTripper
	wire     wire
	requests atomic.Int64 // requests sent or tried
	replies  atomic.Int64 // whole replies
	notSent  atomic.Int64 // connection refused
	cutOff   atomic.Int64 // connection lost after the request may have been sent
}

// RoundTrip implements http.RoundTripper.
func (m *meter) RoundTrip(r *http.Request) (*http.Response, error) {
	m.requests.Add(1)
	job := submittedJob(r)
	resp, err := m.base.RoundTrip(r)
	if err != nil {
		m.lost(r.Context(), err)
		return nil, err
	}
	resp.Body = &meteredBody{ReadCloser: resp.Body, meter: m, ctx: r.Context(), path: r.URL.Path, job: job}
	return resp, nil
}

// lost counts a failed request. One that the caller gave up is not cut off by the host.
func (m *meter) lost(ctx context.Context, err error) {
	var op *net.OpError
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &op) && op.Op == "dial":
		m.notSent.Add(1)
	default:
		m.cutOff.Add(1)
	}
}

type meteredBody struct {
	io.ReadCloser
	meter *meter
	ctx   context.Context
	path  string
	job   []byte // of a submission
	text  []byte // of the reply
}

// Read implements io.Reader and counts the end of the reply.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.text = append(b.text, p[:n]...)
	switch {
	case errors.Is(err, io.EOF):
		b.meter.wire.record(b.path, b.job, b.text)
		b.meter.replies.Add(1)
	case err != nil:
		b.meter.lost(b.ctx, err)
	}
	return n, err
}
