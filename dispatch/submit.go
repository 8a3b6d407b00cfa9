package dispatch

import (
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/ticket"
)

func (s *State) handleSubmit(now time.Duration, ev Submit) {
	if s.replyToResubmission(now, ev) {
		return
	}
	minted, known := s.mintTimes.mintedAt(ev.Ticket.Seq)
	if ev.Ticket.Seq > s.mintTimes.highestSeq {
		s.reply(ev.Waiter, notMintedReply(ev.ID))
		return
	}
	if !known || lifetimeEnded(now, minted, ev.Ticket) {
		s.reply(ev.Waiter, lifetimeEndedReply(ev.ID))
		return
	}
	kind, refusal := s.checkAdmission(now, minted, ev)
	if refusal != nil {
		s.refuseJob(now, minted, ev, refusal)
		return
	}
	s.acceptJob(now, minted, ev, kind)
}

// replyToResubmission handles a submission whose ticket was submitted or refused before, and reports
// whether it did.
func (s *State) replyToResubmission(now time.Duration, ev Submit) bool {
	if reason, ok := s.refusedTickets.reason(ev.ID); ok {
		s.reply(ev.Waiter, refusedReply(ev.ID, reason))
		return true
	}
	j, ok := s.jobs[ev.ID]
	if !ok {
		return false
	}
	if j.digest != ev.Digest && !s.injected.acceptAnyDigest {
		// This is not a refusal, because the job that holds the ticket may have run.
		r := &api.Reply{Schema: api.Schema, Ticket: ev.ID, Outcome: api.Unknown,
			Reason: api.Errorf(api.CodeTicketReused, "ticket", "the ticket belongs to another job; take a new ticket")}
		s.reply(ev.Waiter, r)
		return true
	}
	s.counters.Resubmissions++
	s.replyOrWait(now, j, ev.Waiter, ev.NoWait)
	return true
}

// checkAdmission checks a first submission. It returns the job's kind, and the reason to refuse the
// job or nil.
func (s *State) checkAdmission(now, minted time.Duration, ev Submit) (Kind, *api.Error) {
	job := ev.Job
	kind, ok := s.policy.Kinds[job.Kind]
	if !ok {
		return kind, api.Errorf(api.CodeUnknownKind, "kind", "the kind %q is not configured", job.Kind)
	}
	if _, ok := s.policy.Teams[job.Team]; !ok {
		return kind, api.Errorf(api.CodeUnknownTeam, "team", "the team %q is not configured", job.Team)
	}
	taskCount := len(job.Tasks)
	deadline := jobDeadline(job, kind, ev.Ticket)
	switch {
	case s.draining:
		return kind, api.Errorf(api.CodeDraining, "", "this host is shutting down")
	case now >= minted+ev.Ticket.Window:
		return kind, api.Errorf(api.CodeTicketExpired, "ticket", "the ticket was not submitted within %v", ev.Ticket.Window)
	case deadline > ev.Ticket.MaxDeadline:
		return kind, api.Errorf(api.CodeDeadlineTooLong, "deadline_ms", "the ticket allows deadlines up to %v", ev.Ticket.MaxDeadline)
	case kind.MaxTasks > 0 && taskCount > kind.MaxTasks:
		return kind, api.Errorf(api.CodeTooManyTasks, "tasks", "jobs of kind %s have at most %d tasks", job.Kind, kind.MaxTasks)
	case s.placement(kind).Live(kind.Group) == 0:
		return kind, api.Errorf(api.CodeNoEndpoint, "kind", "no endpoint of group %s is available", kind.Group)
	case s.openTasks+taskCount > s.policy.MaxTasks:
		return kind, api.Errorf(api.CodeOverloaded, "", "this host has %d open tasks", s.openTasks)
	case ev.Ticket.Seq <= s.refusedTickets.refusedUpToSeq:
		return kind, api.Errorf(api.CodeOverloaded, "ticket", "this host has withdrawn older tickets under load; take a new ticket")
	case !s.makeRoom(initialJobBytes(job.Tasks)):
		return kind, api.Errorf(api.CodeOverloaded, "", "this host holds %d bytes of jobs and answers", s.heldBytes)
	}
	if refusal := s.checkWorkerSizes(kind, job.Tasks); refusal != nil {
		return kind, refusal
	}
	return kind, s.checkLimits(now, job, kind, deadline)
}

// refuseJob refuses a job and records the refusal, because no job may start later under a ticket
// that was refused. A ticket whose window has ended, or that is covered by the bound of refused
// sequence numbers, needs no record.
func (s *State) refuseJob(now, minted time.Duration, ev Submit, reason *api.Error) {
	s.counters.JobsRefused++
	windowEnd := minted + ev.Ticket.Window
	if now < windowEnd && ev.Ticket.Seq > s.refusedTickets.refusedUpToSeq && !s.injected.omitRefusalRecords {
		s.refusedTickets.add(ev.ID, refusal{reason: reason, seq: ev.Ticket.Seq, expiresAt: windowEnd})
	}
	s.reply(ev.Waiter, refusedReply(ev.ID, reason))
}

