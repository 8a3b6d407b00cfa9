//go:build !linux

package backend

import (
	"syscall"
	"time"
)

// controlUserTimeout returns nil: TCP_USER_TIMEOUT exists on Linux only.
func controlUserTimeout(time.Duration) func(network, address string, rc syscall.RawConn) error {
	return nil
}
