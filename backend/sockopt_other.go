//go:build !linux

package backend

import (
	"syscall"
	"time"
)

// controlUserTimeout returns no hook: the option exists on Linux only.
func controlUserTimeout(time.Duration) func(network, address string, rc syscall.RawConn) error {
	return nil
}
