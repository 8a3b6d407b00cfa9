package backend

import (
	"context"
	"strings"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
)

// TestClassifyAnswer guards against an answer that is classified wrongly. Each case names the property of
// the answer that would otherwise lead to a second start, a partial result or the result of another task.
func TestClassifyAnswer(t *testing.T) {
	const (
		completed  = dispatch.AttemptCompleted
		failed     = dispatch.AttemptFailed
		notStarted = dispatch.AttemptNotStarted
		unknown    = dispatch.AttemptUnknown
	)
	large := `"` + strings.Repeat("x", 100) + `"`
	chunked := map[string]string{"Content-Length": "", "Transfer-Encoding": "chunked"}
	header := func(key, value string) map[string]string { return map[string]string{key: value} }
	cases := []struct {
		name    string
		status  int
		result  string
		headers map[string]string
		outcome dispatch.AttemptOutcome
		reason  Reason
	}{
		{"correct", 200, payload, nil, completed, ReasonOK},
		{"empty", 200, "", nil, completed, ReasonOK},
		{"not run: busy", 503, "", header(HeaderNotRun, NotRunBusy), notStarted, ReasonBusy},
		{"not run: leaving", 503, "", header(HeaderNotRun, NotRunLeaving), notStarted, ReasonLeaving},
		{"not run: expired", 503, "", header(HeaderNotRun, NotRunExpired), notStarted, ReasonExpired},
		{"not run: cancelled", 503, "", header(HeaderNotRun, NotRunCancelled), notStarted, ReasonCancelled},
		{"not run: reason of a newer minion", 503, "", header(HeaderNotRun, "asleep"), notStarted, ReasonRefused},
		{"503 without the header", 503, "", nil, unknown, ReasonBadStatus},
		{"not run, another attempt", 503, "", map[string]string{HeaderNotRun: "busy", HeaderAttempt: "7"}, unknown, ReasonCrossedAnswer},
		{"not run, no echo", 503, "", map[string]string{HeaderNotRun: "busy", HeaderTask: ""}, unknown, ReasonCrossedAnswer},
		{"task failed", 500, "", nil, failed, ReasonTaskFailed},
		{"task failed, no echo", 500, "", header(HeaderTask, ""), unknown, ReasonCrossedAnswer},
		{"status out of protocol", 404, "", nil, unknown, ReasonBadStatus},
		{"redirect", 307, "", header("Location", "/v1/tasks/t/1"), unknown, ReasonBadStatus},
		{"another task", 200, payload, header(HeaderTask, "t/2"), unknown, ReasonCrossedAnswer},
		{"another attempt", 200, payload, header(HeaderAttempt, "2"), unknown, ReasonCrossedAnswer},
		{"two echoes", 200, payload, header(strings.ToLower(HeaderTask), "t/2"), unknown, ReasonCrossedAnswer},
		{"no digest", 200, payload, header(HeaderDigest, ""), unknown, ReasonDigestMismatch},
		{"wrong digest", 200, payload, header(HeaderDigest, Digest(nil)), unknown, ReasonDigestMismatch},
		{"shorter than its length", 200, payload, header("Content-Length", "99"), unknown, ReasonTruncated},
		{"longer than its length", 200, payload, header("Content-Length", "3"), unknown, ReasonDigestMismatch},
		{"broken off in a chunk", 200, "9\r\n" + payload, chunked, unknown, ReasonTruncated},
		{"broken off without length", 200, payload[:3], map[string]string{"Content-Length": "", HeaderDigest: Digest([]byte(payload))}, unknown, ReasonDigestMismatch},
		{"too large", 200, large, nil, unknown, ReasonTooLarge},
		{"too large without length", 200, large, header("Content-Length", ""), unknown, ReasonTooLarge},
		{"not JSON", 200, `{"n":`, nil, failed, ReasonInvalidResult},
		{"not HTTP", 0, "", nil, unknown, ReasonConnBroken},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := newFakeMinion(t, func(x *exchange) bool {
				x.recordStart()
				x.sendAnswer(tc.status, tc.result, tc.headers)
				return false
			})
			got := runTask(newClient(t, Options{MaxResultBytes: 100}), m, 1, time.Second)
			expectOutcome(t, got, tc.outcome, tc.reason)
			if (got.Result != nil) != (tc.outcome == completed) {
				t.Fatalf("result %q", got.Result)
			}
			expectStarts(t, m.startCount(1), 1)
		})
	}
}

// TestEmptyPayloadSentAsNull guards against a request without a body, which could not be withheld.
func TestEmptyPayloadSentAsNull(t *testing.T) {
	lengths := make(chan int64, 1)
	m := newFakeMinion(t, func(x *exchange) bool {
		lengths <- x.ContentLength
		return runAndAnswer(x)
	})
	a := newStartAttempt(m, 1, 1, time.Second)
	a.Payload = nil
	expectOutcome(t, newClient(t, Options{}).Run(context.Background(), a), dispatch.AttemptCompleted, ReasonOK)
	if n := <-lengths; n != int64(len(emptyJSON)) {
		t.Fatalf("body of %d bytes", n)
	}
}
