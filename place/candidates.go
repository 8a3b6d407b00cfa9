package place

import "iter"

// A group of up to maxCandidates endpoints is compared as a whole. Of a larger one each
// task sees a random part, mostly of the own availability zone, since comparing thousands
// of endpoints for each task would cost more than a better choice gains.
const (
	maxCandidates    = 64
	localCandidates  = 48
	remoteCandidates = maxCandidates - localCandidates
)

// zoneSplit holds a group's endpoints by where they are.
type zoneSplit struct {
	local, remote []*state
}

func splitZones(groups map[string][]*state, zone string) map[string]zoneSplit {
	out := make(map[string]zoneSplit, len(groups))
	for name, members := range groups {
		var split zoneSplit
		for _, st := range members {
			if st.Zone == zone {
				split.local = append(split.local, st)
			} else {
				split.remote = append(split.remote, st)
			}
		}
		out[name] = split
	}
	return out
}

// candidates yields the endpoints of a group to compare for one task.
func (s *Set) candidates(group string) iter.Seq[*state] {
	return func(yield func(*state) bool) {
		if members := s.groups[group]; len(members) <= maxCandidates {
			for _, st := range members {
				if !yield(st) {
					return
				}
			}
			return
		}
		split := s.zones[group]
		local := max(localCandidates, maxCandidates-len(split.remote))
		remote := max(remoteCandidates, maxCandidates-len(split.local))
		if s.window(split.local, local, yield) {
			s.window(split.remote, remote, yield)
		}
	}
}

// window yields n endpoints of a list from a random place on.
func (s *Set) window(list []*state, n int, yield func(*state) bool) bool {
	if len(list) == 0 {
		return true
	}
	first := s.rng.IntN(len(list))
	for i := range min(n, len(list)) {
		if !yield(list[(first+i)%len(list)]) {
			return false
		}
	}
	return true
}
