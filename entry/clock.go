package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock returns the time since the machine started, the time included in which it was
// suspended. The monotonic clock leaves that out, so a host that wakes up would take its
// leases and contacts for fresh.
func clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on every supported kernel
	}
	return time.Duration(t.Nano())
}
