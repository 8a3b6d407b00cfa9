// Package forward is the reducer for tickets that another incarnation owns. It decides
// what this host may truthfully say about them: the owner's own reply, "unknown" while
// the owner cannot be reached, and "failed, may have run" once the owner can no longer
// say "complete".
package forward

import (
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	// retryDelay is the pause before an unreachable owner is tried again.
	retryDelay = 100 * time.Millisecond
	// keepSeen is how long a ticket is remembered after its lifetime, so that the reply
	// "failed" does not turn back into "unknown".
	keepSeen = 5 * time.Minute
	// maxSeen bounds the tickets remembered; beyond it the oldest are forgotten.
	maxSeen = 200_000
	// maxGone bounds the incarnations remembered as gone. A forgotten one is learned
	// again from its successor.
	maxGone = 10_000
)

// State is the reducer's state. It is not safe for concurrent use.
type State struct {
	seen     map[ticket.ID]time.Duration // first sight
	order    []seenEntry                 // by first sight
	gone     map[ticket.Incarnation]bool
	goneList []ticket.Incarnation // by the time they were learned
	waiting  map[dispatch.WaiterID]*pending
	retries  []retry // by time, since every retry has the same delay
	stored   store
	counters Counters
	effects  []Effect
	off      switches
}

type seenEntry struct {
	id     ticket.ID
	forget time.Duration
}

// retry is due unless its request has been answered or its owner is being asked.
type retry struct {
	waiter dispatch.WaiterID
	at     time.Duration
}

type pending struct {
	req      Request
	first    time.Duration // first sight of the ticket
	until    time.Duration
	retryAt  time.Duration // 0 while a forwarded request or a search is outstanding
	arrived  bool          // the request may have reached the owner
	searched search        // the last search for the answer at peers, which may be under way
	reason   string
}

// Counters counts what the reducer did since the process started.
type Counters struct {
	Forwarded  uint64 `json:"forwarded"`
	Failed     uint64 `json:"owner_failed"`
	OwnersGone uint64 `json:"owners_gone"`
	Verdicts   uint64 `json:"verdicts_for_lost_owners"`
	Stored     uint64 `json:"answers_stored"`
	FromStore  uint64 `json:"answers_from_store"`
	Searches   uint64 `json:"answer_searches"`
	Found      uint64 `json:"answers_found_at_peers"`
}

// New returns an empty State.
func New() *State {
	return &State{
		seen:    make(map[ticket.ID]time.Duration),
		gone:    make(map[ticket.Incarnation]bool),
		waiting: make(map[dispatch.WaiterID]*pending),
		stored:  store{answers: make(map[ticket.ID]storedAnswer)},
	}
}

// Apply applies an event and returns the effects, valid until the next call.
func (s *State) Apply(now time.Duration, ev Event) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case Request:
		s.request(now, ev)
	case OwnerReplied:
		s.ownerReplied(now, ev)
	case OwnerFailed:
		s.ownerFailed(now, ev)
	case OwnerReplaced:
		s.ownerReplaced(now, ev)
	case AnswerSearched:
		s.answerSearched(now, ev)
	case WaiterGone:
		delete(s.waiting, ev.Waiter)
	case Tick:
	}
	s.retryDue(now)
	s.forget(now)
	s.stored.sweep(now)
	return s.effects
}

// NextWake returns when the next retry is due.
func (s *State) NextWake() (time.Duration, bool) {
	if len(s.retries) == 0 {
		return 0, false
	}
	return s.retries[0].at, true
}

// Counters returns a copy of the counters.
func (s *State) Counters() Counters { return s.counters }

func (s *State) request(now time.Duration, req Request) {
	first, ok := s.seen[req.ID]
	if !ok {
		first = now
		s.seen[req.ID] = now
		s.order = append(s.order, seenEntry{id: req.ID, forget: now + req.Ticket.Lifetime() + keepSeen})
	}
	p := &pending{req: req, first: first, until: now + req.Wait}
	s.waiting[req.Waiter] = p
	if !s.settle(now, p) {
		s.send(now, p)
	}
}

// expired reports whether the lifetime of the ticket has ended as this host sees it.
func (s *State) expired(now time.Duration, p *pending) bool {
	life := p.req.Ticket.Lifetime()
	if s.off.earlyVerdict {
		life /= 2
	}
	return now > p.first+life
}

// verdict returns the final reply if the owner can no longer answer "complete".
func (s *State) verdict(now time.Duration, p *pending) *api.Reply {
	switch {
	case s.off.noVerdict:
		return nil
	case s.gone[p.req.Ticket.Incarnation]:
		s.counters.Verdicts++
		return s.lost(p, "the process that owned the job is gone; the job may have run")
	case s.expired(now, p):
		s.counters.Verdicts++
		return s.lost(p, "the owner of the job could not be reached within the ticket's lifetime; the job may have run")
	}
	return nil
}

