package worker

import (
	"fmt"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/logapi"
)

// stage is how far an attempt has come.
type stage uint8

const (
	stageQueued   stage = iota // not sent
	stageSent                  // the start's answer is awaited
	stageDoubtful              // the answer was lost; to be read back
	stageMissing               // the platform did not know it; to be stopped
	stageRunning               // the platform confirmed the start
)

// attempt is one attempt until it has ended. Runner.mu guards the fields below start.
type attempt struct {
	id       logapi.TaskID
	start    dispatch.StartAttempt
	deadline time.Time // of the job

	stage  stage
	stop   bool // the job has ended
	lease  *lease
	sentAt time.Time
	misses int       // reads that did not find the task
	due    time.Time // next read or stop
}

func newAttempt(start dispatch.StartAttempt, now time.Time) *attempt {
	return &attempt{
		id:       logapi.TaskID{Worker: string(start.Endpoint.ID), Task: identity(start.Task, start.Attempt)},
		start:    start,
		deadline: now.Add(start.Remaining),
	}
}

// identity names an attempt for good. The number of the attempt is part of it, because a
// stop blocks an identity for ever, and the next attempt must not be blocked.
func identity(t dispatch.TaskRef, number int) string {
	return fmt.Sprintf("%s/%d/%d", t.Ticket, t.Index, number)
}

func (a *attempt) taskStart() logapi.TaskStart {
	s := &a.start
	payload := s.Payload
	if len(payload) == 0 {
		payload = []byte("null")
	}
	return logapi.TaskStart{
		TaskID:       a.id,
		Label:        s.Kind,
		Cores:        s.Size.Cores,
		MemoryMB:     s.Size.MemoryMB,
		Accelerators: s.Size.Accelerators,
		Payload:      payload,
	}
}

// ended describes the end of the attempt.
func (a *attempt) ended(outcome dispatch.AttemptOutcome, reason string) dispatch.AttemptEnded {
	out := dispatch.AttemptEnded{
		Task:    a.start.Task,
		Attempt: a.start.Attempt,
		Outcome: outcome,
		Reason:  reason,
		Load:    -1,
	}
	if !a.sentAt.IsZero() {
		out.Service = time.Since(a.sentAt)
	}
	return out
}

// fromView returns the end that a task's view shows, or false while the task runs.
func (a *attempt) fromView(v *logapi.TaskView) (dispatch.AttemptEnded, bool) {
	if v.State == logapi.TaskRunning {
		return dispatch.AttemptEnded{}, false
	}
	if !v.Started {
		out := a.ended(dispatch.AttemptNotStarted, "the platform blocked its start")
		out.Blameless = true
		return out, true
	}
	outcome, reason := dispatch.AttemptFailed, ""
	switch v.State {
	case logapi.TaskDone:
		out := a.ended(dispatch.AttemptCompleted, "")
		if out.Result = v.Result; len(out.Result) == 0 {
			out.Result = []byte("null")
		}
		return out, true
	case logapi.TaskFailed:
		return a.ended(outcome, "it failed on "+v.Worker), true
	case logapi.TaskStopped:
		reason = "it was stopped on " + v.Worker
	case logapi.TaskCheckpointed:
		reason = "it was stopped on " + v.Worker + " for want of resources"
	case logapi.TaskLapsed:
		reason = "its lease lapsed and the platform stopped it"
	case logapi.TaskOutOfMemory:
		reason = "it was killed because the memory of " + v.Worker + " ran out"
	default:
		outcome, reason = dispatch.AttemptUnknown, fmt.Sprintf("the platform reports the state %q", v.State)
	}
	out := a.ended(outcome, reason)
	out.Blameless = true
	return out, true
}
