package place

import "iter"

// All endpoints of a group of up to maxCandidates are compared for each task. Of a larger
// group, each task is compared over a random part, mostly of the local availability zone,
// since comparing thousands of endpoints for each task would cost more than a better choice
// gains.
const (
	maxCandidates    = 64
	localCandidates  = 48
	remoteCandidates = maxCandidates - localCandidates
)

// zoneSplit holds the endpoints of a group in this host's availability zone and in others.
type zoneSplit struct {
	local, remote []*endpointState
}

func splitByZone(groups map[string][]*endpointState, zone string) map[string]zoneSplit {
	byGroup := make(map[string]zoneSplit, len(groups))
	for name, members := range groups {
		var split zoneSplit
		for _, st := range members {
			if st.Zone == zone {
				split.local = append(split.local, st)
			} else {
				split.remote = append(split.remote, st)
			}
		}
		byGroup[name] = split
	}
	return byGroup
}

// candidates yields the endpoints of a group to compare for one task.
func (s *Set) candidates(group string) iter.Seq[*endpointState] {
	return func(yield func(*endpointState) bool) {
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
		if s.yieldFromRandomStart(split.local, local, yield) {
			s.yieldFromRandomStart(split.remote, remote, yield)
		}
	}
}

// yieldFromRandomStart yields up to n consecutive endpoints of a list, from a random position
// on. It returns false if yield did.
func (s *Set) yieldFromRandomStart(list []*endpointState, n int, yield func(*endpointState) bool) bool {
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
