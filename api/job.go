// Package api defines the JSON messages of the callers' interface, their strict decoding, and the stable
// error codes. Package client and the entry hosts share it. Checks that need the configuration, such as
// those of teams and kinds, are left to the hosts.
package api

import (
	"encoding/json"
	"time"

	"sesameledge.dev/sesameledge/ticket"
)

// Schema is the newest schema version of the callers' messages that this build knows.
const Schema = 1

// Job is the submission of a job under a ticket or under a key of the caller.
type Job struct {
	Schema   int       `json:"schema"`
	Ticket   ticket.ID `json:"ticket,omitempty"`
	Key      string    `json:"key,omitempty"`       // caller's idempotency key, unique in its team
	KeyEpoch *uint64   `json:"key_epoch,omitempty"` // log offset that bounds the key's life
	Team     string    `json:"team"`
	Kind     string    `json:"kind"`
	// DeadlineMS is the time in milliseconds after acceptance by which the job must end.
	// 0 means the default of the kind.
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	Tasks      []Task `json:"tasks"`
	// WaitMS is how long, in milliseconds, the host holds the request while it waits for the answer.
	// If it is absent, the host waits until the deadline; with 0 it replies at once.
	WaitMS *int64 `json:"wait_ms,omitempty"`
}

// Task is one task of a job. The declared values are hints; back ends do not enforce them.
type Task struct {
	Payload      json.RawMessage `json:"payload,omitempty"`
	RunMS        int64           `json:"run_ms,omitempty"`       // declared run time, milliseconds
	Cores        float64         `json:"cores,omitempty"`        // declared size, processor cores
	MemoryMB     int64           `json:"memory_mb,omitempty"`    // declared size, mebibytes
	Accelerators int             `json:"accelerators,omitempty"` // declared size, whole accelerators
}

// Deadline returns DeadlineMS as a duration.
func (j *Job) Deadline() time.Duration { return time.Duration(j.DeadlineMS) * time.Millisecond }

// Outcome says how a job ended, or that this is not known yet.
type Outcome string

// The outcomes of a job. Complete and Failed are final. Refused is final and means that
// no task started. Unknown means that the caller should ask again.
const (
	Complete Outcome = "complete"
	Failed   Outcome = "failed"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// TaskState says what is known about a task of a job that did not complete.
type TaskState string

// The states of a task in a reply.
const (
	TaskCompleted  TaskState = "completed"
	TaskNotRun     TaskState = "not_run"
	TaskRan        TaskState = "ran"
	TaskMayHaveRun TaskState = "may_have_run"
)

// TaskReply is the result or the state of one task.
type TaskReply struct {
	Index  int             `json:"index"`
	State  TaskState       `json:"state"`
	Result json.RawMessage `json:"result,omitempty"`
}

// Reply is the answer to a submission, a wait or a cancellation.
type Reply struct {
	Schema  int         `json:"schema"`
	Ticket  ticket.ID   `json:"ticket,omitempty"`
	Outcome Outcome     `json:"outcome"`
	Reason  *Error      `json:"reason,omitempty"`
	Tasks   []TaskReply `json:"tasks,omitempty"`
	// ElapsedMS is the time in milliseconds from acceptance by the owner to the verdict.
	ElapsedMS float64 `json:"elapsed_ms,omitempty"`
	// NotForwarded means that this request provably did not reach the ticket's owner. If
	// the ticket was never sent otherwise, its job has not run and never will.
	NotForwarded bool `json:"not_forwarded,omitempty"`
}

// Final reports whether the outcome is Complete or Failed. A Refused reply of one host is final only under
// conditions that the caller must check, see package client.
func (r *Reply) Final() bool { return r.Outcome == Complete || r.Outcome == Failed }

// TicketRequest asks for a batch of Count tickets for jobs with deadlines up to MaxDeadlineMS milliseconds.
// 0 means the maximum of the host.
type TicketRequest struct {
	Schema        int   `json:"schema"`
	Count         int   `json:"count"`
	MaxDeadlineMS int64 `json:"max_deadline_ms,omitempty"`
}

// TicketReply carries a batch of tickets of one owner. WindowMS is the time in milliseconds within which a
// ticket must be submitted, MaxDeadlineMS the longest deadline of a job under it.
type TicketReply struct {
	Schema        int         `json:"schema"`
	Tickets       []ticket.ID `json:"tickets"`
	WindowMS      int64       `json:"window_ms"`
	MaxDeadlineMS int64       `json:"max_deadline_ms"`
}

// EpochReply carries the log offset that a caller sends together with an idempotency key.
type EpochReply struct {
	Schema int    `json:"schema"`
	Epoch  uint64 `json:"key_epoch"`
}
