package core

import (
	"container/heap"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/claim"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/ticket"
)

// toOwner asks the owner of a key for the job's outcome. It never submits the job: only
// the owner starts it, once it has read its own claim.
func (s *State) toOwner(now time.Duration, owner claim.Owner, digest uint64, w dispatch.WaiterID, wait time.Duration) {
	t, err := ticket.Parse(owner.Ticket)
	switch {
	case err != nil:
		s.answer(w, keyUnknown(api.CodeBadTicket, "the claim that owns the key has a malformed ticket"))
	case owner.Digest != digest:
		s.answer(w, keyReused())
	case t.Incarnation == s.incarnation:
		s.claims.waiters[w] = keyWaiter{owned: owner.Ticket}
		s.ownTicket(now, dispatch.Await{ID: owner.Ticket, Waiter: w, NoWait: wait <= 0})
	default:
		s.claims.waiters[w] = keyWaiter{forwarded: true}
		s.forward(now, forward.Request{ID: owner.Ticket, Ticket: t, Operation: forward.Await, Wait: wait, Waiter: w})
	}
}

// ownTicket routes an event about a ticket of this incarnation. Jobs whose claim is not
// decided, or that will never start, are not known to the dispatcher.
func (s *State) ownTicket(now time.Duration, ev dispatch.Event) {
	switch ev := ev.(type) {
	case dispatch.Submit:
		if k, ok := s.claims.byTicket[ev.ID]; ok {
			s.waitForKey(now, k, ev.Waiter, untilDeadline(ev.NoWait, k, now))
			return
		}
	case dispatch.Await:
		if k, ok := s.claims.byTicket[ev.ID]; ok {
			s.waitForKey(now, k, ev.Waiter, untilDeadline(ev.NoWait, k, now))
			return
		}
	case dispatch.Cancel:
		if k, ok := s.claims.byTicket[ev.ID]; ok {
			s.cancelKeyJob(now, k, ev.Waiter)
			return
		}
	case dispatch.WaiterTimeout:
		if s.claims.waiters[ev.Waiter].pending != nil {
			s.keyWaiterTimeout(now, ev.Waiter)
			return
		}
	case dispatch.WaiterGone:
		s.keyWaiterGone(now, ev.Waiter)
	}
	s.dispatch(now, ev)
}

// untilDeadline is the wait of a request that names none.
func untilDeadline(noWait bool, k *keyJob, now time.Duration) time.Duration {
	if noWait {
		return 0
	}
	return k.deadline - now
}

func (s *State) waitForKey(now time.Duration, k *keyJob, w dispatch.WaiterID, wait time.Duration) {
	switch {
	case k.verdict != nil:
		s.answer(w, k.verdict)
	case s.claims.byTicket[k.id] != k: // the test switch startUnread has started it
		s.dispatch(now, dispatch.Await{ID: k.id, Waiter: w, NoWait: wait <= 0})
	case wait <= 0:
		s.answer(w, keyPending())
	default:
		k.waiters = append(k.waiters, w)
		s.claims.waiters[w] = keyWaiter{pending: k, until: now + wait}
	}
}

func (s *State) cancelKeyJob(now time.Duration, k *keyJob, w dispatch.WaiterID) {
	if k.verdict == nil {
		reply := notRun(k, api.Errorf(api.CodeCancelled, "", "the job was cancelled by its caller"))
		s.endKeyJob(now, k, reply, reply)
	}
	s.answer(w, k.verdict)
}

func (s *State) keyWaiterTimeout(now time.Duration, w dispatch.WaiterID) {
	at, ok := s.claims.waiters[w]
	switch {
	case !ok || at.forwarded: // answered already, or by package forward
	case at.pending != nil:
		at.pending.removeWaiter(w)
		s.answer(w, keyPending())
	default:
		s.dispatch(now, dispatch.WaiterTimeout{ID: at.owned, Waiter: w})
	}
}

