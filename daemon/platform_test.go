package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/logapi"
)

// Guards against a busy loop if the platform does not hold requests, refuses requests that ask for it,
// or fails.
func TestHostListRequestsPacedWithoutHold(t *testing.T) {
	const every = 100 * time.Millisecond
	for name, unchanged := range map[string]http.HandlerFunc{
		"answers at once": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) },
		"refuses to hold": func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("wait_ms") {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			w.WriteHeader(http.StatusNotModified)
		},
		"fails": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				if r.Header.Get("If-None-Match") != "" {
					unchanged(w, r)
					return
				}
				w.Header().Set("ETag", `"1"`)
				writeJSON(w, http.StatusOK, logapi.HostListReply{Version: 1})
			}))
			defer server.Close()
			reader := &hostListReader{client: logapi.NewClient(server.URL, time.Second), minInterval: every, timeout: time.Second}
			const length = 10 * every
			for started := time.Now(); time.Since(started) < length; {
				_, next, _ := reader.read(context.Background())
				time.Sleep(next)
			}
			// Each refusal is followed by one request that is not held.
			if n := requests.Load(); n < 2 || n > 2*int64(length/every) {
				t.Errorf("%d requests in %v with pauses of %v", n, length, every)
			}
		})
	}
}

// Guards against a timeout that a slow platform's replies to held requests always miss.
func TestHostListFromSlowPlatform(t *testing.T) {
	const replyDelay = 400 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(replyDelay)
		if r.URL.Query().Has("wait_ms") {
			time.Sleep(hostListHold + replyDelay/2)
		}
		w.Header().Set("ETag", `"1"`)
		if r.Header.Get("If-None-Match") != "" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		writeJSON(w, http.StatusOK, logapi.HostListReply{Version: 1})
	}))
	defer server.Close()
	reader := &hostListReader{client: logapi.NewClient(server.URL, 2*time.Second), timeout: 2 * time.Second}
	for i := range 2 {
		if _, _, err := reader.read(context.Background()); err != nil {
			t.Errorf("read %d: %v", i+1, err)
		}
	}
}
