package backend

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
)

// BenchmarkHTTPClient is the reference: the same exchange without classification.
func BenchmarkHTTPClient(b *testing.B) {
	benchmarkHTTPClient(b, &http.Transport{DisableCompression: true})
}

// BenchmarkHTTPClientNewConn dials for each task, an alternative to the proof.
func BenchmarkHTTPClientNewConn(b *testing.B) {
	benchmarkHTTPClient(b, &http.Transport{DisableCompression: true, DisableKeepAlives: true})
}

func benchmarkHTTPClient(b *testing.B, transport *http.Transport) {
	m := newMinion(b, complete)
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

// BenchmarkRun measures Run on a warm connection without the proof.
func BenchmarkRun(b *testing.B) { benchmarkRun(b, Options{ProveIdleAfter: -1}) }

// BenchmarkRunProof measures Run with the proof for each task.
func BenchmarkRunProof(b *testing.B) { benchmarkRun(b, Options{ProveIdleAfter: time.Nanosecond}) }

func benchmarkRun(b *testing.B, opts Options) {
	m := newMinion(b, complete)
	c := newClient(b, opts)
	b.ReportAllocs()
	for b.Loop() {
		if got := run(c, m, 1, time.Second); got.Outcome != dispatch.AttemptCompleted {
			b.Fatal(got)
		}
	}
}
