package dispatch

import (
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/ticket"
)

func (s *State) submit(now time.Duration, ev Submit) {
	if s.answerKnown(now, ev) {
		return
	}
	minted, known := s.minted.mintedAt(ev.Ticket.Seq)
	if ev.Ticket.Seq > s.minted.last {
		s.reply(ev.Waiter, notMintedReply(ev.ID))
		return
	}
	if !known || lifeEnded(now, minted, ev.Ticket) {
		s.reply(ev.Waiter, lifeEndedReply(ev.ID))
		return
	}
	kind, refusal := s.admit(now, minted, ev)
	if refusal != nil {
		s.refuse(now, minted, ev, refusal)
		return
	}
	s.accept(now, minted, ev, kind)
}

// answerKnown handles a ticket that was submitted before.
func (s *State) answerKnown(now time.Duration, ev Submit) bool {
	if reason, ok := s.refused.reason(ev.ID); ok {
		s.reply(ev.Waiter, refusedReply(ev.ID, reason))
		return true
	}
	j, ok := s.jobs[ev.ID]
	if !ok {
		return false
	}
	if j.digest != ev.Digest && !s.off.anyDigest {
		// Not a refusal: the job that holds the ticket may have run.
		r := &api.Reply{Schema: api.Schema, Ticket: ev.ID, Outcome: api.Unknown,
			Reason: api.Errorf(api.CodeTicketReused, "ticket", "the ticket belongs to another job; take a new ticket")}
		s.reply(ev.Waiter, r)
		return true
	}
	s.counters.Resubmissions++
	s.wait(now, j, ev.Waiter, ev.NoWait)
	return true
}

// admit checks a first submission and returns the job's kind or the reason to refuse.
func (s *State) admit(now, minted time.Duration, ev Submit) (Kind, *api.Error) {
	job := ev.Job
	kind, ok := s.policy.Kinds[job.Kind]
	if !ok {
		return kind, api.Errorf(api.CodeUnknownKind, "kind", "the kind %q is not configured", job.Kind)
	}
	if _, ok := s.policy.Teams[job.Team]; !ok {
		return kind, api.Errorf(api.CodeUnknownTeam, "team", "the team %q is not configured", job.Team)
	}
	n := len(job.Tasks)
	deadline := jobDeadline(job, kind, ev.Ticket)
	switch {
	case s.draining:
		return kind, api.Errorf(api.CodeDraining, "", "this host is shutting down")
	case now >= minted+ev.Ticket.Window:
		return kind, api.Errorf(api.CodeTicketExpired, "ticket", "the ticket was not submitted within %v", ev.Ticket.Window)
	case deadline > ev.Ticket.MaxDeadline:
		return kind, api.Errorf(api.CodeDeadlineTooLong, "deadline_ms", "the ticket allows deadlines up to %v", ev.Ticket.MaxDeadline)
	case kind.MaxTasks > 0 && n > kind.MaxTasks:
		return kind, api.Errorf(api.CodeTooManyTasks, "tasks", "jobs of kind %s have at most %d tasks", job.Kind, kind.MaxTasks)
	case s.placement(kind).Live(kind.Group) == 0:
		return kind, api.Errorf(api.CodeNoEndpoint, "kind", "no endpoint of group %s is available", kind.Group)
	case s.open+n > s.policy.MaxTasks:
		return kind, api.Errorf(api.CodeOverloaded, "", "this host has %d open tasks", s.open)
	case ev.Ticket.Seq <= s.refused.closed:
		return kind, api.Errorf(api.CodeOverloaded, "ticket", "this host has withdrawn older tickets under load; take a new ticket")
	case !s.room(jobCost(job.Tasks)):
		return kind, api.Errorf(api.CodeOverloaded, "", "this host holds %d bytes of jobs and answers", s.bytes)
	}
	if refusal := s.neverFits(kind, job.Tasks); refusal != nil {
		return kind, refusal
	}
	return kind, s.limits(now, job, kind, deadline)
}

// refuse records the refusal, because a ticket that was answered "not run" must never
// start later. A ticket whose window has ended, or that is below the bound, needs no
// record.
func (s *State) refuse(now, minted time.Duration, ev Submit, reason *api.Error) {
	s.counters.JobsRefused++
	windowEnd := minted + ev.Ticket.Window
	if now < windowEnd && ev.Ticket.Seq > s.refused.closed && !s.off.forgetRefusals {
		s.refused.add(ev.ID, refusal{reason: reason, seq: ev.Ticket.Seq, until: windowEnd})
	}
	s.reply(ev.Waiter, refusedReply(ev.ID, reason))
}

