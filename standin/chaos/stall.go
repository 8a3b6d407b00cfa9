package main

import "time"

const stallTick = 20 * time.Millisecond

// watchStall measures for how long this process was not scheduled, so that a job that
// failed at its deadline can be told from a machine that stood still. The returned
// function ends it and returns the longest time.
func watchStall() (end func() time.Duration) {
	stop, result := make(chan struct{}), make(chan time.Duration)
	go func() {
		longest, last := time.Duration(0), time.Now()
		for {
			select {
			case <-stop:
				result <- longest
				return
			case <-time.After(stallTick):
				longest = max(longest, time.Since(last)-stallTick)
				last = time.Now()
			}
		}
	}()
	return func() time.Duration { close(stop); return <-result }
}
