package backend

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// errWithheld is what the transport gets when it asks for a withheld body.
var errWithheld = errors.New("backend: request body withheld")

// States of a gate. It leaves gateClosed once and never returns to it.
const (
	gateClosed   = iota // the transport has not asked for the body
	gateOpened          // the transport has the body; it may be on the wire
	gateWithheld        // the body never leaves
)

// gate is a request body that leaves at most once. The transport's first read and
// withhold race for one atomic state, so exactly one of them wins: either a byte may
// have left, or none ever will, whatever the transport does later.
type gate struct {
	state  atomic.Int32
	faults faults

	// mu guards body: a write that the transport has given up may still be reading it. Two
	// readers would share the bytes, so that neither sends the whole body.
	mu   sync.Mutex
	body bytes.Reader
}

// Read opens the gate, or returns errWithheld.
func (g *gate) Read(p []byte) (int, error) {
	if g.faults.openGate {
		return g.read(p)
	}
	g.state.CompareAndSwap(gateClosed, gateOpened)
	if g.state.Load() == gateWithheld {
		return 0, errWithheld
	}
	return g.read(p)
}

func (g *gate) read(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.body.Read(p)
}

// Close does nothing. The transport may close the body while it still counts as sent.
func (g *gate) Close() error { return nil }

// withhold reports whether no byte of the body has left or ever will.
func (g *gate) withhold() bool {
	return g.state.CompareAndSwap(gateClosed, gateWithheld) || g.state.Load() == gateWithheld
}

var _ io.ReadCloser = (*gate)(nil)
