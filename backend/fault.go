package backend

import (
	"bytes"
	"io"
	"time"
)

// faults disables safety mechanisms. Tests set it to show that they detect the absence
// of each one.
type faults struct {
	resend   bool // let net/http replay a request on a new connection
	openGate bool // let the body leave without a record of it, after a short wait for 100-continue
}

// allowResend makes the request one that net/http replays by itself. Tests use it to
// show that they detect a hidden resend.
func (at *attempt) allowResend(payload []byte) {
	at.req.Header["Idempotency-Key"] = []string{at.task}
	at.req.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(payload)), nil
	}
}

// noContinueTimeout is longer than any attempt. net/http sends the body when this time
// has passed without an answer to 100-continue; the gate makes that harmless.
const noContinueTimeout = time.Hour

func (o Options) continueTimeout() time.Duration {
	if o.faults.openGate {
		return o.ProofTimeout / 4
	}
	return noContinueTimeout
}