func (s *State) acceptJob(now, minted time.Duration, ev Submit, kind Kind) {
	s.counters.JobsAccepted++
	deadline := jobDeadline(ev.Job, kind, ev.Ticket)
	j := &job{
		id: ev.ID, ticket: ev.Ticket, digest: ev.Digest,
		team: ev.Job.Team, kindName: ev.Job.Kind, kind: kind,
		acceptedAt: now,
		deadline:   now + deadline,
		expiresAt:  minted + ev.Ticket.Lifetime(),
		tasks:      make([]task, len(ev.Job.Tasks)),
		taskSpecs:  ev.Job.Tasks,
		waiting:    make([]int, len(ev.Job.Tasks)),
		openTasks:  len(ev.Job.Tasks),
	}
	for i := range j.waiting {
		j.waiting[i] = i
	}
	j.sortWaiting()
	j.estimate = s.endpoints.Estimate(describeTasks(ev.Job, kind))
	j.targetEnd = queueTargetEnd(now, j.estimate, j.deadline)
	s.jobs[j.id] = j
	s.enqueue(j)
	s.limiter.AddWaitingWork(j.team, j.waitingWork())
	s.openTasks += j.openTasks
	s.teamOpenTasks[j.team] += j.openTasks
	s.addHeldBytes(j, initialJobBytes(j.taskSpecs))
	s.setTimer(j.deadline, timerDeadline, j.id)
	s.setTimer(j.expiresAt, timerExpiry, j.id)
	s.replyOrWait(now, j, ev.Waiter, ev.NoWait)
}

func (s *State) handleAwait(now time.Duration, ev Await) {
	if reason, ok := s.refusedTickets.reason(ev.ID); ok {
		s.reply(ev.Waiter, refusedReply(ev.ID, reason))
		return
	}
	if j, ok := s.jobs[ev.ID]; ok {
		s.replyOrWait(now, j, ev.Waiter, ev.NoWait)
		return
	}
	s.reply(ev.Waiter, s.absentJobReply(now, ev.ID))
}

// replyOrWait replies at once if the job has ended or the caller does not wait. Otherwise the reply
// follows at the end of the job or of the wait.
func (s *State) replyOrWait(now time.Duration, j *job, w WaiterID, noWait bool) {
	switch {
	case j.ended():
		s.reply(w, j.finalReply)
	case noWait:
		s.reply(w, j.runningReply(now))
	default:
		j.waiters = append(j.waiters, w)
	}
}

func (s *State) handleWaiterTimeout(now time.Duration, ev WaiterTimeout) {
	if j, ok := s.jobs[ev.ID]; ok && s.removeWaiter(ev.ID, ev.Waiter) {
		s.reply(ev.Waiter, j.runningReply(now))
	}
}

func (s *State) removeWaiter(id ticket.ID, w WaiterID) bool {
	j, ok := s.jobs[id]
	if !ok {
		return false
	}
	for i, waiter := range j.waiters {
		if waiter == w {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// absentJobReply returns the reply for a ticket of this incarnation that holds no job.
func (s *State) absentJobReply(now time.Duration, id ticket.ID) *api.Reply {
	t, err := ticket.Parse(id)
	if err != nil {
		return api.Refusal(api.Errorf(api.CodeBadTicket, "ticket", "%v", err))
	}
	minted, known := s.mintTimes.mintedAt(t.Seq)
	switch {
	case t.Seq > s.mintTimes.highestSeq:
		return notMintedReply(id)
	case !known || lifetimeEnded(now, minted, t):
		return lifetimeEndedReply(id)
	}
	if now >= minted+t.Window {
		return refusedReply(id, api.Errorf(api.CodeTicketExpired, "ticket", "no job was submitted with this ticket within %v", t.Window))
	}
	return &api.Reply{Schema: api.Schema, Ticket: id, Outcome: api.Unknown,
		Reason: api.Errorf(api.CodeTicketNotFound, "ticket", "no job has been submitted with this ticket yet")}
}

// lifetimeEnded reports whether the ticket's lifetime has ended, so that this host, its owner, may
// have deleted the record. It has to agree with the expiry timers, which delete the record exactly
// at the end of the lifetime.
func lifetimeEnded(now, minted time.Duration, t ticket.Ticket) bool {
	return now >= minted+t.Lifetime()
}

// lifetimeEndedReply returns the reply after the ticket's lifetime, when the job's record is deleted.
func lifetimeEndedReply(id ticket.ID) *api.Reply {
	return &api.Reply{Schema: api.Schema, Ticket: id, Outcome: api.Failed,
		Reason: api.Errorf(api.CodeAnswerExpired, "ticket", "the ticket's lifetime has ended; the job may have run and its answer is no longer kept")}
}

// notMintedReply returns the reply for a ticket that this host has not minted. It is not a refusal,
// because the host may still mint the ticket and run a job under it.
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
