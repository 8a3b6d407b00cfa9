package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	probers = 24
	// probePause keeps a connection busy enough that a request is on its way at any moment.
	probePause = 2 * time.Millisecond
	// probeClosed is the pause after a reply that closes its connection; new connections
	// would use up the ports otherwise.
	probeClosed = 100 * time.Millisecond
)

// probe keeps connections to one host busy until it no longer listens, so that a host that
// closes connections with a request on its way is noticed by the meter. The requests are
// POST, which net/http does not repeat on its own.
func probe(ctx context.Context, url string, m *meter, seed uint64) (wait func()) {
	var group sync.WaitGroup
	for n := range probers {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		group.Go(func() {
			for ctx.Err() == nil && m.notSent.Load() == 0 {
				pause := time.Duration(random.Int64N(int64(probePause)))
				if probeOnce(ctx, url, m) {
					pause = probeClosed
				}
				time.Sleep(pause)
			}
		})
	}
	return group.Wait
}

// probeOnce asks for a ticket and reports whether the reply closes the connection.
func probeOnce(ctx context.Context, url string, m *meter) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/tickets", strings.NewReader(`{"schema":1,"count":1}`))
	if err != nil {
		return true
	}
	resp, err := m.RoundTrip(req)
	if err != nil {
		return true
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.Close
}
