package minionsim

import (
	"syscall"
	"time"
)

// sleepUntil sleeps in a system call, because the timers of an idle Go process fire up to
// 1 ms late, which is more than the delay between zones. Signals of the Go runtime end the
// call early, so it is repeated.
func sleepUntil(due time.Time) {
	for left := time.Until(due); left > 0; left = time.Until(due) {
		ts := syscall.NsecToTimespec(int64(left))
		_ = syscall.Nanosleep(&ts, nil)
	}
}
