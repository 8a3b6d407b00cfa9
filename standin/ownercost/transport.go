package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

// countingTransport counts messages between callers and hosts. A request and its response
// are one message each.
type countingTransport struct {
	base     http.RoundTripper
	messages atomic.Uint64
}

func newCountingTransport() *countingTransport {
	return &countingTransport{base: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 2 * time.Second}}
}

// RoundTrip implements http.RoundTripper.
func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.messages.Add(1)
	resp, err := t.base.RoundTrip(r)
	if err == nil {
		t.messages.Add(1)
	}
	return resp, err
}
