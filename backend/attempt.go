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

// errNoContinue is the cancellation cause of an attempt whose idle connection did not answer
// Expect: 100-continue in time.
var errNoContinue = errors.New("backend: no answer to 100-continue on an idle connection")

// emptyJSON replaces an empty payload or result: only a request with a body can be withheld, and an
// empty result is not valid JSON.
const emptyJSON = "null"

// attempt is the state of one call of Client.Run.
type attempt struct {
	client        *Client
	start         dispatch.StartAttempt
	taskHeader    string // value of HeaderTask
	attemptHeader string // value of HeaderAttempt
	deadline      time.Time
	cancel        context.CancelCauseFunc
	req           *http.Request
	body          requestBody

	// The fields below are set by gotConn, on the goroutine that calls RoundTrip.
	conn          *trackedConn
	writesBefore  uint64 // conn.writeCount before this request
	connReadyAt   time.Time
	continueTimer *time.Timer
}

// Run sends a task to its endpoint and blocks until the attempt ends or a.Remaining has passed. It sends
// the task at most once, and reports dispatch.AttemptNotStarted only if the task cannot have started.
// Errors are reported as the outcome and reason of the result. Service in the result is the time since a
// connection became available, or zero if none did. The caller must not change a.Payload after the call,
// since a stalled connection may still be sending it.
func (c *Client) Run(ctx context.Context, a dispatch.StartAttempt) dispatch.AttemptEnded {
	ctx, stop := context.WithTimeout(ctx, a.Remaining)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	at := newAttempt(c, a, cancel)
	ended := at.run(ctx)
	if at.conn != nil && at.conn.writeCount.Load() != at.writesBefore {
		c.counters.taskMessages.Add(1)
	}
	c.counters.outcomes[outcomeKey{ended.Outcome, Reason(ended.Reason)}].Add(1)
	return ended
}

func newAttempt(c *Client, a dispatch.StartAttempt, cancel context.CancelCauseFunc) *attempt {
	return &attempt{
		client:        c,
		start:         a,
		taskHeader:    string(a.Task.Ticket) + "/" + strconv.Itoa(a.Task.Index),
		attemptHeader: strconv.Itoa(a.Attempt),
		deadline:      time.Now().Add(a.Remaining),
		cancel:        cancel,
	}
}

func (at *attempt) run(ctx context.Context) dispatch.AttemptEnded {
	at.buildRequest(ctx)
	resp, err := at.client.taskTransport.RoundTrip(at.req)
	if at.continueTimer != nil {
		at.continueTimer.Stop()
	}
	if err != nil {
		return at.endAfterTransportError(at.errorReason(ctx))
	}
	defer resp.Body.Close()
	return at.classifyAnswer(ctx, resp)
}

// buildRequest sets at.req. The request has no GetBody and no idempotency header, so net/http cannot send
// it twice.
func (at *attempt) buildRequest(ctx context.Context) {
	payload := []byte(at.start.Payload)
	if len(payload) == 0 {
		payload = []byte(emptyJSON)
	}
	at.body.data.Reset(payload)
	at.body.faults = at.client.opts.faults
	at.req = &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: at.start.Endpoint.Address, Path: "/v1/tasks/" + at.taskHeader},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Body:          &at.body,
		ContentLength: int64(len(payload)),
		Header: http.Header{
			"Content-Type": {"application/json"},
			HeaderTask:     {at.taskHeader},
			HeaderAttempt:  {at.attemptHeader},
			HeaderKind:     {at.start.Kind},
		},
	}
	if at.client.opts.faults.resend {
		at.allowResend(payload)
	}
	trace := &httptrace.ClientTrace{GotConn: at.gotConn}
	at.req = at.req.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// gotConn records the connection that the transport chose and completes the request header. The transport
// calls it on the goroutine of RoundTrip before it writes the header, so the header may still change.
func (at *attempt) gotConn(info httptrace.GotConnInfo) {
	at.connReadyAt = time.Now()
	at.conn = info.Conn.(*trackedConn)
	at.writesBefore = at.conn.writeCount.Load()
	left := max(at.deadline.Sub(at.connReadyAt), 0)
	at.req.Header[HeaderDeadlineMS] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	after := at.client.opts.ExpectContinueAfterIdle
	if after < 0 || !info.WasIdle || info.IdleTime < after {
		return
	}
	at.req.Header["Expect"] = []string{"100-continue"}
	at.client.counters.continueWaits.Add(1)
	at.continueTimer = time.AfterFunc(at.client.opts.ContinueTimeout, at.cancelUnlessBodyRead)
}

// cancelUnlessBodyRead runs when ContinueTimeout has passed. It cancels the attempt unless the transport
// has already read the body, which it does once the minion has asked for it.
func (at *attempt) cancelUnlessBodyRead() {
	if at.body.withhold() {
		at.cancel(errNoContinue)
	}
}

// endAfterTransportError classifies an attempt whose RoundTrip returned an error. The transport has then
// discarded the connection, so no other attempt uses it.
func (at *attempt) endAfterTransportError(reason Reason) dispatch.AttemptEnded {
	if at.conn != nil && at.conn.stopWritesCheckUnused(at.writesBefore) {
		return at.newAttemptEnded(dispatch.AttemptNotStarted, reason)
	}
	return at.endWithoutAnswer(reason)
}

// endWithoutAnswer classifies an attempt without a valid answer: not started if the body was never sent,
// otherwise unknown.
func (at *attempt) endWithoutAnswer(reason Reason) dispatch.AttemptEnded {
	if at.body.withhold() {
		return at.newAttemptEnded(dispatch.AttemptNotStarted, reason)
	}
	return at.newAttemptEnded(dispatch.AttemptUnknown, reason)
}

// errorReason returns the reason for an attempt that a transport error or the end of ctx ended.
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

// newAttemptEnded returns the event that ends the attempt, without a result and without a reported load.
func (at *attempt) newAttemptEnded(outcome dispatch.AttemptOutcome, reason Reason) dispatch.AttemptEnded {
	out := dispatch.AttemptEnded{
		Task:         at.start.Task,
		Attempt:      at.start.Attempt,
		Outcome:      outcome,
		Reason:       string(reason),
		ReportedLoad: -1,
		Endpoint:     at.start.Endpoint,
		Leaving:      reason == ReasonLeaving,
	}
	if at.conn != nil {
		out.ServiceTime = time.Since(at.connReadyAt)
	}
	return out
}
