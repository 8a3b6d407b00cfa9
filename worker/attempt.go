package worker

import (
	"fmt"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/logapi"
)

// stage is the progress of an attempt.
type stage uint8

const (
	stageQueued      stage = iota // the start is not sent yet
	stageSent                     // the start is sent and not answered yet
	stageUnconfirmed              // the start's answer was lost, or its lease lapsed; to be read back
	stageNotFound                 // the platform did not know the task when it was read; to be stopped
	stageRunning                  // the platform has confirmed that the task runs
)

// attempt is an attempt that has not ended. Runner.mu guards the fields from stage on; the others
// don't change.
type attempt struct {
	id       logapi.TaskID
	start    dispatch.StartAttempt
	deadline time.Time // of the job

	stage         stage
	stopRequested bool // the job has ended, so the task is to be stopped
	lease         *lease
	sentAt        time.Time
	notFoundReads int       // number of reads that did not find the task
	nextRequestAt time.Time // when the task may next be read or stopped
}

func newAttempt(start dispatch.StartAttempt, now time.Time) *attempt {
	return &attempt{
		id:       logapi.TaskID{Worker: string(start.Endpoint.ID), Task: formatIdentity(start.Task, start.Attempt)},
		start:    start,
		deadline: now.Add(start.Remaining),
	}
}

// formatIdentity returns the identity under which the platform knows an attempt. It contains the
// number of the attempt, because a stop blocks an identity for ever and must not block the next
// attempt.
func formatIdentity(t dispatch.TaskRef, attempt int) string {
	return fmt.Sprintf("%s/%d/%d", t.Ticket, t.Index, attempt)
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

// endedEvent returns the event that reports the end of the attempt.
func (a *attempt) endedEvent(outcome dispatch.AttemptOutcome, reason string) dispatch.AttemptEnded {
	out := dispatch.AttemptEnded{
		Task:         a.start.Task,
		Attempt:      a.start.Attempt,
		Outcome:      outcome,
		Reason:       reason,
		ReportedLoad: -1,
	}
	if !a.sentAt.IsZero() {
		out.ServiceTime = time.Since(a.sentAt)
	}
	return out
}

// endedEventFromView returns the event for the end that the platform reports in v, or false while
// the task runs.
func (a *attempt) endedEventFromView(v *logapi.TaskView) (dispatch.AttemptEnded, bool) {
	if v.State == logapi.TaskRunning {
		return dispatch.AttemptEnded{}, false
	}
	if !v.Started {
		out := a.endedEvent(dispatch.AttemptNotStarted, "the platform blocked its start")
		out.Blameless = true
		return out, true
	}
	outcome, reason := dispatch.AttemptFailed, ""
	switch v.State {
	case logapi.TaskDone:
		out := a.endedEvent(dispatch.AttemptCompleted, "")
		if out.Result = v.Result; len(out.Result) == 0 {
			out.Result = []byte("null")
		}
		return out, true
	case logapi.TaskFailed:
		return a.endedEvent(outcome, "it failed on "+v.Worker), true
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
	out := a.endedEvent(outcome, reason)
	out.Blameless = true
	return out, true
}
