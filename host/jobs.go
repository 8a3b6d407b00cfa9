package host

import (
	"cmp"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/crash"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// cellWaitLimit is how long a job waits for an available cell, for example while cells change
	// their commanders.
	cellWaitLimit = 400 * time.Millisecond
	// outcomeGrace is how long after a job's deadline the caller's host waits for the outcome from the
	// host that runs the job, before it answers itself.
	outcomeGrace = 50 * time.Millisecond
	// A refused caller is told to try again after minRetryAfter plus a random part of up to
	// retryAfterJitter.
	minRetryAfter    = 1 * time.Second
	retryAfterJitter = 2 * time.Second
	// retryAfterPerPriority is added for each priority below the highest, up to maxRetryPriorities.
	retryAfterPerPriority = time.Second
	maxRetryPriorities    = 4
)

// job is a job of one of this host's callers.
type job struct {
	seq           uint64
	spec          fleet.JobSpec
	route         fleet.Route
	arrived       time.Duration
	deadline      time.Duration
	hostID        uint64 // process to which it was assigned; 0: none
	cell          fleet.Cell
	refusedBy     map[fleet.Cell]bool // cells that have refused the job
	refusalReason string              // of the latest refusal
	offerAgainAt  time.Duration       // when it is offered again to the cells that have refused it; 0: it was not; see offersAgain
	drawnCell     fleet.Cell          // cell of the own zone for which it waits while cells come back; see drawCell
}

func (s *State) handleJobArrived(now time.Duration, e JobArrived) {
	s.stats.Arrived++
	j := &job{seq: e.Seq, spec: e.Spec, route: e.Route, arrived: now, deadline: now + e.Remaining, refusedBy: make(map[fleet.Cell]bool)}
	s.jobs[e.Seq] = j
	if s.wasCancelled(now, e.Spec.ID, e.Route) {
		s.answerJob(now, j, sched.Cancelled, reasonCancelled)
		return
	}
	if task, found := s.sched.Crashes().GivenUpTask(crash.JobOf(e.Route, e.Spec.ID)); found {
		s.answerJob(now, j, sched.Failed, sched.GivenUpReason(s.sched.Crashes(), task))
		return
	}
	s.assignJob(now, j)
}

// assignJob sends a job to the commander of the cell that chooseCell returns, unless it waits for one that
// comes back (see waitsForOwnZone). If there is none, the job
// waits up to cellWaitLimit for a cell; if a cell has already refused it, the caller gets a refusal at
// once.
func (s *State) assignJob(now time.Duration, j *job) {
	if now < j.offerAgainAt {
		return
	}
	c, ok := s.chooseCell(now, j)
	if s.waitsForOwnZone(now, j, c) {
		return
	}
	if !ok {
		if len(j.refusedBy) > 0 && s.offersAgain(now, j) {
			return
		}
		evacuated := s.evacuatedReason(now)
		if len(j.refusedBy) > 0 || now-j.arrived >= cellWaitLimit || evacuated != "" {
			s.answerJob(now, j, sched.Refused, cmp.Or(j.refusalReason, evacuated, "no host commands workers of the service"))
		}
		return
	}
	j.hostID, j.cell = c.host, c.name
	s.recordStart(now, StartFirstJob)
	c.recordAssignment(j)
	if c.peer == nil {
		s.submitLocal(now, j)
		return
	}
	s.forwardJob(now, j, c)
}

// forwardJob sends a job to the host that commands a cell.
func (s *State) forwardJob(now time.Duration, j *job, c *cellCandidate) {
	submit := &meshpb.Message{Kind: &meshpb.Message_Submit{Submit: s.submitMessage(now, j)}}
	if !c.peer.session.Send(submit) {
		j.offerAgainAt = now // a message that was not taken is not taken later either
		s.handleRefusal(now, j, "the host that commands the cell takes no messages")
		return
	}
	p := c.peer
	p.lastJobAt = now
	p.confirmSubmission = now-p.session.LastContact() > s.opts.Timing.ContactTimeout/2
	s.stats.PassedOn++
	s.log("jobs", j.spec.RequestID, "job passed on", "job", j.spec.ID, "cell", c.name, "to", c.peer.info.GetName(), "wait", c.wait, "age", now-c.peer.statusReceivedAt)
}

