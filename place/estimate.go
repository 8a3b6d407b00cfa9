package place

import (
	"math"
	"sort"
	"time"
)

// Estimate is what the learned rates say about a job.
type Estimate struct {
	Work  time.Duration // slot time at the typical speed
	Ideal time.Duration // response time if every slot were free
}

// fastShare is the share of the slots that count as fast for the ideal of a job.
const fastShare = 0.1

// Estimate predicts a job of the given tasks, which are of one kind and group.
func (s *Set) Estimate(tasks []Task) Estimate {
	if len(tasks) == 0 {
		return Estimate{}
	}
	model := s.model(tasks[0].Kind)
	var work, longest time.Duration
	for _, t := range tasks {
		run := model.predict(t.Run)
		work += run
		longest = max(longest, run)
	}
	fast, capacity := s.rates(tasks[0].Group, tasks[0].Kind)
	if capacity == 0 {
		return Estimate{Work: work, Ideal: longest}
	}
	ideal := max(float64(longest)/fast, float64(work)/capacity)
	return Estimate{Work: work, Ideal: time.Duration(ideal)}
}

// Capacity returns the work that the group's live endpoints do at a time, in slots of
// the typical speed.
func (s *Set) Capacity(group string) float64 {
	_, capacity := s.rates(group, "")
	return capacity
}

// rates returns the speed of the group's fast slots and the sum of all speeds.
func (s *Set) rates(group, kind string) (fast, capacity float64) {
	var all []float64
	for _, st := range s.groups[group] {
		if st.Leaving {
			continue
		}
		speed := 1 / st.speeds.slowness(kind)
		all = append(all, speed)
		capacity += speed * float64(st.Slots)
	}
	if len(all) == 0 {
		return 1, 0
	}
	sort.Float64s(all)
	at := len(all) - 1 - int(math.Floor(fastShare*float64(len(all))))
	return all[max(at, 0)], capacity
}

// LearnRun takes in the run time of a task of a kind that other means place, so that
// Estimate predicts the kind.
func (s *Set) LearnRun(kind string, declared, took time.Duration) {
	if took > 0 {
		s.model(kind).learn(took, declared, 0)
	}
}
