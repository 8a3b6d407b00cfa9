//go:build linux

package daemon

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestShutdownServesPendingConnections guards against requests that are cut off because the listener
// is closed while their connections wait to be accepted. A request whose connection could not be
// opened was certainly not sent and does not count.
func TestShutdownServesPendingConnections(t *testing.T) {
	for range 6 {
		l, err := listenTCP("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		d := &Daemon{callerListener: l, logs: newLogs(os.Stderr, "logfmt", "warn"),
			callers: &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}}
		d.callers.ConnState = d.callerConns.setState
		go func() { _ = d.callers.Serve(l) }()
		var served, cutOff atomic.Int64
		var clients sync.WaitGroup
		stop := make(chan struct{})
		for range 32 {
			clients.Go(func() { sendRequestsUntil(t, stop, "http://"+l.Addr().String(), &served, &cutOff) })
		}
		for i := 0; i < 5000 && served.Load() < 32; i++ {
			time.Sleep(time.Millisecond)
		}
		d.acceptPendingConnections()
		if err := d.callers.Shutdown(t.Context()); err != nil {
			t.Error(err)
		}
		close(stop)
		clients.Wait()
		if served.Load() == 0 || cutOff.Load() > 0 {
			t.Fatalf("%d requests served, %d cut off", served.Load(), cutOff.Load())
		}
	}
}

// sendRequestsUntil sends requests, each on its own connection, until stop is closed, a connection
// cannot be opened or a request is cut off.
func sendRequestsUntil(t *testing.T, stop <-chan struct{}, url string, served, cutOff *atomic.Int64) {
	transport := &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}
	c := http.Client{Transport: transport}
	for {
		select {
		case <-stop:
			return
		default:
		}
		resp, err := c.Get(url)
		var op *net.OpError
		switch {
		case err == nil:
			served.Add(1)
			_ = resp.Body.Close()
		case errors.As(err, &op) && op.Op == "dial":
			return
		default:
			if cutOff.Add(1) == 1 {
				t.Log(err)
			}
			return
		}
	}
}
