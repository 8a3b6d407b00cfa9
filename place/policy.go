package place

import "math"

// Placement names a way to choose the endpoint of a task.
type Placement string

// The placements. All but Adaptive are baselines for measurements.
const (
	Adaptive         Placement = "adaptive"
	Random           Placement = "random"
	RoundRobin       Placement = "round_robin"
	LeastOutstanding Placement = "least_outstanding"
	TwoChoices       Placement = "two_choices"
)

// Placements lists the valid values of Policy.Placement.
var Placements = []Placement{Adaptive, Random, RoundRobin, LeastOutstanding, TwoChoices}

// Policy is what configuration sets for placement. The zero value is valid.
type Policy struct {
	Placement Placement // empty means Adaptive
	// MessageWeight, from 0 to 1, is the weight of wasted messages against response
	// time. At 0, up to two tasks queue at an endpoint so that no slot idles between two
	// tasks; at 1 none does, so that a cancelled job has fewer tasks to recall.
	MessageWeight float64
	// MaxEjected bounds the ejected share of a group's endpoints; 0 means
	// DefaultMaxEjected.
	MaxEjected float64
}

// maxOvercommit is how many tasks may queue at an endpoint with MessageWeight 0.
const maxOvercommit = 2

// overcommit is how many tasks beyond its slots an endpoint may get.
func (p *Policy) overcommit() int {
	return int(math.Round((1 - p.MessageWeight) * maxOvercommit))
}

// SetPolicy replaces the policy. What was learned is kept.
func (s *Set) SetPolicy(p Policy) {
	if p.Placement == "" {
		p.Placement = Adaptive
	}
	if p.MaxEjected == 0 {
		p.MaxEjected = DefaultMaxEjected
	}
	s.policy = p
}
