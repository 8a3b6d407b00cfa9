package platformsim

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/logapi"
)

// Guards against an append that does not take effect when its answer is lost, and against lost
// answers that are not injected. Either fault would leave untested how a client finds its append by
// the append ID.
func TestAppendWithLostAnswerTakesEffectUnderItsAppendID(t *testing.T) {
	s := startSim(t, Config{Seed: 3})
	records := s.URL() + "/v1/streams/config/records"
	mustCall(t, "POST", s.URL()+"/admin/faults", `{"service":"log","lost_answer":0.5}`, nil)
	const appends = 40
	lost := 0
	for i := range appends {
		if _, err := call(t, "POST", records, fmt.Sprint(i), nil); err != nil {
			lost++
		}
	}
	if lost < appends/4 || lost > appends*3/4 {
		t.Errorf("%d of %d answers lost at probability 0.5", lost, appends)
	}
	var reply logapi.ReadReply
	mustCall(t, "GET", records+"?from=0", "", &reply)
	if len(reply.Records) != appends || reply.Records[9].AppendID != "id-of-9" {
		t.Errorf("%d of %d appends took effect", len(reply.Records), appends)
	}
}

// Guards against an outage during which requests are still answered, that affects another service,
// or that does not end.
func TestOutageOfOneService(t *testing.T) {
	s := startSim(t, Config{})
	faults := s.URL() + "/admin/faults"
	records := s.URL() + "/v1/streams/config/records?from=0"
	hosts := s.URL() + logapi.PathHosts

	mustCall(t, "POST", faults, `{"service":"log","outage":"503"}`, nil)
	if status := mustCall(t, "GET", records, "", nil); status != http.StatusServiceUnavailable {
		t.Errorf("log during the outage: status %d", status)
	}
	if status := mustCall(t, "GET", hosts, "", nil); status != http.StatusOK {
		t.Errorf("hosts during the outage of the log: status %d", status)
	}

	mustCall(t, "POST", faults, `{"outage":"hang"}`, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "GET", hosts, nil)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
		t.Errorf("host list answered %s during the hang", resp.Status)
	}

	mustCall(t, "POST", faults, `{"outage":"off"}`, nil)
	if status := mustCall(t, "GET", records, "", nil); status != http.StatusOK {
		t.Errorf("log after the outage: status %d", status)
	}
}

// Guards against a successful answer to a request that was being handled when the outage began.
func TestOutageWithholdsAnswersOfRunningRequests(t *testing.T) {
	s := startSim(t, Config{SyncTime: time.Second})
	records := s.URL() + "/v1/streams/config/records"
	done := make(chan int, 1)
	go func() {
		status, _ := call(t, "POST", records, "x", nil)
		done <- status
	}()
	time.Sleep(50 * time.Millisecond)
	mustCall(t, "POST", s.URL()+"/admin/faults", `{"service":"log","outage":"503"}`, nil)
	if status := <-done; status != http.StatusServiceUnavailable {
		t.Errorf("append that was running when the outage began: status %d", status)
	}
}

// Guards against a misspelled or invalid fault setting that is ignored, so that a test runs without
// its fault.
func TestInvalidFaultsAreRefused(t *testing.T) {
	s := startSim(t, Config{})
	for _, body := range []string{`{"outtage":"off"}`, `{"outage":"on"}`, `{"service":"x"}`, `{"lost_answer":2}`} {
		if status := mustCall(t, "POST", s.URL()+"/admin/faults", body, nil); status != http.StatusBadRequest {
			t.Errorf("%s: status %d", body, status)
		}
	}
}
