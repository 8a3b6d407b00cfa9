package entry

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/admission"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/platform"
)

const (
	// segmentBytes is the size of the pieces in which a body is kept while it is received. The first one
	// is part of what is accounted for each connection, so that a small job needs no further memory.
	segmentBytes = 8 << 10
	// freeDecodeBytes is the memory to decode a small job, which is not reserved either.
	freeDecodeBytes = 16 << 10
	// unreadTime is the time in which the rest of a refused body is read and dropped. Without it, the
	// answer would be lost with the connection.
	unreadTime = 200 * time.Millisecond
)

// segment is a piece of a body.
type segment [segmentBytes]byte

var segments = sync.Pool{New: func() any { return new(segment) }}

var errBodyTooLarge = errors.New("the body is too large")

// receivingPhase returns the phase of a request whose header was received.
func receivingPhase(r *http.Request) admission.Phase {
	if r.ContentLength == 0 {
		return admission.Running
	}
	return admission.Body
}

// receiveJob reads and decodes a submission. If that fails it answers the request and reports false.
func (in *ingress) receiveJob(w http.ResponseWriter, r *http.Request, current *routeTable, route fleet.Route, id string) (fleet.JobSpec, bool) {
	spec, err := in.readJob(r, current, id)
	switch {
	case err == nil:
		return spec, true
	case errors.Is(err, errNoRoom), errors.Is(err, errDropped):
		closeAfterAnswer(w)
		in.refuse(w, r, err.Error(), time.Second)
		return spec, false
	}
	status := http.StatusBadRequest
	var unread *refusedBodyError
	if errors.As(err, &unread) {
		closeAfterAnswer(w)
	}
	if errors.Is(err, errBodyTooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	in.host.logRequest(r, "bad request", "route", route.Name, "job", id, "err", err)
	writeJSON(w, status, platform.ErrorBody(err.Error()))
	return spec, false
}

// refusedBodyError is the reason for a body that was not read to its end.
type refusedBodyError struct{ err error }

func (e *refusedBodyError) Error() string { return e.err.Error() }
func (e *refusedBodyError) Unwrap() error { return e.err }

// closeAfterAnswer makes the connection close after the answer, and limits the time that the rest of
// the body takes until then.
func closeAfterAnswer(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadTime)) // fails only if the connection is closed
}

// readJob reads and decodes a submission. The memory that the body takes is reserved as it arrives, and
// freed when the job is decoded.
func (in *ingress) readJob(r *http.Request, current *routeTable, id string) (fleet.JobSpec, error) {
	if !platform.ValidJobID(id) {
		return fleet.JobSpec{}, errors.New("the path does not end with the name of a job")
	}
	b := &bodyBuffer{conn: connOf(r.Context())}
	defer b.free()
	if err := b.receive(r, current.maxBodyBytes()); err != nil {
		return fleet.JobSpec{}, err
	}
	text, err := b.join()
	if err != nil {
		return fleet.JobSpec{}, err
	}
	if err := b.reserve(b.scanner.DecodedBytes() - freeDecodeBytes); err != nil {
		return fleet.JobSpec{}, err
	}
	return platform.DecodeJob(id, r.Header, text)
}

// bodyBuffer holds a body while it is received.
type bodyBuffer struct {
	conn     *guardedConn
	scanner  platform.JobScanner
	segments []*segment
	size     int   // bytes received
	reserved int64 // in the account of the connection
}

// reserve reserves memory in the account of the connection, if n is positive.
func (b *bodyBuffer) reserve(n int64) error {
	if n <= 0 || b.conn == nil {
		return nil
	}
	if err := b.conn.grow(n); err != nil {
		return err
	}
	b.reserved += n
	return nil
}

// free gives the memory back.
func (b *bodyBuffer) free() {
	for _, s := range b.segments {
		segments.Put(s)
	}
	b.segments = nil
	if b.reserved > 0 {
		b.conn.release(b.reserved)
		b.reserved = 0
	}
}

// receive reads a body of at most limit bytes. It returns a *refusedBodyError if it does not read the
// whole body because that can never be a job.
func (b *bodyBuffer) receive(r *http.Request, limit int64) error {
	if r.ContentLength > limit {
		return b.refuse(errBodyTooLarge)
	}
	for {
		free, err := b.room()
		if err != nil {
			return err
		}
		n, err := r.Body.Read(free)
		b.size += n
		if int64(b.size) > limit {
			return b.refuse(errBodyTooLarge)
		}
		if _, err := b.scanner.Write(free[:n]); err != nil {
			return b.refuse(err)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "reading the body")
		}
	}
}

// refuse counts a body that is not read to its end.
func (b *bodyBuffer) refuse(err error) error {
	if b.conn != nil {
		b.conn.gate.count(admission.BodyRefused)
	}
	return &refusedBodyError{err}
}

// room returns the free part of the last segment, and adds a segment if there is none.
func (b *bodyBuffer) room() ([]byte, error) {
	used := b.size % segmentBytes
	if b.size == len(b.segments)*segmentBytes {
		if len(b.segments) > 0 {
			if err := b.reserve(segmentBytes); err != nil {
				return nil, err
			}
		}
		b.segments = append(b.segments, segments.Get().(*segment))
	}
	return b.segments[len(b.segments)-1][used:], nil
}

// join returns the whole body in one piece.
func (b *bodyBuffer) join() ([]byte, error) {
	if len(b.segments) == 1 {
		return b.segments[0][:b.size], nil
	}
	if err := b.reserve(int64(b.size)); err != nil {
		return nil, err
	}
	text := make([]byte, 0, b.size)
	for i, s := range b.segments {
		text = append(text, s[:min(segmentBytes, b.size-i*segmentBytes)]...)
	}
	return text, nil
}
