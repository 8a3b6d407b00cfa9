package backend

import (
	"bytes"
	"io"
	"time"
)

// faults disables safety mechanisms. Tests set it to show that they detect when a mechanism is missing.
type faults struct {
	resend        bool // net/http may resend a request on a new connection
	untrackedBody bool // the body is sent after a short wait for 100-continue, and not recorded as sent
}

// allowResend makes the request one that net/http resends by itself. Tests use it to show that they
// detect a hidden resend.
func (at *attempt) allowResend(payload []byte) {
	at.req.Header["Idempotency-Key"] = []string{at.taskHeader}
	at.req.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(payload)), nil
	}
}

// disabledContinueTimeout is longer than any attempt, so that net/http does not send the body by itself
// while it waits for 100-continue. If it did, requestBody would still withhold a body reported as not sent.
const disabledContinueTimeout = time.Hour

// transportContinueTimeout returns the ExpectContinueTimeout of the transport.
func (o Options) transportContinueTimeout() time.Duration {
	if o.faults.untrackedBody {
		return o.ContinueTimeout / 4
	}
	return disabledContinueTimeout
}
