package entry

import (
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errNoSocket is the reason why it is not known whether a caller waits whose connection is no socket.
var errNoSocket = errors.New("the connection of the caller is no socket")

// rawConnOf returns the socket of the connection on which a request has arrived.
func rawConnOf(r *http.Request) (syscall.RawConn, error) {
	c, ok := r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return c.SyscallConn()
}

// closedEvents are the events on a socket whose other side has closed or reset it, or one direction of it.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL

// findClosed returns the indices of the sockets that have been closed, by the caller as far as the kernel knows or by
// the server itself. The server notes the former in other goroutines, which may run only after the tasks of a job have
// been started; it notes nothing after a caller has begun to send its next request. One system call looks at all.
func findClosed(conns []syscall.RawConn) ([]int, error) {
	fds := make([]unix.PollFd, len(conns))
	for i, c := range conns {
		fds[i] = unix.PollFd{Fd: -1, Events: unix.POLLRDHUP}
		_ = c.Control(func(fd uintptr) { fds[i].Fd = int32(fd) }) // fails below, too
	}
	if err := pollNow(fds); err != nil {
		return nil, errors.Wrap(err, "looking at the connections of callers")
	}
	var closed []int
	for i, c := range conns {
		// The server may have closed the socket meanwhile, and the number may be that of another one.
		closedHere := c.Control(func(uintptr) {}) != nil
		if closedHere || fds[i].Revents&closedEvents != 0 {
			closed = append(closed, i)
		}
	}
	return closed, nil
}

// pollNow sets the events of descriptors without waiting for any.
func pollNow(fds []unix.PollFd) error {
	for {
		if _, err := unix.Poll(fds, 0); err != unix.EINTR {
			return err
		}
	}
}

// isOpen reports whether a socket is known to be open.
func isOpen(c syscall.RawConn) bool {
	closed, err := findClosed([]syscall.RawConn{c})
	return err == nil && len(closed) == 0
}
