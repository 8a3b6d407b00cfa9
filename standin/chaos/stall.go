package main

import "time"

const stallCheckInterval = 20 * time.Millisecond

// measureStalls measures for how long this process was not scheduled. The result shows whether a job may
// have missed its deadline because the machine stalled. end stops the measurement and returns the longest
// stall.
func measureStalls() (end func() time.Duration) {
	stop, result := make(chan struct{}), make(chan time.Duration)
	go func() {
		longest, last := time.Duration(0), time.Now()
		for {
			select {
			case <-stop:
				result <- longest
				return
			case <-time.After(stallCheckInterval):
				longest = max(longest, time.Since(last)-stallCheckInterval)
				last = time.Now()
			}
		}
	}()
	return func() time.Duration { close(stop); return <-result }
}
