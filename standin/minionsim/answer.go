package minionsim

import (
	"net/http"
	"strconv"
	"time"

	"sesameledge.dev/sesameledge/backend"
)

// answer sends the outcome of one executed task, changed by the fault that affects it.
type answer struct {
	*service
	w     http.ResponseWriter
	r     *http.Request
	line  *delayLine // back to the host; nil for no delay
	id    TaskID
	fault Fault
	delay time.Duration // of FaultLate
}

func (a *answer) send(body []byte, ok bool) {
	if a.fault == FaultLate {
		a.waitLateDelay()
	}
	a.setHeaders(body)
	a.line.waitCrossings(1)
	status := http.StatusOK
	if !ok {
		status = http.StatusInternalServerError
	}
	switch a.fault {
	case FaultTruncated:
		body = body[:len(body)/2]
	case FaultCutShort:
		a.sendCutShort(status, body)
	}
	a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.w.WriteHeader(status)
	// A write error means that the client has gone.
	_, _ = a.w.Write(body)
}

func (a *answer) waitLateDelay() {
	timer := time.NewTimer(a.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.process.ended:
		panic(http.ErrAbortHandler)
	}
}

func (a *answer) setHeaders(body []byte) {
	other := a.swapLastTask(a.id)
	id := a.id
	if a.fault == FaultCrossed {
		id = other
	}
	h := a.w.Header()
	a.setLoadHeaders(h)
	h.Set("Content-Type", "application/octet-stream")
	h.Set(backend.HeaderTask, id.String())
	h.Set(backend.HeaderAttempt, a.r.Header.Get(backend.HeaderAttempt))
	h.Set(backend.HeaderDigest, digest(body))
}

// cutShort announces the whole body, sends half of it and aborts the connection.
func (a *answer) sendCutShort(status int, body []byte) {
	a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.w.WriteHeader(status)
	_, _ = a.w.Write(body[:len(body)/2])
	_ = http.NewResponseController(a.w).Flush()
	panic(http.ErrAbortHandler)
}
