package forward

import (
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/ticket"
)

// Operation is what a caller asks about a ticket.
type Operation int

// The operations.
const (
	Submit Operation = iota + 1
	Await
	Cancel
)

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Request is a caller's request about a ticket of another incarnation.
type Request struct {
	ID        ticket.ID
	Ticket    ticket.Ticket
	Operation Operation
	Job       []byte // JSON job for Submit
	Digest    uint64 // of the job, for Submit
	Wait      time.Duration
	Waiter    dispatch.WaiterID
}

// OwnerReplied carries the owner's reply.
type OwnerReplied struct {
	Waiter dispatch.WaiterID
	Reply  *api.Reply
}

// OwnerFailed says that the owner could not be reached.
type OwnerFailed struct {
	Waiter dispatch.WaiterID
	Reason string
	// NotSent means that the request provably did not reach the owner.
	NotSent bool
}

// OwnerReplaced says that another incarnation answers at the owner's address.
type OwnerReplaced struct {
	Waiter dispatch.WaiterID
	Host   string
	Now    ticket.Incarnation
}

// AnswerSearched ends the search for an answer at peers. Reply is nil if none has it.
type AnswerSearched struct {
	Waiter dispatch.WaiterID
	Reply  *api.Reply
}

// WaiterGone says that the caller's connection was lost.
type WaiterGone struct{ Waiter dispatch.WaiterID }

// Tick lets due retries take effect.
type Tick struct{}

func (Request) isEvent()        {}
func (OwnerReplied) isEvent()   {}
func (OwnerFailed) isEvent()    {}
func (OwnerReplaced) isEvent()  {}
func (AnswerSearched) isEvent() {}
func (WaiterGone) isEvent()     {}
func (Tick) isEvent()           {}

// Effect is an output of the reducer.
type Effect interface{ isEffect() }

// SendToOwner asks the shell to forward a request. The shell answers with OwnerReplied,
// OwnerFailed or OwnerReplaced.
type SendToOwner struct {
	Request Request
	Wait    time.Duration // wait left
}

// FindAnswer asks the shell to look for the answer of a drained owner at the peers to which
// it may have been handed over. The shell answers with AnswerSearched within Limit.
type FindAnswer struct {
	Request Request
	Limit   time.Duration
}

// ReplyTo answers a caller's request.
type ReplyTo struct {
	Waiter dispatch.WaiterID
	Reply  *api.Reply
}

func (SendToOwner) isEffect() {}
func (FindAnswer) isEffect()  {}
func (ReplyTo) isEffect()     {}
