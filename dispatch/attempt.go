package dispatch

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/place"
)

// placeWaiting starts waiting tasks, job by job in queue order, until no endpoint can
// take more. Jobs of a group without room do not hold up jobs of other groups. Jobs of
// teams that are over their share come last.
func (s *State) placeWaiting(now time.Duration) {
	if len(s.queue) == 0 {
		return
	}
	s.endpoints.BeginRound()
	s.retryAt = 0
	blocked := make(map[string]int) // jobs of a group that found no endpoint
	over := make(map[string]bool)
	for team := range s.teamOpen {
		over[team] = s.limiter.OverShare(now, team)
	}
	for _, last := range []bool{false, true} {
		for _, j := range s.queue {
			if !j.ended() && over[j.team] == last && blocked[j.kind.Group] < j.kind.mayBlock() && !s.placeJob(now, j) {
				blocked[j.kind.Group]++
			}
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool { return j.ended() || len(j.waiting) == 0 })
	s.schedulePoll(now)
}

// schedulePoll sets when the tasks that still wait are looked at again.
func (s *State) schedulePoll(now time.Duration) {
	s.pollAt = 0
	if len(s.queue) == 0 {
		return
	}
	s.pollAt = now + pollDelay
	if s.retryAt > 0 {
		s.pollAt = min(s.pollAt, s.retryAt)
	}
}

// retryLater reports whether a refused task still has to wait, and notes until when.
func (s *State) retryLater(now time.Duration, t *task) bool {
	if t.retryAt <= now {
		return false
	}
	if s.retryAt == 0 || t.retryAt < s.retryAt {
		s.retryAt = t.retryAt
	}
	return true
}

// placeJob starts the job's waiting tasks and reports whether the group may have room
// for more.
func (s *State) placeJob(now time.Duration, j *job) bool {
	held := j.waiting[:0]
	window := s.window(now, j)
	for i, index := range j.waiting {
		if j.inFlight >= window {
			j.waiting = append(held, j.waiting[i:]...)
			return true
		}
		t := &j.tasks[index]
		if s.retryLater(now, t) {
			held = append(held, index)
			continue
		}
		ep, choice := s.placement(j.kind).Pick(now, j.placeTask(index), t.avoid)
		if choice == place.Full {
			j.waiting = append(held, j.waiting[i:]...)
			return false
		}
		if choice == place.Hold || (t.attempt > 0 && !s.mayRetry(j)) {
			held = append(held, index)
			continue
		}
		if !s.start(now, j, index, ep) {
			return true
		}
		s.noteStart(now, j, t)
	}
	j.waiting = held
	return true
}

// window returns how many of the job's tasks may be in flight now.
func (s *State) window(now time.Duration, j *job) int {
	if j.started == 0 {
		return s.policy.window(len(j.tasks), 0)
	}
	return s.policy.window(len(j.tasks), now-j.firstAt)
}

// noteStart records a started task for later choices.
func (s *State) noteStart(now time.Duration, j *job, t *task) {
	if t.attempt == 1 {
		s.limiter.FirstAttempt()
	}
	s.limiter.Started(now, j.team, j.kind.Group, j.taskWork())
	s.limiter.Waiting(j.team, -j.taskWork())
	if cost := s.endpoints.LastCost(); cost > 0 && !j.kind.Workers {
		j.ends = max(j.ends, now+cost)
	}
}

// start hands a task to an endpoint. It is the only place that does so, and it checks
// the at-most-once invariants first.
func (s *State) start(now time.Duration, j *job, index int, ep place.Endpoint) bool {
	t := &j.tasks[index]
	switch {
	case t.state != taskWaiting:
		return s.violation(now, j, "a task that may have started was about to start again")
	case j.ended():
		return s.violation(now, j, "a task of an ended job was about to start")
	case now >= j.deadline:
		return s.violation(now, j, "a task was about to start after its deadline")
	case j.ticket.Incarnation != s.opts.Incarnation:
		return s.violation(now, j, "a task of another incarnation was about to start")
	}
	if j.started == 0 {
		j.firstAt = now
	}
	j.started++
	t.state = taskInFlight
	t.attempt++
	t.endpoint = ep
	j.inFlight++
	s.counters.Attempts++
	s.placement(j.kind).Started(ep.ID, j.placeTask(index))
	s.emit(StartAttempt{
		Task:      TaskRef{Ticket: j.id, Index: index},
		Attempt:   t.attempt,
		Kind:      j.kindName,
		Endpoint:  ep,
		Size:      j.placeTask(index).Size,
		Payload:   j.specs[index].Payload,
		Remaining: j.deadline - now,
		Deadline:  j.deadline,
	})
	return true
}

func (s *State) violation(now time.Duration, j *job, message string) bool {
	s.counters.Violations++
	s.emit(Violation{Ticket: j.id, Message: message})
	if !j.ended() {
		s.fail(now, j, api.Errorf(api.CodeInternal, "", "the job was stopped by an internal check: %s", message))
	}
	return false
}

func (s *State) attemptEnded(now time.Duration, ev AttemptEnded) {
	j, ok := s.jobs[ev.Task.Ticket]
	if !ok || ev.Task.Index < 0 || ev.Task.Index >= len(j.tasks) {
		s.counters.LateAnswers++
		return
	}
	t := &j.tasks[ev.Task.Index]
	if t.state != taskInFlight || (t.attempt != ev.Attempt && !s.off.anyAttempt) {
		s.counters.LateAnswers++
		return
	}
	j.inFlight--
	s.placement(j.kind).Ended(now, t.endpoint.ID, j.placeTask(ev.Task.Index), place.Sample{
		Kind:      j.kindName,
		Failed:    (ev.Outcome == AttemptFailed || ev.Outcome == AttemptUnknown) && !ev.Blameless,
		Refused:   ev.Outcome == AttemptNotStarted && !ev.Blameless,
		Blameless: ev.Blameless,
		Cancelled: j.ended(),
		Run:       j.declaredRun(ev.Task.Index),
		Service:   ev.Service,
		Load:      ev.Load,
	})
	s.settle(now, j, t, ev)
}

// settle records an attempt's outcome. The task's state stays truthful after the
// verdict too, but the verdict does not change.
func (s *State) settle(now time.Duration, j *job, t *task, ev AttemptEnded) {
	switch ev.Outcome {
	case AttemptCompleted:
		t.state = taskCompleted
		if j.ended() && !s.off.secondVerdict {
			s.counters.LateAnswers++
			return
		}
		s.taskCompleted(now, j, t, ev)
	case AttemptFailed:
		t.state = taskFailed
		if !j.ended() {
			s.fail(now, j, api.Errorf(api.CodeTaskFailed, "", "task %d failed: %s", ev.Task.Index, ev.Reason))
		}
	case AttemptNotStarted:
		s.counters.NotStarted++
		t.state = taskWaiting
		if !j.ended() {
			s.retry(now, j, t, ev)
		}
	default:
		s.counters.Unknown++
		t.state = taskUnknown
		if s.off.resendUnknown && !j.ended() {
			t.state = taskWaiting
			s.retry(now, j, t, ev)
			return
		}
		if !j.ended() {
			s.fail(now, j, api.Errorf(api.CodeTaskLost, "", "it is not known whether task %d ran: %s", ev.Task.Index, ev.Reason))
		}
	}
}

func (s *State) taskCompleted(now time.Duration, j *job, t *task, ev AttemptEnded) {
	t.result = ev.Result
	s.addBytes(j, int64(len(ev.Result)))
	j.open--
	s.open--
	s.teamOpen[j.team]--
	if j.open > 0 && !s.off.partialAnswer {
		return
	}
	if now >= j.deadline && !s.off.lateComplete {
		s.fail(now, j, api.Errorf(api.CodeDeadline, "deadline_ms", "the job did not end within its deadline"))
		return
	}
	s.counters.JobsComplete++
	s.end(j, j.completeReply(now))
}

// retry offers a task that provably did not start to another endpoint.
func (s *State) retry(now time.Duration, j *job, t *task, ev AttemptEnded) {
	if t.attempt >= s.policy.MaxAttempts {
		s.fail(now, j, api.Errorf(api.CodeNoEndpoint, "", "task %d was refused %d times, last: %s", ev.Task.Index, t.attempt, ev.Reason))
		return
	}
	t.avoid = t.endpoint.ID
	t.retryAt = now + s.policy.RetryDelay
	t.preferLocal = t.preferLocal || t.endpoint.Zone != s.opts.Zone
	if len(j.waiting) == 0 {
		s.enqueue(j)
	}
	j.waiting = append(j.waiting, ev.Task.Index)
	s.limiter.Waiting(j.team, j.taskWork())
}
