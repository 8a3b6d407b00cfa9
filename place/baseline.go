package place

// baseline chooses among all endpoints that have room for this host, by the host's own
// outstanding tasks at most. It knows neither speeds nor the load of other hosts.
func (s *Set) baseline(group string, avoid EndpointID) (Endpoint, bool) {
	var open, last []*state
	for _, st := range s.groups[group] {
		switch {
		case st.Leaving || st.outstanding >= st.Slots:
		case st.ID == avoid:
			last = append(last, st)
		default:
			open = append(open, st)
		}
	}
	if len(open) == 0 {
		open = last
	}
	if len(open) == 0 {
		return Endpoint{}, false
	}
	return s.fromOpen(group, open).Endpoint, true
}

func (s *Set) fromOpen(group string, open []*state) *state {
	switch s.policy.Placement {
	case RoundRobin:
		return s.nextInTurn(group, open)
	case LeastOutstanding:
		return s.leastOutstanding(open)
	case TwoChoices:
		return s.lessLoaded(open)
	}
	return open[s.rng.IntN(len(open))]
}

// nextInTurn returns the first open endpoint after the one chosen last, in the order of
// identifiers.
func (s *Set) nextInTurn(group string, open []*state) *state {
	next := open[0]
	for _, st := range open {
		if st.ID > s.lastInTurn[group] {
			next = st
			break
		}
	}
	s.lastInTurn[group] = next.ID
	return next
}

// leastOutstanding draws among the endpoints with the fewest outstanding tasks.
func (s *Set) leastOutstanding(open []*state) *state {
	var best *state
	ties := 0
	for _, st := range open {
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

// lessLoaded draws two candidates and returns the one with fewer outstanding tasks.
func (s *Set) lessLoaded(candidates []*state) *state {
	a := candidates[s.rng.IntN(len(candidates))]
	b := candidates[s.rng.IntN(len(candidates))]
	if b.outstanding < a.outstanding {
		return b
	}
	return a
}