// submitLocal submits a job to the scheduler of this host.
func (s *State) submitLocal(now time.Duration, j *job) {
	s.sched.Step(now, sched.Submit{Job: sched.Job{
		Key:  sched.JobKey{Host: s.opts.Self.ID, Seq: j.seq},
		Cell: j.cell,
		Spec: j.spec, Route: j.route,
		Age: now - j.arrived, Left: j.deadline - now, CallersSeen: s.callersSeen,
	}})
}

func (s *State) submitMessage(now time.Duration, j *job) *meshpb.Submit {
	return &meshpb.Submit{
		Seq: j.seq, Cell: string(j.cell), JobId: j.spec.ID, RequestId: j.spec.RequestID, Payload: j.spec.Payload,
		Tasks: int32(j.spec.Tasks), Cpu: j.spec.Need.CPU, Memory: j.spec.Need.Memory, Gpu: j.spec.Need.GPU,
		EstimateNs: int64(j.spec.Estimate), Rack: j.spec.Rack, Label: j.spec.Label, MaxPerWorker: int32(j.spec.MaxPerWorker),
		AgeNs: int64(now - j.arrived), LeftNs: int64(j.deadline - now), Measured: int64(now),
		Route: &meshpb.Route{
			Name: j.route.Name, Service: j.route.Service, Priority: int32(j.route.Priority),
			MaxAttempts: int32(j.route.MaxAttempts), SlackFactor: j.route.SlackFactor, TargetNs: int64(j.route.ObjectiveOffset),
			Host: j.route.Host, Prefix: j.route.Prefix,
		},
	}
}

// handleJobFinished delivers the outcome of a job from this host's scheduler to the host whose
// caller submitted the job. A host that counts as lost here gets it, too: after a pause it may be back
// before it has given up this host, and would then wait for the outcome in vain.
func (s *State) handleJobFinished(now time.Duration, e sched.JobFinished) {
	o := &meshpb.Outcome{Seq: e.Key.Seq, Outcome: int32(e.Outcome), Reason: fleet.Printable(e.Reason, maxReasonBytes)}
	if e.Outcome == sched.Cancelled {
		o.Outcome, o.Cancelled = int32(sched.Aborted), true // hosts of earlier versions do not know Cancelled
	}
	if e.Key.Host == s.opts.Self.ID {
		s.handleOutcome(now, e.Key.Host, o)
		return
	}
	if p := s.peersByID[e.Key.Host]; p != nil {
		p.session.Send(&meshpb.Message{Kind: &meshpb.Message_Outcome{Outcome: o}})
	}
}

// handleOutcome processes the outcome of a caller's job from the host to which it was assigned.
// Outcomes from any other host are ignored.
func (s *State) handleOutcome(now time.Duration, host uint64, o *meshpb.Outcome) {
	j := s.jobs[o.GetSeq()]
	if j == nil || j.hostID != host {
		return
	}
	result := decodeOutcome(o.GetOutcome())
	if o.GetCancelled() {
		result = sched.Cancelled
	}
	if result != sched.Refused {
		s.answerJob(now, j, result, o.GetReason())
		return
	}
	s.handleRefusal(now, j, o.GetReason())
}

// handleRefusal assigns a job to another cell after its cell has refused it.
func (s *State) handleRefusal(now time.Duration, j *job, reason string) {
	s.log("jobs", j.spec.RequestID, "job refused by a cell", "job", j.spec.ID, "cell", j.cell, "reason", reason)
	j.refusedBy[j.cell] = true
	j.refusalReason = reason
	j.hostID = 0
	s.assignJob(now, j)
}

