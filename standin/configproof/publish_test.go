package configproof

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/platformsim"
)

// Guards against a publication whose append lost its answer being reported as failed or
// appended a second time.
func TestLostAppendAnswerIsReportedCorrectly(t *testing.T) {
	s := newSite(t, 2, platformsim.Config{}, nil)
	s.startHosts(0, 1)
	lost := 1.0
	must(t, s.sim.SetFaults(platformsim.FaultsRequest{Service: platformsim.ServiceLog, LostAnswer: &lost}))
	rec := config.Record{ID: "one", Author: "ann", Reason: "first"}
	for host := range 2 { // the publisher retries the same record through another host
		if host == 1 {
			s.awaitInForce(1, 1)
		}
		if status, reply := s.publish(host, rec, ""); status != http.StatusOK || !reply.Accepted || reply.Revision != 1 {
			t.Fatalf("host %d: status %d, %+v", host, status, reply)
		}
	}
	if n := len(s.readStream(logapi.StreamConfig)); n != 1 {
		t.Fatalf("%d records in the log", n)
	}
	status, reply := s.publish(1, config.Record{ID: "two", Author: "bob"}, "")
	if status != http.StatusConflict || reply.Winner == nil || *reply.Winner != (config.Winner{Revision: 1, Author: "ann", Reason: "first"}) {
		t.Fatalf("status %d, %+v", status, reply)
	}
}

// Guards against a definite reply about a record that may still be in the log.
func TestOutcomeIsUnknownDuringLogOutage(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, platformsim.Config{}, nil)
	s.startHosts(0)
	s.publishNext(0)
	s.setLogOutage(platformsim.OutageUnavailable)
	if status, reply := s.publish(0, config.Record{ID: "x", Base: 1}, ""); status != http.StatusAccepted || reply.OutcomeKnown {
		t.Fatalf("status %d, %+v", status, reply)
	}
}

// Guards against publishing without a token, and against an append of a text with
// findings or of a schema version that this build cannot check.
func TestPublicationIsCheckedBeforeTheAppend(t *testing.T) {
	const token = "0123456789abcdef"
	s := newSite(t, 1, platformsim.Config{}, func(s *settings.Settings) { s.Operators.PublishTokens = []string{"another-token-of-length", token} })
	s.startHosts(0)
	for _, c := range []struct {
		rec    config.Record
		token  string
		status int
	}{
		{config.Record{ID: "a"}, "", http.StatusUnauthorized},
		{config.Record{ID: "b"}, token + "0", http.StatusUnauthorized},
		{config.Record{ID: "c", Text: "schema: 1\n"}, token, http.StatusBadRequest},
		{config.Record{ID: "d", Schema: 2}, token, http.StatusBadRequest},
		{config.Record{}, token, http.StatusBadRequest},
	} {
		if status, reply := s.publish(0, c.rec, c.token); status != c.status {
			t.Errorf("%+v: status %d, %+v", c.rec, status, reply)
		}
	}
	if n := len(s.readStream(logapi.StreamConfig)); n != 0 {
		t.Fatalf("%d records in the log", n)
	}
	if status, reply := s.publish(0, config.Record{ID: "e"}, token); status != http.StatusOK {
		t.Fatalf("status %d, %+v", status, reply)
	}
}

// Guards against two accepted publications on one base revision, and against a rejected one whose reply
// does not name the accepted one.
func TestConcurrentPublicationsHaveOneWinner(t *testing.T) {
	s := newSite(t, 3, platformsim.Config{}, nil)
	s.startHosts(0, 1, 2)
	for base := range uint64(5) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		won := 0
		// Every host has the base before any operator publishes on it.
		for n := range 3 {
			s.awaitInForce(n, base)
		}
		for n := range 3 {
			wg.Go(func() {
				id := fmt.Sprintf("%d-%d", base, n)
				status, reply := s.publish(n, config.Record{ID: id, Base: base, Author: id}, "")
				mu.Lock()
				defer mu.Unlock()
				if status == http.StatusOK {
					won++
				} else if reply.Winner == nil || reply.Winner.Revision != base+1 {
					t.Errorf("the loser was told %+v", reply)
				}
			})
		}
		wg.Wait()
		if won != 1 {
			t.Fatalf("%d winners on base %d", won, base)
		}
	}
}
