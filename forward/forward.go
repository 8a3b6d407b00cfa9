// Package forward is the state machine for requests about tickets that another incarnation owns. It
// passes a request on to the owner and decides what this host may truthfully answer: the owner's own
// reply, "unknown" while the owner cannot be reached, and "failed, may have run" once the owner can
// no longer answer "complete". It also keeps answers that draining hosts hand over.
//
// The package does no I/O and reads no clock: State.Apply takes an event and returns effects, which
// package daemon carries out. Tickets that this incarnation owns are left to package dispatch.
package forward

import (
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	// ownerRetryDelay is the delay before an unreachable owner is tried again.
	ownerRetryDelay = 100 * time.Millisecond
	// seenRetention is how long a ticket is remembered after its lifetime. Without the record, a
	// reply "unknown" could follow the reply "failed".
	seenRetention = 5 * time.Minute
	// maxSeen bounds the number of remembered tickets. Above it the oldest are forgotten.
	maxSeen = 200_000
	// maxGoneOwners bounds the number of incarnations remembered as gone. If one is forgotten, the
	// incarnation that replaced it reports the replacement again.
	maxGoneOwners = 10_000
)

// State is the state of the state machine. It is not safe for concurrent use.
type State struct {
	firstSeen       map[ticket.ID]time.Duration // when this host first saw the ticket
	seenByAge       []seenEntry                 // in the order in which they were first seen
	goneOwners      map[ticket.Incarnation]bool
	goneByAge       []ticket.Incarnation // in the order in which they were found to be gone
	pendingRequests map[dispatch.WaiterID]*pendingRequest
	retries         []retry // by due time, since all retries have the same delay
	storedAnswers   answerStore
	counters        Counters
	effects         []Effect
	injected        faults
}

// seenEntry says when a ticket may be forgotten.
type seenEntry struct {
	id       ticket.ID
	forgetAt time.Duration
}

// retry is a planned retry of a request. It is obsolete if the request has been answered or is being
// forwarded or searched for.
type retry struct {
	waiter dispatch.WaiterID
	dueAt  time.Duration
}

// pendingRequest is a caller's request that has no reply yet.
type pendingRequest struct {
	req            Request
	firstSeenAt    time.Duration // when this host first saw the ticket
	waitEnd        time.Duration
	retryAt        time.Duration // 0 while the request is being forwarded or searched for
	mayHaveArrived bool          // the request may have reached the owner
	lastSearch     searchKind    // the latest search at the peers, which may not have ended; 0 for none
	lastFailure    string
}

// Counters counts forwarded requests, replies and searches since the process started.
type Counters struct {
	Forwarded        uint64 `json:"forwarded"`
	Failed           uint64 `json:"owner_failed"`
	OwnersGone       uint64 `json:"owners_gone"`
	LostOwnerReplies uint64 `json:"verdicts_for_lost_owners"`
	Stored           uint64 `json:"answers_stored"`
	FromStore        uint64 `json:"answers_from_store"`
	Searches         uint64 `json:"answer_searches"`
	Found            uint64 `json:"answers_found_at_peers"`
}

// New returns an empty State.
func New() *State {
	return &State{
		firstSeen:       make(map[ticket.ID]time.Duration),
		goneOwners:      make(map[ticket.Incarnation]bool),
		pendingRequests: make(map[dispatch.WaiterID]*pendingRequest),
		storedAnswers:   answerStore{answers: make(map[ticket.ID]storedAnswer)},
	}
}

// Apply applies an event and returns its effects; now is the time since process start. The returned
// slice is valid until the next call.
func (s *State) Apply(now time.Duration, ev Event) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case Request:
		s.handleRequest(now, ev)
	case OwnerReplied:
		s.handleOwnerReplied(now, ev)
	case OwnerFailed:
		s.handleOwnerFailed(now, ev)
	case OwnerReplaced:
		s.handleOwnerReplaced(now, ev)
	case AnswerSearched:
		s.handleAnswerSearched(now, ev)
	case WaiterGone:
		delete(s.pendingRequests, ev.Waiter)
	case Tick:
	}
	s.runDueRetries(now)
	s.forgetOldTickets(now)
	s.storedAnswers.removeExpired(now)
	return s.effects
}

