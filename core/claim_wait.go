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

// askOwner asks the host of the owning claim for the job's outcome. It never submits the job:
// only that host starts it, after it has read back its own claim.
func (s *State) askOwner(now time.Duration, owner claim.Owner, digest uint64, w dispatch.WaiterID, wait time.Duration) {
	t, err := ticket.Parse(owner.Ticket)
	switch {
	case err != nil:
		s.sendReply(w, unknownReply(api.CodeBadTicket, "the claim that owns the key has a malformed ticket"))
	case owner.Digest != digest:
		s.sendReply(w, keyReusedReply())
	case t.Incarnation == s.incarnation:
		s.claims.waiters[w] = keyWaiter{ownedTicket: owner.Ticket}
		s.handleTicketEvent(now, dispatch.Await{ID: owner.Ticket, Waiter: w, NoWait: wait <= 0})
	default:
		s.claims.waiters[w] = keyWaiter{forwarded: true}
		s.applyForward(now, forward.Request{ID: owner.Ticket, Ticket: t, Operation: forward.Await, Wait: wait, Waiter: w})
	}
}

// handleTicketEvent routes an event about a ticket of this incarnation. The dispatcher doesn't
// know jobs whose claim is not decided or that will never start; they are handled here.
func (s *State) handleTicketEvent(now time.Duration, ev dispatch.Event) {
	switch ev := ev.(type) {
	case dispatch.Submit:
		if k, ok := s.claims.byTicket[ev.ID]; ok {
			s.replyOrWait(now, k, ev.Waiter, defaultWait(ev.NoWait, k, now))
			return
		}
	case dispatch.Await:
		if k, ok := s.claims.byTicket[ev.ID]; ok {
			s.replyOrWait(now, k, ev.Waiter, defaultWait(ev.NoWait, k, now))
			return
		}
	case dispatch.Cancel:
		if k, ok := s.claims.byTicket[ev.ID]; ok {
			s.cancelKeyedJob(now, k, ev.Waiter)
			return
		}
	case dispatch.WaiterTimeout:
		if s.claims.waiters[ev.Waiter].pending != nil {
			s.handleKeyWaiterTimeout(now, ev.Waiter)
			return
		}
	case dispatch.WaiterGone:
		s.handleKeyWaiterGone(now, ev.Waiter)
	}
	s.applyDispatch(now, ev)
}

// defaultWait returns how long a request waits that names no time: until the job's deadline, or
// not at all if noWait is set.
func defaultWait(noWait bool, k *keyedJob, now time.Duration) time.Duration {
	if noWait {
		return 0
	}
	return k.deadline - now
}

// replyOrWait gives a request the final reply of a job, or lets it wait for the job's claim.
func (s *State) replyOrWait(now time.Duration, k *keyedJob, w dispatch.WaiterID, wait time.Duration) {
	switch {
	case k.finalReply != nil:
		s.sendReply(w, k.finalReply)
	case s.claims.byTicket[k.id] != k: // startBeforeReadBack is set and the job has been started
		s.applyDispatch(now, dispatch.Await{ID: k.id, Waiter: w, NoWait: wait <= 0})
	case wait <= 0:
		s.sendReply(w, keyPendingReply())
	default:
		k.waiters = append(k.waiters, w)
		s.claims.waiters[w] = keyWaiter{pending: k, waitEnd: now + wait}
	}
}

func (s *State) cancelKeyedJob(now time.Duration, k *keyedJob, w dispatch.WaiterID) {
	if k.finalReply == nil {
		reply := notRunReply(k, api.Errorf(api.CodeCancelled, "", "the job was cancelled by its caller"))
		s.endKeyedJob(now, k, reply, reply)
	}
	s.sendReply(w, k.finalReply)
}

func (s *State) handleKeyWaiterTimeout(now time.Duration, w dispatch.WaiterID) {
	waiter, ok := s.claims.waiters[w]
	switch {
	case !ok || waiter.forwarded: // answered already, or package forward answers it
	case waiter.pending != nil:
		waiter.pending.removeWaiter(w)
		s.sendReply(w, keyPendingReply())
	default:
		s.applyDispatch(now, dispatch.WaiterTimeout{ID: waiter.ownedTicket, Waiter: w})
	}
}

