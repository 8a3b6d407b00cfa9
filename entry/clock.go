package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine started, including the time in which it was
// suspended. CLOCK_MONOTONIC excludes suspension, so a host that resumes would treat its
// expired leases and old contacts as recent.
func sinceBoot() time.Duration { return readClock(unix.CLOCK_BOOTTIME) }

// clockReading is a time since the machine started, and how much of it the machine was suspended.
type clockReading struct{ sinceBoot, suspended time.Duration }

// readClocks reads both clocks. A pause of the process between the readings must not look like a suspension, so they
// are read again then.
func readClocks() clockReading {
	for {
		before := sinceBoot()
		awake := readClock(unix.CLOCK_MONOTONIC)
		if after := sinceBoot(); after-before < maxSuspension/2 {
			return clockReading{sinceBoot: before, suspended: after - awake}
		}
	}
}

func readClock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		panic(err) // the clocks exist on every supported kernel
	}
	return time.Duration(t.Nano())
}
