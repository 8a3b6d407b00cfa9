package daemon

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// heldListener keeps its address bound after Close until release. A graceful stop of gRPC
// closes the listener before the last replies have left; a new process that bound the
// address by then would prove that no reply comes any more.
type heldListener struct{ *net.TCPListener }

// holdListener wraps a TCP listener.
func holdListener(l net.Listener) (heldListener, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return heldListener{}, errors.Newf("%T is not a TCP listener", l)
	}
	return heldListener{tcp}, nil
}

// Close stops accepting without releasing the address.
func (l heldListener) Close() error {
	return errors.Wrap(l.SetDeadline(time.Unix(1, 0)), "stopping the listener")
}

// Accept implements net.Listener.
func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil, net.ErrClosed
	}
	return c, err
}

// release frees the address.
func (l heldListener) release() { _ = l.TCPListener.Close() }
