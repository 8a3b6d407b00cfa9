package backend

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
)

// errNoContinue ends an attempt whose idle connection did not answer.
var errNoContinue = errors.New("backend: no answer to 100-continue on an idle connection")

// emptyJSON stands for an absent payload or result. Only a request that has a body can
// be withheld, and an empty result is not valid JSON.
const emptyJSON = "null"

// attempt is the state of one Run.
type attempt struct {
	client   *Client
	start    dispatch.StartAttempt
	task     string // value of HeaderTask
	number   string // value of HeaderAttempt
	deadline time.Time
	cancel   context.CancelCauseFunc
	req      *http.Request
	body     gate

	// Set by gotConn, on the goroutine that calls RoundTrip.
	conn       *conn
	connWrites uint64
	gotAt      time.Time
	proof      *time.Timer
}

// Run sends a task to its endpoint and blocks until the attempt has ended or
// a.Remaining has passed. It sends the task at most once and reports
// dispatch.AttemptNotStarted only on proof. Service is the time from the moment a
// connection was available; it is zero if none was. a.Payload must not change
// afterwards, since a stalled connection may still be sending it.
func (c *Client) Run(ctx context.Context, a dispatch.StartAttempt) dispatch.AttemptEnded {
	ctx, stop := context.WithTimeout(ctx, a.Remaining)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	at := newAttempt(c, a, cancel)
	ended := at.run(ctx)
	if at.conn != nil && at.conn.writes.Load() != at.connWrites {
		c.counters.tasks.Add(1)
	}
	c.counters.outcomes[outcomeKey{ended.Outcome, Reason(ended.Reason)}].Add(1)
	return ended
}

func newAttempt(c *Client, a dispatch.StartAttempt, cancel context.CancelCauseFunc) *attempt {
	return &attempt{
		client:   c,
		start:    a,
		task:     string(a.Task.Ticket) + "/" + strconv.Itoa(a.Task.Index),
		number:   strconv.Itoa(a.Attempt),
		deadline: time.Now().Add(a.Remaining),
		cancel:   cancel,
	}
}

func (at *attempt) run(ctx context.Context) dispatch.AttemptEnded {
	at.prepare(ctx)
	resp, err := at.client.tasks.RoundTrip(at.req)
	if at.proof != nil {
		at.proof.Stop()
	}
	if err != nil {
		return at.failed(at.errorReason(ctx))
	}
	defer resp.Body.Close()
	return at.classify(ctx, resp)
}

// prepare builds the request. It has no GetBody and no idempotency header, so net/http
// has no way to send it twice.
func (at *attempt) prepare(ctx context.Context) {
	payload := []byte(at.start.Payload)
	if len(payload) == 0 {
		payload = []byte(emptyJSON)
	}
	at.body.body.Reset(payload)
	at.body.faults = at.client.opts.faults
	at.req = &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: at.start.Endpoint.Address, Path: "/v1/tasks/" + at.task},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Body:          &at.body,
		ContentLength: int64(len(payload)),
		Header: http.Header{
			"Content-Type": {"application/json"},
			HeaderTask:     {at.task},
			HeaderAttempt:  {at.number},
			HeaderKind:     {at.start.Kind},
		},
	}
	if at.client.opts.faults.resend {
		at.allowResend(payload)
	}
	trace := &httptrace.ClientTrace{GotConn: at.gotConn}
	at.req = at.req.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// gotConn runs before the transport writes the header, on the goroutine of RoundTrip,
// and may still change it.
func (at *attempt) gotConn(info httptrace.GotConnInfo) {
	at.gotAt = time.Now()
	at.conn = info.Conn.(*conn)
	at.connWrites = at.conn.writes.Load()
	left := max(at.deadline.Sub(at.gotAt), 0)
	at.req.Header[HeaderDeadlineMS] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	after := at.client.opts.ProveIdleAfter
	if after < 0 || !info.WasIdle || info.IdleTime < after {
		return
	}
	at.req.Header["Expect"] = []string{"100-continue"}
	at.client.counters.proofs.Add(1)
	at.proof = time.AfterFunc(at.client.opts.ProofTimeout, at.endProof)
}

// endProof ends the attempt unless the minion has asked for the body.
func (at *attempt) endProof() {
	if at.body.withhold() {
		at.cancel(errNoContinue)
	}
}

// failed classifies an attempt whose RoundTrip failed. The transport has given up its
// connection, so that no other attempt uses it.
func (at *attempt) failed(reason Reason) dispatch.AttemptEnded {
	if at.conn != nil && at.conn.sealUnused(at.connWrites) {
		return at.ended(dispatch.AttemptNotStarted, reason)
	}
	return at.lost(reason)
}

// lost classifies an attempt without a usable answer.
func (at *attempt) lost(reason Reason) dispatch.AttemptEnded {
	if at.body.withhold() {
		return at.ended(dispatch.AttemptNotStarted, reason)
	}
	return at.ended(dispatch.AttemptUnknown, reason)
}

func (at *attempt) errorReason(ctx context.Context) Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errNoContinue):
		return ReasonNoContinue
	case cause != nil && at.conn == nil:
		return ReasonNoFreeConn
	case errors.Is(cause, context.DeadlineExceeded):
		return ReasonDeadline
	case cause != nil:
		return ReasonStopped
	case at.conn == nil:
		return ReasonNoConnection
	}
	return ReasonConnBroken
}

func (at *attempt) ended(outcome dispatch.AttemptOutcome, reason Reason) dispatch.AttemptEnded {
	out := dispatch.AttemptEnded{
		Task:     at.start.Task,
		Attempt:  at.start.Attempt,
		Outcome:  outcome,
		Reason:   string(reason),
		Load:     -1,
		Endpoint: at.start.Endpoint,
		Leaving:  reason == ReasonLeaving,
	}
	if at.conn != nil {
		out.Service = time.Since(at.gotAt)
	}
	return out
}