func (s *State) keyWaiterGone(now time.Duration, w dispatch.WaiterID) {
	at, ok := s.claims.waiters[w]
	delete(s.claims.waiters, w)
	switch {
	case !ok:
	case at.forwarded:
		s.forward(now, forward.WaiterGone{Waiter: w})
	case at.pending != nil:
		at.pending.removeWaiter(w)
	default:
		s.dispatch(now, dispatch.WaiterGone{ID: at.owned, Waiter: w})
	}
}

func (k *keyJob) removeWaiter(w dispatch.WaiterID) {
	for i, have := range k.waiters {
		if have == w {
			k.waiters = append(k.waiters[:i], k.waiters[i+1:]...)
			return
		}
	}
}

// answer replies to a request and forgets where it waited.
func (s *State) answer(w dispatch.WaiterID, r *api.Reply) {
	delete(s.claims.waiters, w)
	if w != 0 {
		s.effects = append(s.effects, dispatch.ReplyTo{Waiter: w, Reply: r})
	}
}

// keyReply adapts the reply to a forwarded request of a caller with a key. NotForwarded
// tells who submitted a ticket that this submission has not run, but the owner of a key
// has its job from another submission, which may have run.
func (s *State) keyReply(r forward.ReplyTo) forward.ReplyTo {
	at := s.claims.waiters[r.Waiter]
	delete(s.claims.waiters, r.Waiter)
	if at.forwarded && r.Reply.NotForwarded {
		reply := *r.Reply
		reply.NotForwarded = false
		r.Reply = &reply
	}
	return r
}

// keysTick ends the jobs whose claims were not read back in time, and forgets old ones.
func (s *State) keysTick(now time.Duration) {
	for len(s.claims.timers) > 0 && s.claims.timers[0].at <= now {
		t := heap.Pop(&s.claims.timers).(keyTimer)
		k, ok := s.claims.byTicket[t.id]
		switch {
		case !ok || k.verdict != nil && now < k.forget:
		case k.verdict != nil:
			delete(s.claims.byTicket, t.id)
		default:
			s.keyDeadlineOver(now, k)
		}
	}
}

// keyUnknown asks the caller to ask again. It is never a refusal: another host may have
// run the job under the same key.
func keyUnknown(code api.Code, message string) *api.Reply {
	return &api.Reply{Schema: api.Schema, Outcome: api.Unknown, Reason: api.Errorf(code, "key", "%s", message)}
}

func keyReused() *api.Reply {
	return keyUnknown(api.CodeTicketReused, "the key belongs to another job; take a new key")
}

// keyPending names no ticket: a job submitted under it would not be bound to the key.
func keyPending() *api.Reply {
	return keyUnknown(api.CodeRunning, "the key is being claimed; ask again with the key")
}

func epochExpired(job *api.Job) *api.Reply {
	r := &api.Reply{Schema: api.Schema, Outcome: api.Failed,
		Reason: api.Errorf(api.CodeKeyEpoch, "key_epoch", "the epoch of the key has expired; the job may have run")}
	r.Tasks = taskStates(len(job.Tasks), api.TaskMayHaveRun)
	return r
}

// notRun is the verdict of a job that this host will never start.
func notRun(k *keyJob, reason *api.Error) *api.Reply {
	return &api.Reply{Schema: api.Schema, Ticket: k.id, Outcome: api.Failed, Reason: reason,
		Tasks: taskStates(len(k.job.Tasks), api.TaskNotRun)}
}

func taskStates(n int, state api.TaskState) []api.TaskReply {
	out := make([]api.TaskReply, n)
	for i := range out {
		out[i] = api.TaskReply{Index: i, State: state}
	}
	return out
}

type keyTimer struct {
	at time.Duration
	id ticket.ID
}

// keyTimers orders timers by their time.
type keyTimers []keyTimer

func (h keyTimers) Len() int           { return len(h) }
func (h keyTimers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h keyTimers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *keyTimers) Push(x any) { *h = append(*h, x.(keyTimer)) }

// Pop implements heap.Interface.
func (h *keyTimers) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
