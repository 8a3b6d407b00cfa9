package main

import (
	"slices"
	"time"
)

// clientDelay is the one-way delay between a caller and an entry host.
const clientDelay = 3 * time.Millisecond

// slotTable holds when each slot of each minion becomes free, in virtual time.
type slotTable struct {
	speeds []float64
	free   [][]time.Duration // by minion
}

func newSlotTable(speeds []float64, slots int) *slotTable {
	t := &slotTable{speeds: speeds, free: make([][]time.Duration, len(speeds))}
	for i := range t.free {
		t.free[i] = make([]time.Duration, slots)
	}
	return t
}

// place gives a task to the slot that completes it first and returns when that is.
func (t *slotTable) place(at time.Duration, runMS float64) time.Duration {
	var best time.Duration
	var slot *time.Duration
	for m, free := range t.free {
		s := &free[minIndex(free)]
		end := max(at, *s) + runTime(runMS, t.speeds[m])
		if slot == nil || end < best {
			best, slot = end, s
		}
	}
	*slot = best
	return best
}

// placeJob places the tasks of a job, longest first, and returns when the last one ends.
func (t *slotTable) placeJob(at time.Duration, runsMS []float64) time.Duration {
	sorted := slices.Clone(runsMS)
	slices.SortFunc(sorted, func(a, b float64) int {
		switch {
		case a > b:
			return -1
		case a < b:
			return 1
		}
		return 0
	})
	var end time.Duration
	for _, ms := range sorted {
		end = max(end, t.place(at, ms))
	}
	return end
}

// idealResponse is the response time of a job in an empty system with known run times
// and without any delay but that between the caller and the entry host.
func idealResponse(speeds []float64, slots int, runsMS []float64) time.Duration {
	return newSlotTable(speeds, slots).placeJob(0, runsMS) + 2*clientDelay
}

// referenceResponses returns the response times of all jobs under one central queue that
// knows run times and speeds. Jobs are placed in the order of their arrival by list
// scheduling; each task goes to the slot that completes it first.
func referenceResponses(speeds []float64, slots int, schedule []arrival) []time.Duration {
	t := newSlotTable(speeds, slots)
	out := make([]time.Duration, len(schedule))
	for i := range schedule {
		at := schedule[i].at + clientDelay
		out[i] = t.placeJob(at, schedule[i].runsMS) - schedule[i].at + clientDelay
	}
	return out
}

func runTime(ms, speed float64) time.Duration {
	return time.Duration(ms / speed * float64(time.Millisecond))
}

func minIndex(v []time.Duration) int {
	at := 0
	for i := range v {
		if v[i] < v[at] {
			at = i
		}
	}
	return at
}
