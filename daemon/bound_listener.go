package daemon

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// boundListener keeps its address bound after Close, until releaseAddress is called. gRPC's graceful
// stop closes the listener before the last replies have been sent. If a new process bound the address
// in that time, peers would conclude that no reply can come any more.
type boundListener struct{ *net.TCPListener }

// newBoundListener wraps a TCP listener.
func newBoundListener(l net.Listener) (boundListener, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return boundListener{}, errors.Newf("%T is not a TCP listener", l)
	}
	return boundListener{tcp}, nil
}

// Close stops accepting without releasing the address.
func (l boundListener) Close() error {
	return errors.Wrap(l.SetDeadline(time.Unix(1, 0)), "stopping the listener")
}

// Accept implements net.Listener.
func (l boundListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil, net.ErrClosed
	}
	return c, err
}

// releaseAddress closes the socket, so that another process can bind the address.
func (l boundListener) releaseAddress() { _ = l.TCPListener.Close() }
