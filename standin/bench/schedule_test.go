package main

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// Guards against comparing policies on different arrivals, and against an arrival rate that
// does not produce the requested share of the capacity.
func TestScheduleIsSeededAndMeetsTheLoad(t *testing.T) {
	for _, name := range []string{"steady", "bursts"} {
		sc, err := scenarioNamed(name)
		if err != nil {
			t.Fatal(err)
		}
		const capacity, length = 400.0, 400 * time.Second
		a := newSchedule(&deployments[0], &sc, 7, capacity, length, 3)
		if !reflect.DeepEqual(a, newSchedule(&deployments[0], &sc, 7, capacity, length, 3)) {
			t.Errorf("%s: the same seed gave two schedules", name)
		}
		work := 0.0
		for i := range a {
			work += a[i].workSeconds()
		}
		if load := work / (capacity * length.Seconds()); math.Abs(load-sc.load) > 0.05*sc.load {
			t.Errorf("%s: the schedule asks for %.3f of the capacity, not %.3f", name, load, sc.load)
		}
	}
}
