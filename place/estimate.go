package place

import (
	"math"
	"sort"
	"time"
)

// Estimate is the expected size of a job, predicted from learned run times and speeds.
type Estimate struct {
	Work              time.Duration // slot time at the typical speed
	IdealResponseTime time.Duration // response time if every slot were free
}

// fastEndpointShare is the share of the endpoints that count as fast for the ideal response time
// of a job.
const fastEndpointShare = 0.1

// Estimate predicts a job of the given tasks, which are all of one kind and group.
func (s *Set) Estimate(tasks []Task) Estimate {
	if len(tasks) == 0 {
		return Estimate{}
	}
	model := s.modelFor(tasks[0].Kind)
	var work, longest time.Duration
	for _, t := range tasks {
		runTime := model.predict(t.DeclaredRunTime)
		work += runTime
		longest = max(longest, runTime)
	}
	fastSpeed, capacity := s.slotSpeeds(tasks[0].Group, tasks[0].Kind)
	if capacity == 0 {
		return Estimate{Work: work, IdealResponseTime: longest}
	}
	ideal := max(float64(longest)/fastSpeed, float64(work)/capacity)
	return Estimate{Work: work, IdealResponseTime: time.Duration(ideal)}
}

// Capacity returns the total speed of the slots of the group's live endpoints, in slots of the
// typical speed.
func (s *Set) Capacity(group string) float64 {
	_, capacity := s.slotSpeeds(group, "")
	return capacity
}

// slotSpeeds returns the speed of a slot at the group's fast endpoints and the sum of the speeds
// of all slots, both relative to the typical speed.
func (s *Set) slotSpeeds(group, kind string) (fastSpeed, capacity float64) {
	var endpointSpeeds []float64
	for _, st := range s.groups[group] {
		if st.Leaving {
			continue
		}
		speed := 1 / st.speed.slowness(kind)
		endpointSpeeds = append(endpointSpeeds, speed)
		capacity += speed * float64(st.Slots)
	}
	if len(endpointSpeeds) == 0 {
		return 1, 0
	}
	sort.Float64s(endpointSpeeds)
	index := len(endpointSpeeds) - 1 - int(math.Floor(fastEndpointShare*float64(len(endpointSpeeds))))
	return endpointSpeeds[max(index, 0)], capacity
}

// LearnRunTime records the run time of a task that another package placed, so that Estimate predicts
// its kind.
func (s *Set) LearnRunTime(kind string, declared, runTime time.Duration) {
	if runTime > 0 {
		s.modelFor(kind).learn(runTime, declared, 0)
	}
}
