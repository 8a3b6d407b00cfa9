package main

import (
	"testing"
	"time"
)

// Guards against an ideal or a reference that is worse than a schedule that exists, which
// would flatter every policy.
func TestReferenceOfKnownSchedules(t *testing.T) {
	speeds := []float64{2, 1}
	ideal := idealResponse(speeds, 1, []float64{100, 100, 100})
	if want := 100*time.Millisecond + 2*clientDelay; ideal != want {
		t.Errorf("ideal of three tasks on slots of speeds 2 and 1 is %v, want %v", ideal, want)
	}
	schedule := []arrival{
		{at: 0, runsMS: []float64{200}},
		{at: 0, runsMS: []float64{100}},
		{at: time.Second, runsMS: []float64{100}},
	}
	got := referenceResponses(speeds, 1, schedule)
	for i, ms := range []time.Duration{100, 100, 50} {
		if want := ms*time.Millisecond + 2*clientDelay; got[i] != want {
			t.Errorf("response of job %d is %v, want %v", i, got[i], want)
		}
	}
}

// Guards against a fairness figure that blames a policy for a team that asked for little.
func TestFairness(t *testing.T) {
	weight := []float64{2, 1, 1}
	if f := fairness([]float64{40, 5, 35}, []float64{90, 5, 90}, weight); f < 0.79 || f > 0.81 {
		t.Errorf("fairness is %.3f, want 40 of 50", f)
	}
	if f := fairness([]float64{80, 5, 0}, []float64{90, 5, 90}, weight); f != 0 {
		t.Errorf("fairness with a starved team is %.3f, want 0", f)
	}
}
