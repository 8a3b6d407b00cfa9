package forward

import "time"

// search says which searches for the answer at peers a request has had.
type search int

const (
	_ search = iota
	// searchAway is made while the owner is out of reach.
	searchAway
	// searchGone is made once the owner is known to be gone. An earlier one does not replace
	// it, since the owner may have handed its answers over afterwards.
	searchGone
)

// searchLimits bounds a search. The one while the owner is away is short, because a submission is
// better made at another host at once. The other one precedes a final verdict.
var searchLimits = map[search]time.Duration{searchAway: 250 * time.Millisecond, searchGone: time.Second}

// search has the peers asked for the answer, once for each kind of search, and reports
// whether it did. A peer may hold the answer because the owner drained.
func (s *State) search(now time.Duration, p *pending, kind search) bool {
	if p.searched >= kind || s.expired(now, p) || s.off.noSearch {
		return false
	}
	p.searched = kind
	s.counters.Searches++
	s.emit(FindAnswer{Request: p.req, Limit: searchLimits[kind]})
	return true
}

func (s *State) answerSearched(now time.Duration, ev AnswerSearched) {
	p, ok := s.waiting[ev.Waiter]
	if !ok {
		return
	}
	if ev.Reply != nil && !s.expired(now, p) && !s.off.foundDropped {
		s.counters.Found++
		s.answer(p, ev.Reply)
		return
	}
	if !s.settle(now, p) {
		s.ownerAway(now, p)
	}
}
