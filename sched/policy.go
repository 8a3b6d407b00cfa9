package sched

// Policy sets how waiting tasks are placed.
type Policy struct {
	// LookAhead decides by the predicted ends of running tasks which jobs are admitted and where large
	// tasks will start, and divides the room of an overloaded service by the priorities of its routes.
	LookAhead bool
	// RemotePenalty is the factor by which a task takes longer on another rack than that of its data; 0
	// means defaultRemotePenalty.
	RemotePenalty float64
}

// SetPolicy sets how waiting tasks are placed. It is called before the first event.
func (s *State) SetPolicy(p Policy) {
	s.policy = p
	if s.policy.RemotePenalty == 0 {
		s.policy.RemotePenalty = defaultRemotePenalty
	}
}