// NextWake returns when the next retry is due, as a time since process start, or false if none is
// planned. A Tick has to be applied then.
func (s *State) NextWake() (time.Duration, bool) {
	if len(s.retries) == 0 {
		return 0, false
	}
	return s.retries[0].dueAt, true
}

// Counters returns a copy of the counters.
func (s *State) Counters() Counters { return s.counters }

func (s *State) handleRequest(now time.Duration, req Request) {
	first, ok := s.firstSeen[req.ID]
	if !ok {
		first = now
		s.firstSeen[req.ID] = now
		s.seenByAge = append(s.seenByAge, seenEntry{id: req.ID, forgetAt: now + req.Ticket.Lifetime() + seenRetention})
	}
	p := &pendingRequest{req: req, firstSeenAt: first, waitEnd: now + req.Wait}
	s.pendingRequests[req.Waiter] = p
	if !s.replyIfDecided(now, p) {
		s.sendToOwner(now, p)
	}
}

// lifetimeEnded reports whether the lifetime of the ticket has ended, counted from when this host
// first saw the ticket.
func (s *State) lifetimeEnded(now time.Duration, p *pendingRequest) bool {
	lifetime := p.req.Ticket.Lifetime()
	if s.injected.failAfterHalfLifetime {
		lifetime /= 2
	}
	return now > p.firstSeenAt+lifetime
}

// lostOwnerReply returns the final reply if the owner can no longer answer "complete", or nil.
func (s *State) lostOwnerReply(now time.Duration, p *pendingRequest) *api.Reply {
	switch {
	case s.injected.neverFail:
		return nil
	case s.goneOwners[p.req.Ticket.Incarnation]:
		s.counters.LostOwnerReplies++
		return s.ownerLostReply(p, "the process that owned the job is gone; the job may have run")
	case s.lifetimeEnded(now, p):
		s.counters.LostOwnerReplies++
		return s.ownerLostReply(p, "the owner of the job could not be reached within the ticket's lifetime; the job may have run")
	}
	return nil
}

func (s *State) sendToOwner(now time.Duration, p *pendingRequest) {
	s.counters.Forwarded++
	s.emit(SendToOwner{Request: p.req, Wait: max(p.waitEnd-now, 0)})
}

// handleOwnerReplied passes on the owner's reply, unless this host has an answer of its own by now. If
// it has answered "failed" for the ticket, or would do so now, it does not contradict that.
func (s *State) handleOwnerReplied(now time.Duration, ev OwnerReplied) {
	p, ok := s.pendingRequests[ev.Waiter]
	if !ok {
		return
	}
	p.mayHaveArrived = true
	if s.replyIfDecided(now, p) {
		return
	}
	s.replyAndForget(p, ev.Reply)
}

// replyAndForget replies to a pending request and deletes it.
func (s *State) replyAndForget(p *pendingRequest, r *api.Reply) {
	if !s.injected.keepAnsweredRequests {
		delete(s.pendingRequests, p.req.Waiter)
	}
	s.reply(p.req.Waiter, r)
}

// replyIfDecided answers a pending request if an answer is stored here or the owner can no longer
// answer "complete". If the owner is gone, it starts a search at the peers first, before it answers
// that the job is lost. It reports whether it did one of these.
func (s *State) replyIfDecided(now time.Duration, p *pendingRequest) bool {
	r := s.StoredReply(now, p.req)
	if r == nil && s.goneOwners[p.req.Ticket.Incarnation] && s.startSearch(now, p, searchOwnerGone) {
		return true
	}
	if r == nil {
		r = s.lostOwnerReply(now, p)
	}
	if r == nil {
		return false
	}
	s.replyAndForget(p, r)
	return true
}

