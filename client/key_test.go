package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
)

// scriptedHost is a host that answers submissions with the given answers in order, and repeats the last
// one. An empty answer closes the connection after the submission was read.
type scriptedHost struct {
	answers []string

	mu   sync.Mutex
	jobs []api.Job
}

// submitted returns the jobs received so far.
func (s *scriptedHost) submitted() []api.Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.jobs)
}

func (s *scriptedHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/epoch" {
		fmt.Fprint(w, `{"schema":1,"key_epoch":0}`)
		return
	}
	var job api.Job
	_ = json.NewDecoder(r.Body).Decode(&job)
	s.mu.Lock()
	answer := s.answers[min(len(s.jobs), len(s.answers)-1)]
	s.jobs = append(s.jobs, job)
	s.mu.Unlock()
	if answer == "" {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, answer)
}

// newScriptedClient starts the hosts and returns a client that uses them.
func newScriptedClient(t *testing.T, hosts ...*scriptedHost) *Client {
	t.Helper()
	opts := Options{RetryDelay: time.Millisecond}
	for _, h := range hosts {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		opts.Hosts = append(opts.Hosts, server.URL)
	}
	return New(opts)
}

const (
	replyComplete         = `{"schema":1,"outcome":"complete","ticket":"t"}`
	replyOwnerUnreachable = `{"schema":1,"outcome":"unknown","reason":{"code":"owner_unreachable","message":"m"}}`
	replyTicketReused     = `{"schema":1,"outcome":"unknown","reason":{"code":"ticket_reused","message":"m"}}`
	refusalWithoutTicket  = `{"schema":1,"outcome":"refused","reason":{"code":"body_too_large","message":"m"}}`
	refusalWithTicket     = `{"schema":1,"outcome":"refused","ticket":"t","reason":{"code":"overloaded","message":"m"}}`
)

// Guards against a resubmission that changes the job, stays with a host that does not know the outcome, or
// stops before the outcome is final, and against a reported refusal of a job that an earlier submission may
// have started.
func TestRunKey(t *testing.T) {
	stored := uint64(7)
	for name, c := range map[string]struct {
		first, second []string
		epoch         *uint64
		want          api.Outcome
		requests      [2]int
	}{
		"unknown, then the other host":     {[]string{replyOwnerUnreachable}, []string{replyComplete}, nil, api.Complete, [2]int{1, 1}},
		"lost answer, then the other":      {[]string{""}, []string{replyComplete}, nil, api.Complete, [2]int{1, 1}},
		"bad at the only submission":       {[]string{replyTicketReused}, []string{replyComplete}, nil, api.Refused, [2]int{1, 0}},
		"refused at the only submission":   {[]string{refusalWithoutTicket}, []string{replyComplete}, nil, api.Refused, [2]int{1, 0}},
		"refused after a lost answer":      {[]string{""}, []string{refusalWithoutTicket, replyComplete}, nil, api.Complete, [2]int{2, 2}},
		"refused everywhere, answer lost":  {[]string{"", refusalWithoutTicket}, []string{refusalWithoutTicket}, nil, api.Unknown, [2]int{2, 1}},
		"refused for good":                 {[]string{""}, []string{refusalWithTicket}, nil, api.Refused, [2]int{1, 1}},
		"bad everywhere, submitted before": {[]string{replyTicketReused}, []string{replyTicketReused}, &stored, api.Unknown, [2]int{1, 1}},
		"bad once, submitted before":       {[]string{replyTicketReused}, []string{replyComplete}, &stored, api.Complete, [2]int{1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := &scriptedHost{answers: c.first}, &scriptedHost{answers: c.second}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			reply, err := newScriptedClient(t, a, b).RunKey(ctx, api.Job{Key: "k", KeyEpoch: c.epoch, Ticket: "other"})
			if err != nil || reply.Outcome != c.want {
				t.Fatalf("%+v, %v; want %s", reply, err, c.want)
			}
			atA, atB := a.submitted(), b.submitted()
			if got := [2]int{len(atA), len(atB)}; got != c.requests {
				t.Errorf("submissions to the hosts: %v, want %v", got, c.requests)
			}
			for _, j := range append(atA, atB...) {
				if j.Key != "k" || j.Ticket != "" || j.KeyEpoch == nil || (c.epoch != nil && *j.KeyEpoch != stored) {
					t.Errorf("submitted %+v", j)
				}
			}
		})
	}
}

// Guards against a call that continues after its context has ended, or that drops the last reply, which
// tells why the outcome is not known.
func TestRunKeyEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	reply, err := newScriptedClient(t, &scriptedHost{answers: []string{replyOwnerUnreachable}}).RunKey(ctx, api.Job{Key: "k"})
	if !errors.Is(err, context.DeadlineExceeded) || reply == nil || !hasReason(reply, api.CodeOwnerAway) {
		t.Errorf("%+v, %v", reply, err)
	}
	if _, err := New(Options{}).RunKey(ctx, api.Job{}); !errors.Is(err, ErrNoKey) {
		t.Errorf("without a key: %v", err)
	}
}
