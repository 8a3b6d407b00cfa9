package forward

import "time"

// searchKind is a kind of search for the answer at the peers. A request has each kind at most once,
// and no lower kind after a higher one.
type searchKind int

const (
	_ searchKind = iota
	// searchOwnerUnreachable is made while the owner cannot be reached.
	searchOwnerUnreachable
	// searchOwnerGone is made once the owner is known to be gone. It is made even after an earlier
	// search, since the owner may have handed its answers over in between.
	searchOwnerGone
)

// searchTimeouts limits the time of a search. The time is short while the owner cannot be reached,
// because the caller of a submission had better turn to another host at once. It is longer if a
// final reply follows.
var searchTimeouts = map[searchKind]time.Duration{searchOwnerUnreachable: 250 * time.Millisecond, searchOwnerGone: time.Second}

// startSearch starts a search for the answer at the peers, unless one of this or a higher kind was
// made for the request. It reports whether it did. A peer may hold the answer because the owner
// handed it over while draining.
func (s *State) startSearch(now time.Duration, p *pendingRequest, kind searchKind) bool {
	if p.lastSearch >= kind || s.lifetimeEnded(now, p) || s.injected.skipSearch {
		return false
	}
	p.lastSearch = kind
	s.counters.Searches++
	s.emit(FindAnswer{Request: p.req, Limit: searchTimeouts[kind]})
	return true
}

func (s *State) handleAnswerSearched(now time.Duration, ev AnswerSearched) {
	p, ok := s.pendingRequests[ev.Waiter]
	if !ok {
		return
	}
	if ev.Reply != nil && !s.lifetimeEnded(now, p) && !s.injected.dropFoundAnswers {
		s.counters.Found++
		s.replyAndForget(p, ev.Reply)
		return
	}
	if !s.replyIfDecided(now, p) {
		s.retryOrReplyUnreachable(now, p)
	}
}
