package dispatch

import (
	"encoding/json"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/fit"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// WaiterID identifies a caller's open request. The shell draws it.
type WaiterID uint64

// TaskRef identifies a task.
type TaskRef struct {
	Ticket ticket.ID `json:"ticket"`
	Index  int       `json:"index"`
}

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Submit hands in a job under a ticket that this incarnation minted.
type Submit struct {
	ID     ticket.ID
	Ticket ticket.Ticket
	Job    *api.Job
	Digest uint64 // hash of the job; tells a resubmission from a reused ticket
	Waiter WaiterID
	NoWait bool // reply at once with what is known
}

// Await asks for the answer of a job.
type Await struct {
	ID     ticket.ID
	Waiter WaiterID
	NoWait bool
}

// Cancel ends a job.
type Cancel struct {
	ID     ticket.ID
	Waiter WaiterID
}

// WaiterTimeout says that a caller's wait has ended and that it expects a reply now.
type WaiterTimeout struct {
	ID     ticket.ID
	Waiter WaiterID
}

// WaiterGone says that a caller's connection was lost.
type WaiterGone struct {
	ID     ticket.ID
	Waiter WaiterID
}

// AnswerFetched says that a job's final reply was sent to a caller.
type AnswerFetched struct {
	ID ticket.ID
	// Relayed means that a peer took the reply on behalf of its caller.
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
	Task    TaskRef
	Attempt int
	Outcome AttemptOutcome
	Result  json.RawMessage
	Reason  string
	Service time.Duration
	Load    int // load that the endpoint reported; -1 if none
	// Blameless says that a failure tells nothing about the endpoint, because the task
	// was ended from outside.
	Blameless bool
	// Endpoint is where the attempt was made.
	Endpoint place.Endpoint
	// Leaving says that the endpoint refused the task because it is shutting down.
	Leaving bool
}

// EndpointsChanged replaces the list of endpoints.
type EndpointsChanged struct {
	Endpoints  []place.Endpoint
	EntryHosts int // live entry hosts that share the endpoints; 0 if unknown
}

// UsageReported carries the usage of workers as the platform reports it.
type UsageReported struct{ Workers []fit.Usage }

// PolicyChanged replaces the policy that configuration sets.
type PolicyChanged struct{ Policy *Policy }

// DrainStarted makes the reducer refuse new jobs.
type DrainStarted struct{}

// DrainTimedOut fails the jobs that are still open.
type DrainTimedOut struct{}

// Tick lets due deadlines and retries take effect.
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

// Effect is an output of the reducer, run by the shell.
type Effect interface{ isEffect() }

// StartAttempt hands a task to an endpoint.
type StartAttempt struct {
	Task     TaskRef
	Attempt  int
	Kind     string
	Endpoint place.Endpoint
	Size     place.Size // declared
	Payload  json.RawMessage
	// Remaining is the time until the job's deadline.
	Remaining time.Duration
	// Deadline is the job's deadline since process start. The shell shortens Remaining
	// by it when it runs the effect after a pause.
	Deadline time.Duration
}

// CancelAttempts asks an endpoint to drop tasks whose job has ended.
type CancelAttempts struct {
	Endpoint place.Endpoint
	Tasks    []TaskRef
}

// TaskSpeed sets the speed of a task on a worker; 1 is normal.
type TaskSpeed struct {
	Task  TaskRef
	Speed float64
}

// RelieveWorkers takes load off workers that use more than they have.
type RelieveWorkers struct {
	Throttle []TaskSpeed
	Stop     []TaskRef // to be checkpointed and stopped
}

// ReplyTo answers a caller's request.
type ReplyTo struct {
	Waiter WaiterID
	Reply  *api.Reply
}

// Violation reports a broken invariant. The job has failed already.
type Violation struct {
	Ticket  ticket.ID
	Message string
}

func (StartAttempt) isEffect()   {}
func (CancelAttempts) isEffect() {}
func (RelieveWorkers) isEffect() {}
func (ReplyTo) isEffect()        {}
func (Violation) isEffect()      {}