func (s *State) send(now time.Duration, p *pending) {
	s.counters.Forwarded++
	s.emit(SendToOwner{Request: p.req, Wait: max(p.until-now, 0)})
}

// ownerReplied relays the owner's reply. A host that has answered "failed" for the ticket,
// or would by now, keeps to that.
func (s *State) ownerReplied(now time.Duration, ev OwnerReplied) {
	p, ok := s.waiting[ev.Waiter]
	if !ok {
		return
	}
	p.arrived = true
	if s.settle(now, p) {
		return
	}
	s.answer(p, ev.Reply)
}

// answer replies to a pending request and forgets it.
func (s *State) answer(p *pending, r *api.Reply) {
	if !s.off.keepAnswered {
		delete(s.waiting, p.req.Waiter)
	}
	s.reply(p.req.Waiter, r)
}

// settle answers a pending request if the verdict is known by now. Before it says that the
// job of an owner that is gone is lost, it has the peers asked. It reports false if neither
// was due.
func (s *State) settle(now time.Duration, p *pending) bool {
	r := s.StoredReply(now, p.req)
	if r == nil && s.gone[p.req.Ticket.Incarnation] && s.search(now, p, searchGone) {
		return true
	}
	if r == nil {
		r = s.verdict(now, p)
	}
	if r == nil {
		return false
	}
	s.answer(p, r)
	return true
}

func (s *State) ownerFailed(now time.Duration, ev OwnerFailed) {
	s.counters.Failed++
	p, ok := s.waiting[ev.Waiter]
	if ok && s.off.silenceIsGone {
		s.markGone(p.req.Ticket.Incarnation)
	}
	if !ok {
		return
	}
	p.arrived = p.arrived || !ev.NotSent
	p.reason = ev.Reason
	if !s.settle(now, p) && !s.search(now, p, searchAway) {
		s.ownerAway(now, p)
	}
}

// ownerAway schedules a retry, or answers that the owner cannot be reached.
func (s *State) ownerAway(now time.Duration, p *pending) {
	retryAt := now + retryDelay
	// A submission that has not left this host is better made at another one at once.
	if retryAt < p.until && (p.arrived || p.req.Operation != Submit) {
		p.retryAt = retryAt
		s.retries = append(s.retries, retry{waiter: p.req.Waiter, at: retryAt})
		return
	}
	s.answer(p, &api.Reply{Schema: api.Schema, Ticket: p.req.ID, Outcome: api.Unknown, NotForwarded: s.notForwarded(p),
		Reason: api.Errorf(api.CodeOwnerAway, "ticket", "the owner of the job cannot be reached now (%s); ask again", p.reason)})
}

func (s *State) ownerReplaced(now time.Duration, ev OwnerReplaced) {
	p, ok := s.waiting[ev.Waiter]
	if !ok {
		return
	}
	if ev.Now == p.req.Ticket.Incarnation {
		s.ownerFailed(now, OwnerFailed{Waiter: ev.Waiter, Reason: "contradictory reply"})
		return
	}
	s.markGone(p.req.Ticket.Incarnation)
	s.settle(now, p)
}

func (s *State) markGone(inc ticket.Incarnation) {
	if s.gone[inc] {
		return
	}
	s.counters.OwnersGone++
	s.gone[inc] = true
	s.goneList = append(s.goneList, inc)
	if len(s.goneList) > maxGone {
		delete(s.gone, s.goneList[0])
		s.goneList = s.goneList[1:]
	}
}

// retryDue asks the owners again whose retries are due, and drops the retries in front that
// are not needed any more.
func (s *State) retryDue(now time.Duration) {
	for len(s.retries) > 0 {
		r := s.retries[0]
		p, ok := s.waiting[r.waiter]
		needed := ok && p.retryAt == r.at
		if needed && r.at > now {
			return
		}
		s.retries = s.retries[1:]
		if !needed {
			continue
		}
		p.retryAt = 0
		if !s.settle(now, p) {
			s.send(now, p)
		}
	}
}

func (s *State) forget(now time.Duration) {
	for len(s.order) > 0 && (s.order[0].forget <= now || len(s.order) > maxSeen) {
		delete(s.seen, s.order[0].id)
		s.order = s.order[1:]
	}
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) reply(w dispatch.WaiterID, r *api.Reply) {
	s.emit(ReplyTo{Waiter: w, Reply: r})
}

// lost is the reply for a job whose owner can no longer answer "complete".
func (s *State) lost(p *pending, message string) *api.Reply {
	return &api.Reply{Schema: api.Schema, Ticket: p.req.ID, Outcome: api.Failed, NotForwarded: s.notForwarded(p),
		Reason: api.Errorf(api.CodeOwnerLost, "ticket", "%s", message)}
}

func (s *State) notForwarded(p *pending) bool { return !p.arrived || s.off.notReached }
