package backend

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// errBodyWithheld is the error that the transport gets when it reads a withheld body.
var errBodyWithheld = errors.New("backend: request body withheld")

// States of a requestBody. It starts as bodyUnread and changes to one of the other two for good.
const (
	bodyUnread   = iota // the transport has not read the body
	bodyRead            // the transport has read the body; it may be on the wire
	bodyWithheld        // the body is never sent
)

// requestBody is a request body that can be withheld until the transport first reads it. The first Read and
// withhold compete for one atomic state change, so exactly one of them wins: either a byte may have been
// sent, or none ever is, whatever the transport does later.
type requestBody struct {
	state  atomic.Int32
	faults faults

	// mu guards data: a write that the transport has abandoned may still be reading it. Two readers share
	// the bytes, so that neither sends the whole body.
	mu   sync.Mutex
	data bytes.Reader
}

// Read reads the body and marks it as read. It returns errBodyWithheld if the body is withheld.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.faults.untrackedBody {
		return b.readData(p)
	}
	b.state.CompareAndSwap(bodyUnread, bodyRead)
	if b.state.Load() == bodyWithheld {
		return 0, errBodyWithheld
	}
	return b.readData(p)
}

func (b *requestBody) readData(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Read(p)
}

// Close does nothing: the transport may close a body that counts as sent, and its state must not change.
func (b *requestBody) Close() error { return nil }

// withhold withholds the body unless the transport has read it. It reports whether the body is withheld:
// no byte of it has been sent or ever is.
func (b *requestBody) withhold() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyWithheld) || b.state.Load() == bodyWithheld
}

var _ io.ReadCloser = (*requestBody)(nil)
