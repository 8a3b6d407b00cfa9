package forward

import (
	"sort"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/ticket"
)

// MaxStoredBytes bounds the encoded answers that a host keeps for drained hosts.
const MaxStoredBytes = 64 << 20

// storedSweep is the pause between removals of answers whose time has ended.
const storedSweep = time.Second

// storedAnswer is the final reply of a job whose owner has drained.
type storedAnswer struct {
	answer dispatch.Answer
	size   int64
	until  time.Duration
}

// store keeps answers of drained hosts until the lifetime of their ticket ends.
type store struct {
	answers map[ticket.ID]storedAnswer
	bytes   int64
	sweepAt time.Duration
}

// Store keeps the answer of a drained host. size is its encoded size in bytes. It reports
// false if there is no room; answers are never dropped for newer ones.
func (s *State) Store(now time.Duration, a dispatch.Answer, size int64) bool {
	if _, ok := s.stored.answers[a.ID]; ok {
		return true
	}
	if s.stored.bytes+size > MaxStoredBytes {
		return false
	}
	s.counters.Stored++
	s.stored.bytes += size
	s.stored.answers[a.ID] = storedAnswer{answer: a, size: size, until: now + a.Keep}
	return true
}

// Stored returns the answers kept for drained hosts, for a further handover, ordered by
// ticket.
func (s *State) Stored(now time.Duration) []dispatch.Answer {
	var out []dispatch.Answer
	for _, have := range s.stored.answers {
		if now < have.until {
			a := have.answer
			a.Keep = have.until - now
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Keeps reports whether the answer of a drained host is kept for the ticket.
func (s *State) Keeps(now time.Duration, id ticket.ID) bool {
	have, ok := s.stored.answers[id]
	return ok && now < have.until
}

// StoredReply answers a request from the answers kept for drained hosts, or returns nil. It
// does not answer a reused ticket with the result of another job.
func (s *State) StoredReply(now time.Duration, req Request) *api.Reply {
	if !s.Keeps(now, req.ID) {
		return nil
	}
	have := s.stored.answers[req.ID]
	if req.Operation == Submit && req.Digest != have.answer.Digest && !s.off.anyDigest {
		return &api.Reply{Schema: api.Schema, Ticket: req.ID, Outcome: api.Unknown,
			Reason: api.Errorf(api.CodeTicketReused, "ticket", "the ticket belongs to another job; take a new ticket")}
	}
	s.counters.FromStore++
	return have.answer.Reply
}

func (s *store) sweep(now time.Duration) {
	if now < s.sweepAt {
		return
	}
	s.sweepAt = now + storedSweep
	for id, have := range s.answers {
		if have.until <= now {
			s.bytes -= have.size
			delete(s.answers, id)
		}
	}
}
