package dispatch

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/place"
)

// placeWaitingTasks starts waiting tasks, job by job in queue order, until no endpoint can take
// more. A group without free slots does not delay jobs of other groups. Jobs of teams that have
// used more than their share are placed last.
func (s *State) placeWaitingTasks(now time.Duration) {
	if len(s.queue) == 0 {
		return
	}
	s.endpoints.BeginRound()
	s.earliestRetryAt = 0
	blockedJobs := make(map[string]int) // by group: jobs that found no endpoint
	overShare := make(map[string]bool)
	for team := range s.teamOpenTasks {
		overShare[team] = s.limiter.ExceedsFairShare(now, team)
	}
	for _, overSharePass := range []bool{false, true} {
		for _, j := range s.queue {
			if !j.ended() && overShare[j.team] == overSharePass && blockedJobs[j.kind.Group] < j.kind.maxBlockedJobs() && !s.placeJob(now, j) {
				blockedJobs[j.kind.Group]++
			}
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool { return j.ended() || len(j.waiting) == 0 })
	s.schedulePlacement(now)
}

// schedulePlacement sets when the next attempt to place the waiting tasks is due.
func (s *State) schedulePlacement(now time.Duration) {
	s.nextPlacementAt = 0
	if len(s.queue) == 0 {
		return
	}
	s.nextPlacementAt = now + placementPollInterval
	if s.earliestRetryAt > 0 {
		s.nextPlacementAt = min(s.nextPlacementAt, s.earliestRetryAt)
	}
}

// mustDelayRetry reports whether the retry delay of a refused task has not passed yet. If so, it
// takes the end of the delay into account for the next placement.
func (s *State) mustDelayRetry(now time.Duration, t *task) bool {
	if t.retryNotBefore <= now {
		return false
	}
	if s.earliestRetryAt == 0 || t.retryNotBefore < s.earliestRetryAt {
		s.earliestRetryAt = t.retryNotBefore
	}
	return true
}

// placeJob starts as many of the job's waiting tasks as it can and reports whether the group may
// have free slots for further tasks.
func (s *State) placeJob(now time.Duration, j *job) bool {
	stillWaiting := j.waiting[:0]
	inFlightLimit := s.jobInFlightLimit(now, j)
	for i, index := range j.waiting {
		if j.inFlight >= inFlightLimit {
			j.waiting = append(stillWaiting, j.waiting[i:]...)
			return true
		}
		t := &j.tasks[index]
		if s.mustDelayRetry(now, t) {
			stillWaiting = append(stillWaiting, index)
			continue
		}
		ep, choice := s.placement(j.kind).Pick(now, j.placementTask(index), t.avoidEndpoint)
		if choice == place.Full {
			j.waiting = append(stillWaiting, j.waiting[i:]...)
			return false
		}
		if choice == place.Hold || (t.attempts > 0 && !s.mayRetry(j)) {
			stillWaiting = append(stillWaiting, index)
			continue
		}
		if !s.startAttempt(now, j, index, ep) {
			return true
		}
		s.recordStart(now, j, t)
	}
	j.waiting = stillWaiting
	return true
}

// jobInFlightLimit returns how many of the job's tasks may be in flight now.
func (s *State) jobInFlightLimit(now time.Duration, j *job) int {
	if j.attemptsMade == 0 {
		return s.policy.inFlightLimit(len(j.tasks), 0)
	}
	return s.policy.inFlightLimit(len(j.tasks), now-j.firstAttemptAt)
}

// recordStart updates the limiter and the job's expected end after a task has been started.
func (s *State) recordStart(now time.Duration, j *job, t *task) {
	if t.attempts == 1 {
		s.limiter.RecordFirstAttempt()
	}
	s.limiter.RecordStart(now, j.team, j.kind.Group, j.taskWork())
	s.limiter.AddWaitingWork(j.team, -j.taskWork())
	if cost := s.endpoints.LastCost(); cost > 0 && !j.kind.Workers {
		j.expectedEnd = max(j.expectedEnd, now+cost)
	}
}

// startAttempt emits the effect that sends a task to an endpoint, and reports whether it did. No
// other function emits it. The at-most-once invariants are checked first; if one is broken, the
// job fails and the task is not sent.
func (s *State) startAttempt(now time.Duration, j *job, index int, ep place.Endpoint) bool {
	t := &j.tasks[index]
	switch {
	case t.state != taskWaiting:
		return s.reportViolation(now, j, "a task that may have started was about to start again")
	case j.ended():
		return s.reportViolation(now, j, "a task of an ended job was about to start")
	case now >= j.deadline:
		return s.reportViolation(now, j, "a task was about to start after its deadline")
	case j.ticket.Incarnation != s.options.Incarnation:
		return s.reportViolation(now, j, "a task of another incarnation was about to start")
	}
	if j.attemptsMade == 0 {
		j.firstAttemptAt = now
	}
	j.attemptsMade++
	t.state = taskInFlight
	t.attempts++
	t.endpoint = ep
	j.inFlight++
	s.counters.Attempts++
	s.placement(j.kind).Started(ep.ID, j.placementTask(index))
	s.emit(StartAttempt{
		Task:      TaskRef{Ticket: j.id, Index: index},
		Attempt:   t.attempts,
		Kind:      j.kindName,
		Endpoint:  ep,
		Size:      j.placementTask(index).Size,
		Payload:   j.taskSpecs[index].Payload,
		Remaining: j.deadline - now,
		Deadline:  j.deadline,
	})
	return true
}

func (s *State) reportViolation(now time.Duration, j *job, message string) bool {
	s.counters.Violations++
	s.emit(Violation{Ticket: j.id, Message: message})
	if !j.ended() {
		s.failJob(now, j, api.Errorf(api.CodeInternal, "", "the job was stopped by an internal check: %s", message))
	}
	return false
}

func (s *State) handleAttemptEnded(now time.Duration, ev AttemptEnded) {
	j, ok := s.jobs[ev.Task.Ticket]
	if !ok || ev.Task.Index < 0 || ev.Task.Index >= len(j.tasks) {
		s.counters.LateAnswers++
		return
	}
	t := &j.tasks[ev.Task.Index]
	if t.state != taskInFlight || (t.attempts != ev.Attempt && !s.injected.acceptAnyAttempt) {
		s.counters.LateAnswers++
		return
	}
	j.inFlight--
	s.placement(j.kind).Ended(now, t.endpoint.ID, j.placementTask(ev.Task.Index), place.Sample{
		Kind:            j.kindName,
		Failed:          (ev.Outcome == AttemptFailed || ev.Outcome == AttemptUnknown) && !ev.Blameless,
		Refused:         ev.Outcome == AttemptNotStarted && !ev.Blameless,
		Blameless:       ev.Blameless,
		Cancelled:       j.ended(),
		DeclaredRunTime: j.declaredRun(ev.Task.Index),
		ServiceTime:     ev.ServiceTime,
		Load:            ev.ReportedLoad,
	})
	s.recordOutcome(now, j, t, ev)
}

// recordOutcome records an attempt's outcome. After the final reply the state of the task is still
// updated, but the reply does not change.
func (s *State) recordOutcome(now time.Duration, j *job, t *task, ev AttemptEnded) {
	switch ev.Outcome {
	case AttemptCompleted:
		t.state = taskCompleted
		if j.ended() && !s.injected.replaceFinalReply {
			s.counters.LateAnswers++
			return
		}
		s.handleTaskCompleted(now, j, t, ev)
	case AttemptFailed:
		t.state = taskFailed
		if !j.ended() {
			s.failJob(now, j, api.Errorf(api.CodeTaskFailed, "", "task %d failed: %s", ev.Task.Index, ev.Reason))
		}
	case AttemptNotStarted:
		s.counters.NotStarted++
		t.state = taskWaiting
		if !j.ended() {
			s.requeueTask(now, j, t, ev)
		}
	default:
		s.counters.Unknown++
		t.state = taskUnknown
		if s.injected.retryUnknownOutcomes && !j.ended() {
			t.state = taskWaiting
			s.requeueTask(now, j, t, ev)
			return
		}
		if !j.ended() {
			s.failJob(now, j, api.Errorf(api.CodeTaskLost, "", "it is not known whether task %d ran: %s", ev.Task.Index, ev.Reason))
		}
	}
}

func (s *State) handleTaskCompleted(now time.Duration, j *job, t *task, ev AttemptEnded) {
	t.result = ev.Result
	s.addHeldBytes(j, int64(len(ev.Result)))
	j.openTasks--
	s.openTasks--
	s.teamOpenTasks[j.team]--
	if j.openTasks > 0 && !s.injected.completeOnFirstResult {
		return
	}
	if now >= j.deadline && !s.injected.ignoreDeadlines {
		s.failJob(now, j, api.Errorf(api.CodeDeadline, "deadline_ms", "the job did not end within its deadline"))
		return
	}
	s.counters.JobsComplete++
	s.endJob(j, j.completeReply(now))
}

// requeueTask puts a task that provably did not start back into the queue, to be offered to
// another endpoint. The job fails if the task has used up its attempts.
func (s *State) requeueTask(now time.Duration, j *job, t *task, ev AttemptEnded) {
	if t.attempts >= s.policy.MaxAttempts {
		s.failJob(now, j, api.Errorf(api.CodeNoEndpoint, "", "task %d was refused %d times, last: %s", ev.Task.Index, t.attempts, ev.Reason))
		return
	}
	t.avoidEndpoint = t.endpoint.ID
	t.retryNotBefore = now + s.policy.RetryDelay
	t.preferLocal = t.preferLocal || t.endpoint.Zone != s.options.Zone
	if len(j.waiting) == 0 {
		s.enqueue(j)
	}
	j.waiting = append(j.waiting, ev.Task.Index)
	s.limiter.AddWaitingWork(j.team, j.taskWork())
}
