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
	probeConnections = 24
	// maxProbePause limits the random pause between requests. It is short so that some request is in flight
	// at any moment.
	maxProbePause = 2 * time.Millisecond
	// reconnectPause is the pause after a reply that closes its connection. Without it, new connections
	// would use up the ports.
	reconnectPause = 100 * time.Millisecond
)

// probe sends requests to one host until it no longer listens. If the host closes a connection with a
// request in flight, the meter counts it. The requests are POST because net/http does not repeat those on
// its own. The returned function waits until the probes have ended.
func probe(ctx context.Context, url string, m *meter, seed uint64) (wait func()) {
	var group sync.WaitGroup
	for n := range probeConnections {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		group.Go(func() {
			for ctx.Err() == nil && m.dialFailed.Load() == 0 {
				pause := time.Duration(random.Int64N(int64(maxProbePause)))
				if probeOnce(ctx, url, m) {
					pause = reconnectPause
				}
				time.Sleep(pause)
			}
		})
	}
	return group.Wait
}

// probeOnce asks for a ticket and reports whether the connection is closed or failed.
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
