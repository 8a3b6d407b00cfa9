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

// processStart is the time from which awakeTime counts.
var processStart = time.Now()

// awakeTime returns the time since the process started, without that in which the machine was suspended. Unlike
// sinceBoot it makes no system call.
func awakeTime() time.Duration { return time.Since(processStart) }

// clockReading is the time on both clocks.
type clockReading struct{ sinceBoot, awake time.Duration }

// readClocks reads both clocks. A pause of the process between the readings must not look like a suspension, so they
// are read again then.
func readClocks() clockReading {
	for {
		awake := awakeTime()
		r := clockReading{sinceBoot: sinceBoot(), awake: awake}
		if awakeTime()-awake < maxSuspension/2 {
			return r
		}
	}
}
