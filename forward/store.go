package forward

import (
	"sort"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/ticket"
)

// MaxStoredBytes bounds the encoded size of the answers that a host keeps for drained hosts.
const MaxStoredBytes = 64 << 20

// storedSweepInterval is the interval between removals of expired answers.
const storedSweepInterval = time.Second

// storedAnswer is the final reply of a job whose owner has drained.
type storedAnswer struct {
	answer    dispatch.Answer
	size      int64
	keepUntil time.Duration
}

// answerStore holds answers of drained hosts until the lifetime of their ticket ends.
type answerStore struct {
	answers     map[ticket.ID]storedAnswer
	bytes       int64
	nextSweepAt time.Duration
}

// StoreAnswer stores the answer of a draining host. size is its encoded size in bytes. Store returns false
// if the answer would exceed MaxStoredBytes: stored answers are never dropped for newer ones.
func (s *State) StoreAnswer(now time.Duration, a dispatch.Answer, size int64) bool {
	if _, ok := s.storedAnswers.answers[a.ID]; ok {
		return true
	}
	if s.storedAnswers.bytes+size > MaxStoredBytes {
		return false
	}
	s.counters.Stored++
	s.storedAnswers.bytes += size
	s.storedAnswers.answers[a.ID] = storedAnswer{answer: a, size: size, keepUntil: now + a.RemainingLifetime}
	return true
}

// StoredAnswers returns the answers kept for drained hosts, ordered by ticket. This host hands them over in
// turn when it drains.
func (s *State) StoredAnswers(now time.Duration) []dispatch.Answer {
	var kept []dispatch.Answer
	for _, stored := range s.storedAnswers.answers {
		if now < stored.keepUntil {
			a := stored.answer
			a.RemainingLifetime = stored.keepUntil - now
			kept = append(kept, a)
		}
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].ID < kept[j].ID })
	return kept
}

// HasStoredAnswer reports whether this host stores an answer of a drained host for the ticket.
func (s *State) HasStoredAnswer(now time.Duration, id ticket.ID) bool {
	stored, ok := s.storedAnswers.answers[id]
	return ok && now < stored.keepUntil
}

// StoredReply returns the reply to a request from the answers of drained hosts, or nil if there is
// none. If a ticket is reused for another job, the reply says so and carries no result.
func (s *State) StoredReply(now time.Duration, req Request) *api.Reply {
	if !s.HasStoredAnswer(now, req.ID) {
		return nil
	}
	stored := s.storedAnswers.answers[req.ID]
	if req.Operation == Submit && req.Digest != stored.answer.Digest && !s.injected.acceptAnyDigest {
		return &api.Reply{Schema: api.Schema, Ticket: req.ID, Outcome: api.Unknown,
			Reason: api.Errorf(api.CodeTicketReused, "ticket", "the ticket belongs to another job; take a new ticket")}
	}
	s.counters.FromStore++
	return stored.answer.Reply
}

func (s *answerStore) removeExpired(now time.Duration) {
	if now < s.nextSweepAt {
		return
	}
	s.nextSweepAt = now + storedSweepInterval
	for id, stored := range s.answers {
		if stored.keepUntil <= now {
			s.bytes -= stored.size
			delete(s.answers, id)
		}
	}
}