func (s *State) handleKeyWaiterGone(now time.Duration, w dispatch.WaiterID) {
	waiter, ok := s.claims.waiters[w]
	delete(s.claims.waiters, w)
	switch {
	case !ok:
	case waiter.forwarded:
		s.applyForward(now, forward.WaiterGone{Waiter: w})
	case waiter.pending != nil:
		waiter.pending.removeWaiter(w)
	default:
		s.applyDispatch(now, dispatch.WaiterGone{ID: waiter.ownedTicket, Waiter: w})
	}
}

func (k *keyedJob) removeWaiter(w dispatch.WaiterID) {
	for i, other := range k.waiters {
		if other == w {
			k.waiters = append(k.waiters[:i], k.waiters[i+1:]...)
			return
		}
	}
}

// sendReply answers a request and drops the record of where it waited. Waiter 0 stands for no
// request.
func (s *State) sendReply(w dispatch.WaiterID, r *api.Reply) {
	delete(s.claims.waiters, w)
	if w != 0 {
		s.effects = append(s.effects, dispatch.ReplyTo{Waiter: w, Reply: r})
	}
}

// adaptForwardedReply clears NotForwarded in a reply to a caller with a key. NotForwarded tells
// the submitter of a ticket that its submission has not run. The owner of a key has its job from
// another submission, which may have run.
func (s *State) adaptForwardedReply(r forward.ReplyTo) forward.ReplyTo {
	waiter := s.claims.waiters[r.Waiter]
	delete(s.claims.waiters, r.Waiter)
	if waiter.forwarded && r.Reply.NotForwarded {
		reply := *r.Reply
		reply.NotForwarded = false
		r.Reply = &reply
	}
	return r
}

// expireKeyedJobs ends the jobs whose claims were not read back before their deadline, and drops
// expired final replies.
func (s *State) expireKeyedJobs(now time.Duration) {
	for len(s.claims.timers) > 0 && s.claims.timers[0].due <= now {
		t := heap.Pop(&s.claims.timers).(expiryTimer)
		k, ok := s.claims.byTicket[t.id]
		switch {
		case !ok || k.finalReply != nil && now < k.finalReplyExpiry:
		case k.finalReply != nil:
			delete(s.claims.byTicket, t.id)
		default:
			s.failAtDeadline(now, k)
		}
	}
}

// unknownReply returns a reply with the outcome unknown, after which the caller may ask again. It
// is never a refusal, because another host may have run the job under the same key.
func unknownReply(code api.Code, message string) *api.Reply {
	return &api.Reply{Schema: api.Schema, Outcome: api.Unknown, Reason: api.Errorf(code, "key", "%s", message)}
}

func keyReusedReply() *api.Reply {
	return unknownReply(api.CodeTicketReused, "the key belongs to another job; take a new key")
}

// keyPendingReply contains no ticket, because a job submitted with a ticket would not be bound to
// the key.
func keyPendingReply() *api.Reply {
	return unknownReply(api.CodeRunning, "the key is being claimed; ask again with the key")
}

func epochExpiredReply(job *api.Job) *api.Reply {
	r := &api.Reply{Schema: api.Schema, Outcome: api.Failed,
		Reason: api.Errorf(api.CodeKeyEpoch, "key_epoch", "the epoch of the key has expired; the job may have run")}
	r.Tasks = taskReplies(len(job.Tasks), api.TaskMayHaveRun)
	return r
}

// notRunReply returns the final reply of a job that this host will never start.
func notRunReply(k *keyedJob, reason *api.Error) *api.Reply {
	return &api.Reply{Schema: api.Schema, Ticket: k.id, Outcome: api.Failed, Reason: reason,
		Tasks: taskReplies(len(k.job.Tasks), api.TaskNotRun)}
}

func taskReplies(n int, state api.TaskState) []api.TaskReply {
	out := make([]api.TaskReply, n)
	for i := range out {
		out[i] = api.TaskReply{Index: i, State: state}
	}
	return out
}

// expiryTimer is when a pending job or a final reply expires, since process start.
type expiryTimer struct {
	due time.Duration
	id  ticket.ID
}

// expiryTimers is a heap with the earliest timer first.
type expiryTimers []expiryTimer

func (h expiryTimers) Len() int           { return len(h) }
func (h expiryTimers) Less(i, j int) bool { return h[i].due < h[j].due }
func (h expiryTimers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryTimers) Push(x any) { *h = append(*h, x.(expiryTimer)) }

// Pop implements heap.Interface.
func (h *expiryTimers) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
