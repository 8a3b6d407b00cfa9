package main

import (
	"testing"
	"time"
)

// Guards against an ideal or a reference that is slower than an existing schedule. Every policy
// would then look better than it is.
func TestReferenceOfKnownSchedules(t *testing.T) {
	minions := []referenceMinion{{speed: 2, zone: "a"}, {speed: 1, zone: "a"}}
	net := network{client: clientDelay}
	ideal := idealResponse(net, minions, 1, []float64{100, 100, 100}, "a")
	if want := 100*time.Millisecond + 2*clientDelay; ideal != want {
		t.Errorf("ideal of three tasks on slots of speeds 2 and 1 is %v, want %v", ideal, want)
	}
	schedule := []arrival{
		{at: 0, runsMS: []float64{200}},
		{at: 0, runsMS: []float64{100}},
		{at: time.Second, runsMS: []float64{100}},
	}
	got := referenceResponses(net, minions, 1, schedule, []string{"a"})
	for i, ms := range []time.Duration{100, 100, 50} {
		if want := ms*time.Millisecond + 2*clientDelay; got[i] != want {
			t.Errorf("response of job %d is %v, want %v", i, got[i], want)
		}
	}
}

// Guards against an ideal that includes an avoidable delay between zones, and against a
// reference that keeps a slot occupied while a message is in transit.
func TestIdealHasOnlyDelaysThatNoPlacementAvoids(t *testing.T) {
	const ms = time.Millisecond
	net := network{zone: 5 * ms}
	minions := []referenceMinion{{speed: 1, zone: "a"}, {speed: 2, zone: "b"}}
	for _, c := range []struct {
		zone string
		run  float64
		want time.Duration
	}{
		{"a", 10, 10 * ms}, // own zone: 10 ms, other zone: 5 + 5 + 5 ms
		{"a", 100, 60 * ms},
		{"b", 100, 50 * ms},
	} {
		if got := idealResponse(net, minions, 1, []float64{c.run}, c.zone); got != c.want {
			t.Errorf("ideal of %v ms in zone %s is %v, want %v", c.run, c.zone, got, c.want)
		}
	}
	schedule := []arrival{{runsMS: []float64{100}}, {runsMS: []float64{100}, host: 1}}
	got := referenceResponses(net, minions[1:], 1, schedule, []string{"a", "b"})
	if got[0] != 60*ms || got[1] != 105*ms {
		t.Errorf("responses %v, want 60ms and 105ms: the second task starts when the first has ended", got)
	}
}

// Guards against a low fairness value that is caused only by a team with little demand.
func TestFairness(t *testing.T) {
	weight := []float64{2, 1, 1}
	if f := fairness([]float64{40, 5, 35}, []float64{90, 5, 90}, weight); f < 0.79 || f > 0.81 {
		t.Errorf("fairness is %.3f, want 40 of 50", f)
	}
	if f := fairness([]float64{80, 5, 0}, []float64{90, 5, 90}, weight); f != 0 {
		t.Errorf("fairness with a starved team is %.3f, want 0", f)
	}
}
