package backend

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// controlUserTimeout returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT to d.
func controlUserTimeout(d time.Duration) func(network, address string, rc syscall.RawConn) error {
	return func(_, _ string, rc syscall.RawConn) error {
		var failed error
		err := rc.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