func (s *State) handleOwnerFailed(now time.Duration, ev OwnerFailed) {
	s.counters.Failed++
	p, ok := s.pendingRequests[ev.Waiter]
	if ok && s.injected.treatUnreachableAsGone {
		s.markOwnerGone(p.req.Ticket.Incarnation)
	}
	if !ok {
		return
	}
	p.mayHaveArrived = p.mayHaveArrived || !ev.NotSent
	p.lastFailure = ev.Reason
	if !s.replyIfDecided(now, p) && !s.startSearch(now, p, searchOwnerUnreachable) {
		s.retryOrReplyUnreachable(now, p)
	}
}

// retryOrReplyUnreachable schedules a retry, or answers that the owner cannot be reached.
func (s *State) retryOrReplyUnreachable(now time.Duration, p *pendingRequest) {
	retryAt := now + ownerRetryDelay
	// If a submission has provably not reached the owner, the caller had better submit the job at
	// another host at once than wait for a retry.
	if retryAt < p.waitEnd && (p.mayHaveArrived || p.req.Operation != Submit) {
		p.retryAt = retryAt
		s.retries = append(s.retries, retry{waiter: p.req.Waiter, dueAt: retryAt})
		return
	}
	s.replyAndForget(p, &api.Reply{Schema: api.Schema, Ticket: p.req.ID, Outcome: api.Unknown, NotForwarded: s.notForwarded(p),
		Reason: api.Errorf(api.CodeOwnerAway, "ticket", "the owner of the job cannot be reached now (%s); ask again", p.lastFailure)})
}

func (s *State) handleOwnerReplaced(now time.Duration, ev OwnerReplaced) {
	p, ok := s.pendingRequests[ev.Waiter]
	if !ok {
		return
	}
	if ev.CurrentIncarnation == p.req.Ticket.Incarnation {
		s.handleOwnerFailed(now, OwnerFailed{Waiter: ev.Waiter, Reason: "contradictory reply"})
		return
	}
	s.markOwnerGone(p.req.Ticket.Incarnation)
	s.replyIfDecided(now, p)
}

func (s *State) markOwnerGone(inc ticket.Incarnation) {
	if s.goneOwners[inc] {
		return
	}
	s.counters.OwnersGone++
	s.goneOwners[inc] = true
	s.goneByAge = append(s.goneByAge, inc)
	if len(s.goneByAge) > maxGoneOwners {
		delete(s.goneOwners, s.goneByAge[0])
		s.goneByAge = s.goneByAge[1:]
	}
}

// runDueRetries forwards the requests whose retries are due, and removes obsolete retries from the
// front of the list.
func (s *State) runDueRetries(now time.Duration) {
	for len(s.retries) > 0 {
		r := s.retries[0]
		p, ok := s.pendingRequests[r.waiter]
		needed := ok && p.retryAt == r.dueAt
		if needed && r.dueAt > now {
			return
		}
		s.retries = s.retries[1:]
		if !needed {
			continue
		}
		p.retryAt = 0
		if !s.replyIfDecided(now, p) {
			s.sendToOwner(now, p)
		}
	}
}

func (s *State) forgetOldTickets(now time.Duration) {
	for len(s.seenByAge) > 0 && (s.seenByAge[0].forgetAt <= now || len(s.seenByAge) > maxSeen) {
		delete(s.firstSeen, s.seenByAge[0].id)
		s.seenByAge = s.seenByAge[1:]
	}
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) reply(w dispatch.WaiterID, r *api.Reply) {
	s.emit(ReplyTo{Waiter: w, Reply: r})
}

// ownerLostReply returns the reply for a job whose owner can no longer answer "complete".
func (s *State) ownerLostReply(p *pendingRequest, message string) *api.Reply {
	return &api.Reply{Schema: api.Schema, Ticket: p.req.ID, Outcome: api.Failed, NotForwarded: s.notForwarded(p),
		Reason: api.Errorf(api.CodeOwnerLost, "ticket", "%s", message)}
}

func (s *State) notForwarded(p *pendingRequest) bool {
	return !p.mayHaveArrived || s.injected.reportAllNotForwarded
}
