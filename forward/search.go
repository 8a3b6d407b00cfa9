package forward

import "time"

const (
	// searchAway bounds the search for an answer at peers while the owner is out of reach. It
	// is short, because a submission is better made at another host at once.
	searchAway = 250 * time.Millisecond
	// searchGone bounds the search before the verdict that the job is lost, which is final.
	searchGone = time.Second
)

// search has the peers asked for the answer, once for each request, and reports whether it
// did. A peer may hold it because the owner drained.
func (s *State) search(now time.Duration, p *pending, limit time.Duration) bool {
	if p.searched || s.expired(now, p) || s.off.noSearch {
		return false
	}
	p.searched = true
	s.counters.Searches++
	s.emit(FindAnswer{Request: p.req, Limit: limit})
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
