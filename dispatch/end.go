package dispatch

import (
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

func (s *State) cancel(now time.Duration, ev Cancel) {
	j, ok := s.jobs[ev.ID]
	if !ok {
		s.cancelUnsubmitted(now, ev)
		return
	}
	if !j.ended() {
		s.fail(now, j, api.Errorf(api.CodeCancelled, "", "the job was cancelled by its caller"))
	}
	s.reply(ev.Waiter, j.verdict)
}

// cancelUnsubmitted refuses a ticket whose cancellation arrives before its submission,
// so that a cancellation that overtakes the submission still holds.
func (s *State) cancelUnsubmitted(now time.Duration, ev Cancel) {
	t, err := ticket.Parse(ev.ID)
	minted, known := s.minted.mintedAt(t.Seq)
	if _, refused := s.refused.reason(ev.ID); err != nil || refused || !known || now >= minted+t.Window {
		s.await(now, Await{ID: ev.ID, Waiter: ev.Waiter, NoWait: true})
		return
	}
	s.refuse(now, minted, Submit{ID: ev.ID, Ticket: t, Waiter: ev.Waiter},
		api.Errorf(api.CodeCancelled, "", "the job was cancelled before it was submitted"))
}

// fail ends a job that cannot complete and drops its tasks at the endpoints.
func (s *State) fail(now time.Duration, j *job, reason *api.Error) {
	s.counters.JobsFailed++
	s.open -= j.open
	s.teamOpen[j.team] -= j.open
	verdict := j.failedReply(reason, now)
	if s.off.falseNotRun {
		for i := range verdict.Tasks {
			verdict.Tasks[i].State = api.TaskNotRun
		}
	}
	s.end(j, verdict)
	s.dropResults(j)
	s.cancelInFlight(j)
}

// dropResults frees the results of a failed job, which reach no caller.
func (s *State) dropResults(j *job) {
	for i := range j.tasks {
		s.addBytes(j, -int64(len(j.tasks[i].result)))
		j.tasks[i].result = nil
	}
}

func (s *State) end(j *job, verdict *api.Reply) {
	j.verdict = verdict
	s.limiter.Waiting(j.team, -j.waitingWork())
	j.waiting = nil
	if !s.off.silentEnd {
		for _, w := range j.waiters {
			s.reply(w, verdict)
		}
	}
	j.waiters = nil
	for i := range j.specs {
		s.addBytes(j, -int64(len(j.specs[i].Payload)))
	}
	j.specs = nil
	if s.off.evictAny {
		s.fetched = append(s.fetched, j)
	}
	if s.off.forgetJobs {
		delete(s.jobs, j.id)
	}
}

// cancelInFlight asks each endpoint, with one message, to drop the job's tasks.
func (s *State) cancelInFlight(j *job) {
	if j.inFlight == 0 {
		return
	}
	byEndpoint := make(map[place.EndpointID]int)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskInFlight {
			continue
		}
		s.counters.Cancelled++
		at, ok := byEndpoint[t.endpoint.ID]
		if !ok {
			at = len(s.effects)
			byEndpoint[t.endpoint.ID] = at
			s.emit(CancelAttempts{Endpoint: t.endpoint})
		}
		c := s.effects[at].(CancelAttempts)
		c.Tasks = append(c.Tasks, TaskRef{Ticket: j.id, Index: i})
		s.effects[at] = c
	}
}
