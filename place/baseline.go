package place

// pickBaseline chooses among all endpoints at which this host has fewer outstanding tasks than
// there are slots. It knows neither speeds nor the load of other hosts.
func (s *Set) pickBaseline(group string, avoid EndpointID) (Endpoint, bool) {
	var available, avoided []*endpointState
	for _, st := range s.groups[group] {
		switch {
		case st.Leaving || st.outstanding >= st.Slots:
		case st.ID == avoid:
			avoided = append(avoided, st)
		default:
			available = append(available, st)
		}
	}
	if len(available) == 0 {
		available = avoided
	}
	if len(available) == 0 {
		return Endpoint{}, false
	}
	return s.chooseByPolicy(group, available).Endpoint, true
}

func (s *Set) chooseByPolicy(group string, available []*endpointState) *endpointState {
	switch s.policy.Placement {
	case RoundRobin:
		return s.nextRoundRobin(group, available)
	case LeastOutstanding:
		return s.leastOutstanding(available)
	case TwoChoices:
		return s.lessLoadedOfTwo(available)
	}
	return available[s.rng.IntN(len(available))]
}

// nextRoundRobin returns the first available endpoint after the one chosen last, in the order
// of identifiers, and starts over after the last one.
func (s *Set) nextRoundRobin(group string, available []*endpointState) *endpointState {
	next := available[0]
	for _, st := range available {
		if st.ID > s.lastRoundRobin[group] {
			next = st
			break
		}
	}
	s.lastRoundRobin[group] = next.ID
	return next
}

// leastOutstanding returns a random one of the endpoints with the fewest outstanding tasks.
func (s *Set) leastOutstanding(available []*endpointState) *endpointState {
	var best *endpointState
	ties := 0
	for _, st := range available {
		switch {
		case best == nil || st.outstanding < best.outstanding:
			best, ties = st, 1
		case st.outstanding == best.outstanding:
			ties++
			if s.rng.IntN(ties) == 0 {
				best = st
			}
		}
	}
	return best
}

// lessLoadedOfTwo draws two random endpoints and returns the one with fewer outstanding tasks.
func (s *Set) lessLoadedOfTwo(available []*endpointState) *endpointState {
	a := available[s.rng.IntN(len(available))]
	b := available[s.rng.IntN(len(available))]
	if b.outstanding < a.outstanding {
		return b
	}
	return a
}
