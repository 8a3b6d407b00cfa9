package configproof

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/client"
)

// answerDropper is an HTTP transport that drops the answers to the first submissions after the host has sent them.
type answerDropper struct {
	remaining atomic.Int64 // answers that are still to be dropped
	hosts     chan string  // address of the host of each submission
}

// RoundTrip implements http.RoundTripper.
func (d *answerDropper) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if r.Method != http.MethodPost || err != nil {
		return resp, err
	}
	d.hosts <- r.URL.Host
	if d.remaining.Add(-1) < 0 {
		return resp, nil
	}
	_ = resp.Body.Close()
	return nil, errors.New("answer dropped by the test")
}

// Guards against a keyed job that starts again when its answer was lost and the client
// resubmits it through another host, or when its caller does so after a restart.
func TestClientRunsKeyOnceWhenAnswersAreLost(t *testing.T) {
	s, fleet := newKeySite(t, 2)
	lossy := &answerDropper{hosts: make(chan string, 10)}
	lossy.remaining.Store(1)
	newClient := func() *client.Client {
		return client.New(client.Options{Hosts: []string{s.callerURL(0), s.callerURL(1)}, HTTP: &http.Client{Transport: lossy}})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	epoch, err := newClient().Epoch(ctx)
	must(t, err)
	job := api.Job{Key: "award-7731", KeyEpoch: &epoch, Team: "association", Kind: "badge-award",
		Tasks: []api.Task{{Payload: json.RawMessage(`{"run_ms":20}`)}}}
	first, err := newClient().RunKey(ctx, job)
	must(t, err)
	if a, b := <-lossy.hosts, <-lossy.hosts; a == b {
		t.Errorf("both submissions went to %s", a)
	}
	again, err := newClient().RunKey(ctx, job)
	must(t, err)
	if first.Outcome != api.Complete || again.Outcome != api.Complete || first.Ticket != again.Ticket {
		t.Errorf("first %s %s %v, after the restart %s %s %v", first.Outcome, first.Ticket, first.Reason, again.Outcome, again.Ticket, again.Reason)
	}
	if starts := fleet.Starts(); len(starts.Tickets) != 1 || starts.Tickets[string(first.Ticket)][0] != 1 {
		t.Errorf("starts: %v", starts.Tickets)
	}
}
