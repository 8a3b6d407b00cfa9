package place

import "sesameledge.dev/sesameledge/internal/defaults"

// Placement is the algorithm that chooses the endpoint of a task.
type Placement string

// The placements. Adaptive is for production use; the others are baselines for benchmarks.
const (
	Adaptive         Placement = "adaptive"
	Random           Placement = "random"
	RoundRobin       Placement = "round_robin"
	LeastOutstanding Placement = "least_outstanding"
	TwoChoices       Placement = "two_choices"
)

// Placements lists the valid values of Policy.Placement.
var Placements = []Placement{Adaptive, Random, RoundRobin, LeastOutstanding, TwoChoices}

// Policy is the configuration of placement. The zero value is valid.
type Policy struct {
	Placement Placement // empty means Adaptive
	// MaxEjected bounds the ejected share of a group's endpoints; 0 means
	// DefaultMaxEjected.
	MaxEjected float64
}

// SetPolicy replaces the policy. What was learned about endpoints and kinds is kept.
func (s *Set) SetPolicy(p Policy) {
	if p.Placement == "" {
		p.Placement = Adaptive
	}
	defaults.SetIfZero(&p.MaxEjected, DefaultMaxEjected)
	s.policy = p
}