// answerJob answers the caller of a job and forgets the job.
func (s *State) answerJob(now time.Duration, j *job, o sched.Outcome, reason string) {
	delete(s.jobs, j.seq)
	a := Answer{Seq: j.seq, Outcome: o, Reason: reason}
	switch o {
	case sched.Completed:
		s.stats.Completed++
	case sched.Failed:
		s.stats.Failed++
	case sched.Refused:
		s.stats.Refused++
		a.RetryAfter = s.retryAfter(j)
	case sched.Aborted:
		s.stats.Aborted++
	case sched.Cancelled:
		s.stats.Cancelled++
	}
	s.log("jobs", j.spec.RequestID, "job answered", "job", j.spec.ID, "route", j.route.Name, "outcome", o, "reason", reason, "cell", j.cell, "took", now-j.arrived)
	s.emit(a)
}

// retryAfter returns when the caller of a refused job may send it again. With Policy.LookAhead the callers
// of less urgent routes come back later, so that those of the more urgent ones find the room first.
func (s *State) retryAfter(j *job) time.Duration {
	d := minRetryAfter + time.Duration(s.rng.Int64N(int64(retryAfterJitter)))
	if s.opts.Placement.LookAhead {
		d += retryAfterPerPriority * time.Duration(min(max(j.route.Priority, 0), maxRetryPriorities))
	}
	return d
}

// handleCallerGone cancels a job whose caller no longer waits.
func (s *State) handleCallerGone(now time.Duration, seq uint64) {
	j := s.jobs[seq]
	if j == nil {
		return
	}
	delete(s.jobs, seq)
	s.stats.Gone++
	s.log("jobs", j.spec.RequestID, "caller gone", "job", j.spec.ID, "after", now-j.arrived, "last_seen", now-s.callersSeen)
	s.cancelJob(now, j)
}

// handleCallersSeen records that all callers of jobs were seen to wait at a time.
func (s *State) handleCallersSeen(at time.Duration) {
	s.callersSeen = max(s.callersSeen, at)
	s.sched.RecordCallersSeen(s.opts.Self.ID, s.callersSeen)
}

// cancelJob cancels a job on the host to which it was assigned.
func (s *State) cancelJob(now time.Duration, j *job) {
	switch p := s.peersByID[j.hostID]; {
	case j.hostID == s.opts.Self.ID:
		s.sched.Step(now, sched.Cancel{Key: sched.JobKey{Host: j.hostID, Seq: j.seq}})
	case p != nil:
		p.dropSubmission(j.seq)
		p.session.Send(&meshpb.Message{Kind: &meshpb.Message_Cancel{Cancel: &meshpb.Cancel{Seq: j.seq}}})
	}
}

// dropSubmission removes the submission of a job from the unacknowledged messages, so that it is
// not sent again.
func (p *peer) dropSubmission(seq uint64) {
	p.session.Withdraw(func(m *meshpb.Message) bool {
		return m.GetSubmit() != nil && m.GetSubmit().GetSeq() == seq
	})
}

// abortJobsOf answers the jobs that were assigned to a lost host as aborted.
func (s *State) abortJobsOf(now time.Duration, id uint64) {
	for _, j := range s.sortedJobs() {
		if j.hostID == id && id != 0 {
			s.cancelJob(now, j)
			s.answerJob(now, j, sched.Aborted, "the host that ran the job is lost")
		}
	}
}

// retryJobs assigns the jobs that wait for a cell, and aborts assigned jobs whose deadline has
// passed by more than outcomeGrace.
func (s *State) retryJobs(now time.Duration) {
	for _, j := range s.sortedJobs() {
		switch {
		case j.hostID == 0:
			s.assignJob(now, j)
		case now > j.deadline+outcomeGrace:
			s.cancelJob(now, j)
			s.answerJob(now, j, sched.Aborted, "the caller's time is up")
		}
	}
}

// sortedJobs returns the callers' jobs in order of arrival.
func (s *State) sortedJobs() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	return list
}
