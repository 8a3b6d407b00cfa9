package main

import (
	"cmp"
	"slices"
	"time"
)

// network holds the one-way delays of a deployment.
type network struct {
	zone   time.Duration // between availability zones
	client time.Duration // between a caller and an entry host
}

// referenceMinion is what the reference knows about a minion.
type referenceMinion struct {
	speed float64
	zone  string
}

// slotTable holds the virtual time at which each slot of each minion becomes free.
type slotTable struct {
	net     network
	minions []referenceMinion
	freeAt  [][]time.Duration // by minion
}

func newSlotTable(net network, minions []referenceMinion, slots int) *slotTable {
	t := &slotTable{net: net, minions: minions, freeAt: make([][]time.Duration, len(minions))}
	for i := range t.freeAt {
		t.freeAt[i] = make([]time.Duration, slots)
	}
	return t
}

// place assigns a task to the slot whose answer reaches the host first, and returns the time of
// that answer. The host is in the given zone. For slots in other zones, the task and its answer
// are each delayed by the one-way delay between zones.
func (t *slotTable) place(at time.Duration, runMS float64, zone string) time.Duration {
	var best, bestDelay time.Duration
	var slot *time.Duration
	for m, free := range t.freeAt {
		delay := t.delay(zone, t.minions[m].zone)
		s := &free[minIndex(free)]
		answered := max(at+delay, *s) + runTime(runMS, t.minions[m].speed) + delay
		if slot == nil || answered < best {
			best, bestDelay, slot = answered, delay, s
		}
	}
	*slot = best - bestDelay
	return best
}

func (t *slotTable) delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	return t.net.zone
}

// placeJob places the tasks of a job, longest first, and returns the time at which
// the last answer arrives.
func (t *slotTable) placeJob(at time.Duration, runsMS []float64, zone string) time.Duration {
	sorted := slices.Clone(runsMS)
	slices.SortFunc(sorted, func(a, b float64) int { return cmp.Compare(b, a) })
	var end time.Duration
	for _, ms := range sorted {
		end = max(end, t.place(at, ms, zone))
	}
	return end
}

// idealResponse is the response time of a job of a host in the zone, in an empty system
// with known run times. It includes the delay to the client. It includes the delay
// between zones only for tasks that are answered soonest from another zone despite the delay.
func idealResponse(net network, minions []referenceMinion, slots int, runsMS []float64, zone string) time.Duration {
	return newSlotTable(net, minions, slots).placeJob(0, runsMS, zone) + 2*net.client
}

// referenceResponses returns the response times of all jobs under one central queue that
// knows run times, speeds and delays. Jobs are placed in the order of their arrival by list
// scheduling; each task goes to the slot whose answer is at the job's host first. Zones
// are those of the entry hosts.
func referenceResponses(net network, minions []referenceMinion, slots int, schedule []arrival, zones []string) []time.Duration {
	t := newSlotTable(net, minions, slots)
	out := make([]time.Duration, len(schedule))
	for i := range schedule {
		a := &schedule[i]
		out[i] = t.placeJob(a.at+net.client, a.runsMS, zones[a.host]) - a.at + net.client
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
