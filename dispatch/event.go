package dispatch

import (
	"encoding/json"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/fit"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// WaiterID identifies a caller's open request. The daemon assigns it; 0 means that nobody waits.
type WaiterID uint64

// TaskRef identifies a task by its job's ticket and its index in the job.
type TaskRef struct {
	Ticket ticket.ID `json:"ticket"`
	Index  int       `json:"index"`
}

// Event is an input of State.Apply.
type Event interface{ isEvent() }

// Submit submits a job under a ticket that this incarnation minted.
type Submit struct {
	ID     ticket.ID
	Ticket ticket.Ticket
	Job    *api.Job
	Digest uint64 // hash of the job; distinguishes a resubmission from a reused ticket
	Waiter WaiterID
	NoWait bool // reply at once, if need be that the job is running
}

// Await requests the final reply of a job.
type Await struct {
	ID     ticket.ID
	Waiter WaiterID
	NoWait bool
}

// Cancel requests that a job be cancelled.
type Cancel struct {
	ID     ticket.ID
	Waiter WaiterID
}

// WaiterTimeout means that a request has waited as long as its caller asked for and has to be
// answered now.
type WaiterTimeout struct {
	ID     ticket.ID
	Waiter WaiterID
}

// WaiterGone means that a caller's connection was lost.
type WaiterGone struct {
	ID     ticket.ID
	Waiter WaiterID
}

// AnswerFetched means that a job's final reply was sent to a caller or to a peer.
type AnswerFetched struct {
	ID ticket.ID
	// Relayed means that a peer fetched the reply on behalf of its caller.
	Relayed bool
}

// AttemptOutcome classifies how an attempt on an endpoint ended.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	// AttemptCompleted means that the task ran and returned a result.
	AttemptCompleted AttemptOutcome = iota + 1
	// AttemptFailed means that the task ran and failed.
	AttemptFailed
	// AttemptNotStarted means that the task provably did not start.
	AttemptNotStarted
	// AttemptUnknown means that the task may have started.
	AttemptUnknown
)

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	Task         TaskRef
	Attempt      int
	Outcome      AttemptOutcome
	Result       json.RawMessage
	Reason       string
	ServiceTime  time.Duration // time from the start of the attempt to its answer
	ReportedLoad int           // load that the endpoint reported, in tasks; -1 if none
	// Blameless means that a failure says nothing about the endpoint's health, because the
	// task was ended from outside.
	Blameless bool
	// Endpoint is where the attempt was made.
	Endpoint place.Endpoint
	// Leaving means that the endpoint refused the task because it is shutting down.
	Leaving bool
}

// EndpointsChanged replaces the list of endpoints.
type EndpointsChanged struct {
	Endpoints  []place.Endpoint
	EntryHosts int // live entry hosts that share the endpoints; 0 if unknown
}

// UsageReported carries the resource usage of workers that the platform reported.
type UsageReported struct{ Workers []fit.WorkerUsage }

// PolicyChanged replaces the policy after a change of configuration.
type PolicyChanged struct{ Policy *Policy }

// DrainStarted means that the host is shutting down: new jobs are refused from now on.
type DrainStarted struct{}

// DrainTimedOut means that the time for draining is over: the jobs that are still open fail.
type DrainTimedOut struct{}

// Tick has no content of its own. Applying it handles the deadlines and retries that are due.
type Tick struct{}

func (Submit) isEvent()           {}
func (Await) isEvent()            {}
func (Cancel) isEvent()           {}
func (WaiterTimeout) isEvent()    {}
func (WaiterGone) isEvent()       {}
func (AnswerFetched) isEvent()    {}
func (AttemptEnded) isEvent()     {}
func (EndpointsChanged) isEvent() {}
func (UsageReported) isEvent()    {}
func (PolicyChanged) isEvent()    {}
func (DrainStarted) isEvent()     {}
func (DrainTimedOut) isEvent()    {}
func (Tick) isEvent()             {}

// Effect is an output of State.Apply, which the daemon carries out.
type Effect interface{ isEffect() }

// StartAttempt sends a task to an endpoint. The daemon answers with AttemptEnded.
type StartAttempt struct {
	Task     TaskRef
	Attempt  int
	Kind     string
	Endpoint place.Endpoint
	Size     place.Size // declared size of the task
	Payload  json.RawMessage
	// Remaining is the time until the job's deadline.
	Remaining time.Duration
	// Deadline is the job's deadline as a time since process start. If the process was paused
	// before it carries out the effect, the daemon shortens Remaining accordingly.
	Deadline time.Duration
}

// CancelAttempts asks an endpoint to cancel tasks whose job has ended.
type CancelAttempts struct {
	Endpoint place.Endpoint
	Tasks    []TaskRef
}

// TaskSpeed sets the speed of a task on a worker, relative to its normal speed: 1 is unthrottled.
type TaskSpeed struct {
	Task  TaskRef
	Speed float64
}

// ReduceWorkerLoad reduces the load of workers whose tasks use more resources than the worker has.
type ReduceWorkerLoad struct {
	Throttle []TaskSpeed
	Stop     []TaskRef // tasks to checkpoint and stop
}

// ReplyTo answers a caller's request.
type ReplyTo struct {
	Waiter WaiterID
	Reply  *api.Reply
}

// Violation reports a broken invariant to operators. The state machine fails the job, if it is
// open, in the same call of Apply.
type Violation struct {
	Ticket  ticket.ID
	Message string
}

func (StartAttempt) isEffect()     {}
func (CancelAttempts) isEffect()   {}
func (ReduceWorkerLoad) isEffect() {}
func (ReplyTo) isEffect()          {}
func (Violation) isEffect()        {}
