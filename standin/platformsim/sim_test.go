package platformsim

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/logapi"
)

// startSim starts a Sim that is stopped at the end of the test.
func startSim(t *testing.T, cfg Config) *Sim {
	t.Helper()
	s := New(cfg)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// call sends a request whose append ID is "id-of-" and the body. It returns the response status and
// decodes the JSON response into reply, unless reply is nil.
func call(t *testing.T, method, url, body string, reply any) (int, error) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(logapi.HeaderAppendID, "id-of-"+body)
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if reply != nil {
		if err := json.Unmarshal(data, reply); err != nil {
			t.Fatalf("%s %s: %v in %q", method, url, err, data)
		}
	}
	return resp.StatusCode, nil
}

// mustCall is like call but fails the test if the request gets no response.
func mustCall(t *testing.T, method, url, body string, reply any) int {
	t.Helper()
	status, err := call(t, method, url, body, reply)
	if err != nil {
		t.Fatal(err)
	}
	return status
}

// Guards against reads that omit records, and against a read of a truncated offset that is answered
// like a read of an empty stream.
func TestReadReturnsKeptRecordsAndReportsTruncation(t *testing.T) {
	s := startSim(t, Config{Retention: 3})
	records := s.URL() + "/v1/streams/config/records"
	for i := range 5 {
		var reply logapi.AppendReply
		mustCall(t, "POST", records, fmt.Sprint(i), &reply)
		if reply.Offset != uint64(i) {
			t.Fatalf("append %d got offset %d", i, reply.Offset)
		}
	}
	var reply logapi.ReadReply
	if status := mustCall(t, "GET", records+"?from=1", "", &reply); status != http.StatusGone {
		t.Fatalf("read of a truncated offset: status %d", status)
	}
	if reply.First != 2 || reply.Next != 5 || len(reply.Records) != 0 {
		t.Fatalf("truncated read: %+v", reply)
	}
	mustCall(t, "GET", records+"?from=3&limit=1", "", &reply)
	if len(reply.Records) != 1 || reply.Records[0].AppendID != "id-of-3" || string(reply.Records[0].Data) != "3" {
		t.Fatalf("read from 3: %+v", reply)
	}
}

// Guards against a long poll that misses an append between its check for records and its wait.
func TestLongPollWakesOnAppend(t *testing.T) {
	s := startSim(t, Config{})
	records := s.URL() + "/v1/streams/config/records"
	done := make(chan int, 1)
	go func() {
		var reply logapi.ReadReply
		_, _ = call(t, "GET", records+"?from=0&wait_ms=8000", "", &reply)
		done <- len(reply.Records)
	}()
	time.Sleep(30 * time.Millisecond)
	mustCall(t, "POST", records, "x", nil)
	select {
	case n := <-done:
		if n != 1 {
			t.Fatalf("long poll returned %d records", n)
		}
	case <-time.After(4 * time.Second):
		t.Fatal("long poll did not wake")
	}
}

// Guards against a simulated log that is faster than the platform's. It would hide the cost of an
// append in the request path.
func TestAppendsQueueBehindTheRateLimit(t *testing.T) {
	s := startSim(t, Config{AppendRate: 200, SyncTime: 5 * time.Millisecond})
	const appends = 41
	began := time.Now()
	var wg sync.WaitGroup
	for i := range appends {
		wg.Go(func() {
			_, _ = call(t, "POST", s.URL()+"/v1/streams/claims/records", fmt.Sprint(i), nil)
		})
	}
	wg.Wait()
	if took := time.Since(began); took < (appends-1)*5*time.Millisecond {
		t.Fatalf("%d appends at 200/s took %v", appends, took)
	}
	var reply logapi.ReadReply
	mustCall(t, "GET", s.URL()+"/v1/streams/claims/records?from=0", "", &reply)
	if len(reply.Records) != appends {
		t.Fatalf("%d of %d appends are in the stream", len(reply.Records), appends)
	}
}
