package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"sesameledge.dev/sesameledge/admission"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/platform"
)

const testJob = "00000000000000aa"

// submission returns a request with a body, and the routes in force.
func submission(body string) (*http.Request, *routeTable) {
	r := httptest.NewRequest(http.MethodPost, "/"+testJob, iotest.OneByteReader(strings.NewReader(body)))
	return r, newRouteTable(&fleet.Config{Limits: fleet.RequestLimits{BodyBytes: 262144}})
}

// TestBodiesDecodeAsBefore guards against a job that is decoded in another way because its body arrives
// in pieces or is larger than a segment.
func TestBodiesDecodeAsBefore(t *testing.T) {
	start, end := `{"phases":[{"count":2,"cpu":500}],"spec":"`, `"}`
	for _, body := range []string{
		start + end, start + strings.Repeat("é", 2000) + end,
		start + strings.Repeat(`\u0041`, 4000) + end, start + end + strings.Repeat(" ", 262144-len(start)-len(end)),
		start + strings.Repeat("x", segmentBytes/4) + end + strings.Repeat("\n", segmentBytes-segmentBytes/4-len(start)-len(end)),
		``, `null`, `{"phases":[{"count":1}]`, start + end + "x",
	} {
		r, routes := submission(body)
		got, gotErr := new(ingress).readJob(r, routes, testJob)
		want, wantErr := platform.DecodeJob(testJob, r.Header, []byte(body))
		if !reflect.DeepEqual(got, want) || (gotErr == nil) != (wantErr == nil) {
			t.Errorf("%.80s: %+v, %v; want %+v, %v", body, got, gotErr, want, wantErr)
		}
	}
}

// TestBodiesAreRefused guards against a body over the limit that is read, and against one that can never
// be a job and is answered with another status than before.
func TestBodiesAreRefused(t *testing.T) {
	for body, want := range map[string]error{
		strings.Repeat(" ", 262145):                       errBodyTooLarge,
		`{"spec":"` + strings.Repeat("x", 30000):          nil,
		`{"phases":[` + strings.Repeat("{},", 20000):      nil,
		`{"phases":` + strings.Repeat("[", 10000) + `}]}`: nil,
	} {
		r, routes := submission(body)
		_, err := new(ingress).readJob(r, routes, testJob)
		var refused *refusedBodyError
		if !errors.As(err, &refused) || (want != nil && !errors.Is(err, want)) {
			t.Errorf("%.20s: %v", body, err)
		}
	}
}

// startGate serves a handler on a guarded listener.
func startGate(t *testing.T, limits admission.Limits, handler http.HandlerFunc) *gate {
	g, err := listenGuarded("test", "127.0.0.1:0", limits, receiveBufferBytes)
	if err != nil {
		t.Fatal(err)
	}
	g.refusal = busyResponse()
	server := &http.Server{Handler: handler, ConnState: g.trackState, ConnContext: withConn}
	go func() { _ = server.Serve(g) }()
	t.Cleanup(func() { _ = server.Close() })
	return g
}

// TestAccountIsBalanced guards against memory that stays reserved after requests have ended, however they
// end, and against requests that run while there is no memory for them.
func TestAccountIsBalanced(t *testing.T) {
	const room = 100 << 10
	decoded := 0
	g := startGate(t, admission.Limits{Connections: 4, Bytes: room}, func(w http.ResponseWriter, r *http.Request) {
		connOf(r.Context()).enter(receivingPhase(r))
		_, routes := submission("")
		if _, err := new(ingress).readJob(r, routes, testJob); err != nil {
			closeAfterAnswer(w)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		decoded++
	})
	client := &http.Client{Transport: &http.Transport{}}
	for _, size := range []int{100, 40 << 10, 200 << 10, 100, 262145} {
		job, err := json.Marshal(map[string]any{"phases": []map[string]int{{"count": 1}}})
		if err != nil {
			t.Fatal(err)
		}
		body := append(job, bytes.Repeat([]byte(" "), size-len(job))...)
		if resp, err := client.Post(fmt.Sprintf("http://%s/", g.Addr()), "", bytes.NewReader(body)); err == nil {
			_ = resp.Body.Close()
			if want := size <= room/2; (resp.StatusCode == http.StatusOK) != want {
				t.Errorf("%d bytes: status %d", size, resp.StatusCode)
			}
		}
	}
	client.CloseIdleConnections()
	if decoded != 3 {
		t.Errorf("%d jobs were decoded, want 3", decoded)
	}
	if s := g.stats(); s.Bytes != 0 || s.HighestBytes == 0 || s.HighestBytes > room || s.Refused[admission.NoMemory] != 1 || s.Refused[admission.BodyRefused] != 1 {
		t.Errorf("%+v", s)
	}
	var out strings.Builder
	if err := writeFamilies(&out, (&Host{gates: []*gate{g}}).gateFamilies()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`clients_refused_total{port="test",reason="no_memory"} 1`, `request_bytes{port="test"} 0`} {
		if !strings.Contains(out.String(), namePrefix+want) {
			t.Errorf("no metric %s in:\n%s", want, out.String())
		}
	}
}

// TestRequestLinesLeaveRoom guards against a crowd of bad requests that displaces the other lines of the
// log, and against lines that are left out without being counted.
func TestRequestLinesLeaveRoom(t *testing.T) {
	h := &Host{settings: &Settings{Log: Log{LinesPerSecond: 40}}, logOutput: newLogWriter(40)}
	h.logger = newLogger(h.logOutput, "h")
	r, _ := submission("")
	for range 1000 {
		h.logRequest(r, "bad request")
	}
	if written := 1000 - h.logOutput.droppedLines(); written > 20 { // the second may have turned once
		t.Errorf("%d lines were written, want 10 a second", written)
	}
	_ = h.logger.Log("msg", "other")
	var out bytes.Buffer
	if h.logOutput.flush(&out); !strings.Contains(out.String(), "msg=other") {
		t.Errorf("another line was left out: %s", out.String())
	}
}
