package entry

import (
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerHasLeft reports whether the caller has closed or reset the connection of a request, as far as the
// kernel knows. The server notes that in another goroutine, which may run only after the tasks of the job
// have been started.
func callerHasLeft(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting := err == unix.EAGAIN || err == unix.EINTR // nothing has come since the request
		left = !waiting && (err != nil || n == 0)
	})
	return left || err != nil // an error: the server has closed the connection itself
}