func (s *State) accept(now, minted time.Duration, ev Submit, kind Kind) {
	s.counters.JobsAccepted++
	deadline := jobDeadline(ev.Job, kind, ev.Ticket)
	j := &job{
		id: ev.ID, ticket: ev.Ticket, digest: ev.Digest,
		team: ev.Job.Team, kindName: ev.Job.Kind, kind: kind,
		accepted: now,
		deadline: now + deadline,
		expires:  minted + ev.Ticket.Lifetime(),
		tasks:    make([]task, len(ev.Job.Tasks)),
		specs:    ev.Job.Tasks,
		waiting:  make([]int, len(ev.Job.Tasks)),
		open:     len(ev.Job.Tasks),
	}
	for i := range j.waiting {
		j.waiting[i] = i
	}
	j.sortWaiting()
	j.estimate = s.endpoints.Estimate(placeTasks(ev.Job, kind))
	j.key = queueKey(now, j.estimate, j.deadline)
	s.jobs[j.id] = j
	s.enqueue(j)
	s.limiter.Waiting(j.team, j.waitingWork())
	s.open += j.open
	s.teamOpen[j.team] += j.open
	s.addBytes(j, jobCost(j.specs))
	s.setTimer(j.deadline, timerDeadline, j.id)
	s.setTimer(j.expires, timerExpiry, j.id)
	s.wait(now, j, ev.Waiter, ev.NoWait)
}

func (s *State) await(now time.Duration, ev Await) {
	if reason, ok := s.refused.reason(ev.ID); ok {
		s.reply(ev.Waiter, refusedReply(ev.ID, reason))
		return
	}
	if j, ok := s.jobs[ev.ID]; ok {
		s.wait(now, j, ev.Waiter, ev.NoWait)
		return
	}
	s.reply(ev.Waiter, s.absentReply(now, ev.ID))
}

// wait replies at once if the verdict is known or the caller does not wait.
func (s *State) wait(now time.Duration, j *job, w WaiterID, noWait bool) {
	switch {
	case j.ended():
		s.reply(w, j.verdict)
	case noWait:
		s.reply(w, j.runningReply(now))
	default:
		j.waiters = append(j.waiters, w)
	}
}

func (s *State) waiterTimeout(now time.Duration, ev WaiterTimeout) {
	if j, ok := s.jobs[ev.ID]; ok && s.removeWaiter(ev.ID, ev.Waiter) {
		s.reply(ev.Waiter, j.runningReply(now))
	}
}

func (s *State) removeWaiter(id ticket.ID, w WaiterID) bool {
	j, ok := s.jobs[id]
	if !ok {
		return false
	}
	for i, have := range j.waiters {
		if have == w {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// absentReply answers for a ticket of this incarnation that holds no job.
func (s *State) absentReply(now time.Duration, id ticket.ID) *api.Reply {
	t, err := ticket.Parse(id)
	if err != nil {
		return api.Refusal(api.Errorf(api.CodeBadTicket, "ticket", "%v", err))
	}
	minted, known := s.minted.mintedAt(t.Seq)
	switch {
	case t.Seq > s.minted.last:
		return notMintedReply(id)
	case !known || lifeEnded(now, minted, t):
		return lifeEndedReply(id)
	}
	if now >= minted+t.Window {
		return refusedReply(id, api.Errorf(api.CodeTicketExpired, "ticket", "no job was submitted with this ticket within %v", t.Window))
	}
	return &api.Reply{Schema: api.Schema, Ticket: id, Outcome: api.Unknown,
		Reason: api.Errorf(api.CodeTicketNotFound, "ticket", "no job has been submitted with this ticket yet")}
}

// lifeEnded reports whether the owner may have dropped its record of the ticket. It has
// to agree with the expiry timers: at the very end of the lifetime the record is gone.
func lifeEnded(now, minted time.Duration, t ticket.Ticket) bool {
	return now >= minted+t.Lifetime()
}

// lifeEndedReply answers after the lifetime of the ticket, when the job's record is gone.
func lifeEndedReply(id ticket.ID) *api.Reply {
	return &api.Reply{Schema: api.Schema, Ticket: id, Outcome: api.Failed,
		Reason: api.Errorf(api.CodeAnswerExpired, "ticket", "the ticket's lifetime has ended; the job may have run and its answer is no longer kept")}
}

// notMintedReply answers for a ticket that this host has not minted. It is no refusal,
// because the host may still mint the ticket and run its job.
func notMintedReply(id ticket.ID) *api.Reply {
	return &api.Reply{Schema: api.Schema, Ticket: id, Outcome: api.Unknown,
		Reason: api.Errorf(api.CodeBadTicket, "ticket", "this host has not minted the ticket")}
}

func refusedReply(id ticket.ID, reason *api.Error) *api.Reply {
	r := api.Refusal(reason)
	r.Ticket = id
	return r
}

func jobDeadline(job *api.Job, kind Kind, t ticket.Ticket) time.Duration {
	switch {
	case job.DeadlineMS > 0:
		return job.Deadline()
	case kind.DefaultDeadline > 0:
		return min(kind.DefaultDeadline, t.MaxDeadline)
	}
	return min(defaultDeadline, t.MaxDeadline)
}
