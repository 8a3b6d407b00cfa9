package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine started, including the time in which it was
// suspended. CLOCK_MONOTONIC excludes suspension, so a host that resumes would treat its
// expired leases and old contacts as recent.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on every supported kernel
	}
	return time.Duration(t.Nano())
}
