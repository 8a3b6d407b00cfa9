package backend

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
)

// BenchmarkHTTPClient measures the same exchange with net/http alone, as the baseline for Run.
func BenchmarkHTTPClient(b *testing.B) {
	benchmarkHTTPClient(b, &http.Transport{DisableCompression: true})
}

// BenchmarkHTTPClientNewConn opens a connection for each task, the alternative to Expect: 100-continue.
func BenchmarkHTTPClientNewConn(b *testing.B) {
	benchmarkHTTPClient(b, &http.Transport{DisableCompression: true, DisableKeepAlives: true})
}

func benchmarkHTTPClient(b *testing.B, transport *http.Transport) {
	m := newFakeMinion(b, runAndAnswer)
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPost, "http://"+m.address+"/v1/tasks/t/1", strings.NewReader(payload))
		if err != nil {
			b.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
	}
}

// BenchmarkRun measures Run on an open connection without Expect: 100-continue.
func BenchmarkRun(b *testing.B) { benchmarkRun(b, Options{ExpectContinueAfterIdle: -1}) }

// BenchmarkRunExpectContinue measures Run with Expect: 100-continue for each task.
func BenchmarkRunExpectContinue(b *testing.B) {
	benchmarkRun(b, Options{ExpectContinueAfterIdle: time.Nanosecond})
}

func benchmarkRun(b *testing.B, opts Options) {
	m := newFakeMinion(b, runAndAnswer)
	c := newClient(b, opts)
	b.ReportAllocs()
	for b.Loop() {
		if got := runTask(c, m, 1, time.Second); got.Outcome != dispatch.AttemptCompleted {
			b.Fatal(got)
		}
	}
}
