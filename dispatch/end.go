package dispatch

import (
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

func (s *State) handleCancel(now time.Duration, ev Cancel) {
	j, ok := s.jobs[ev.ID]
	if !ok {
		s.cancelUnsubmitted(now, ev)
		return
	}
	if !j.ended() {
		s.failJob(now, j, api.Errorf(api.CodeCancelled, "", "the job was cancelled by its caller"))
	}
	s.reply(ev.Waiter, j.finalReply)
}

// cancelUnsubmitted handles a cancellation that arrives before the submission. It refuses the
// ticket, so that the job does not run when the submission arrives later.
func (s *State) cancelUnsubmitted(now time.Duration, ev Cancel) {
	t, err := ticket.Parse(ev.ID)
	minted, known := s.mintTimes.mintedAt(t.Seq)
	if _, refused := s.refusedTickets.reason(ev.ID); err != nil || refused || !known || now >= minted+t.Window {
		s.handleAwait(now, Await{ID: ev.ID, Waiter: ev.Waiter, NoWait: true})
		return
	}
	s.refuseJob(now, minted, Submit{ID: ev.ID, Ticket: t, Waiter: ev.Waiter},
		api.Errorf(api.CodeCancelled, "", "the job was cancelled before it was submitted"))
}

// failJob ends a job that cannot complete and cancels its tasks that are in flight.
func (s *State) failJob(now time.Duration, j *job, reason *api.Error) {
	s.counters.JobsFailed++
	s.openTasks -= j.openTasks
	s.teamOpenTasks[j.team] -= j.openTasks
	finalReply := j.failedReply(reason, now)
	if s.injected.reportAllNotRun {
		for i := range finalReply.Tasks {
			finalReply.Tasks[i].State = api.TaskNotRun
		}
	}
	s.endJob(j, finalReply)
	s.dropResults(j)
	s.cancelInFlight(j)
}

// dropResults frees the results of a failed job. They are not sent to any caller.
func (s *State) dropResults(j *job) {
	for i := range j.tasks {
		s.addHeldBytes(j, -int64(len(j.tasks[i].result)))
		j.tasks[i].result = nil
	}
}

// endJob sets the final reply of a job and sends it to all waiting requests.
func (s *State) endJob(j *job, finalReply *api.Reply) {
	j.finalReply = finalReply
	s.limiter.AddWaitingWork(j.team, -j.waitingWork())
	j.waiting = nil
	if !s.injected.omitFinalReplies {
		for _, w := range j.waiters {
			s.reply(w, finalReply)
		}
	}
	j.waiters = nil
	for i := range j.taskSpecs {
		s.addHeldBytes(j, -int64(len(j.taskSpecs[i].Payload)))
	}
	j.taskSpecs = nil
	if s.injected.evictUnfetchedAnswers {
		s.fetchedJobs = append(s.fetchedJobs, j)
	}
	if s.injected.forgetEndedJobs {
		delete(s.jobs, j.id)
	}
}

// cancelInFlight emits one CancelAttempts for each endpoint that has tasks of the job in flight.
func (s *State) cancelInFlight(j *job) {
	if j.inFlight == 0 {
		return
	}
	effectIndexes := make(map[place.EndpointID]int)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskInFlight {
			continue
		}
		s.counters.Cancelled++
		effectIndex, ok := effectIndexes[t.endpoint.ID]
		if !ok {
			effectIndex = len(s.effects)
			effectIndexes[t.endpoint.ID] = effectIndex
			s.emit(CancelAttempts{Endpoint: t.endpoint})
		}
		effect := s.effects[effectIndex].(CancelAttempts)
		effect.Tasks = append(effect.Tasks, TaskRef{Ticket: j.id, Index: i})
		s.effects[effectIndex] = effect
	}
}
