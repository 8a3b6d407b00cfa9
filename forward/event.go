package forward

import (
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/ticket"
)

// Operation is what a caller requests for a ticket.
type Operation int

// The operations.
const (
	Submit Operation = iota + 1
	Await
	Cancel
)

// Event is an input of State.Apply.
type Event interface{ isEvent() }

// Request is a caller's request about a ticket of another incarnation. The owner of a ticket is the
// incarnation that minted it.
type Request struct {
	ID        ticket.ID
	Ticket    ticket.Ticket
	Operation Operation
	Job       []byte        // the job as JSON, for Submit
	Digest    uint64        // hash of the job, for Submit
	Wait      time.Duration // how long the caller waits for a final reply
	Waiter    dispatch.WaiterID
}

// OwnerReplied carries the owner's reply.
type OwnerReplied struct {
	Waiter dispatch.WaiterID
	Reply  *api.Reply
}

// OwnerFailed means that the owner could not be reached or did not answer.
type OwnerFailed struct {
	Waiter dispatch.WaiterID
	Reason string
	// NotSent means that the request provably did not reach the owner.
	NotSent bool
}

// OwnerReplaced means that another incarnation, CurrentIncarnation, answers at the owner's address.
type OwnerReplaced struct {
	Waiter             dispatch.WaiterID
	Host               string
	CurrentIncarnation ticket.Incarnation
}

// AnswerSearched is the result of the search for an answer at the peers. Reply is nil if none of
// them has it.
type AnswerSearched struct {
	Waiter dispatch.WaiterID
	Reply  *api.Reply
}

// WaiterGone means that the caller's connection was lost.
type WaiterGone struct{ Waiter dispatch.WaiterID }

// Tick has no content of its own. Applying it handles the retries that are due.
type Tick struct{}

func (Request) isEvent()        {}
func (OwnerReplied) isEvent()   {}
func (OwnerFailed) isEvent()    {}
func (OwnerReplaced) isEvent()  {}
func (AnswerSearched) isEvent() {}
func (WaiterGone) isEvent()     {}
func (Tick) isEvent()           {}

// Effect is an output of State.Apply, which the daemon carries out.
type Effect interface{ isEffect() }

// SendToOwner forwards a request to the owner of its ticket. The daemon answers with OwnerReplied,
// OwnerFailed or OwnerReplaced.
type SendToOwner struct {
	Request Request
	Wait    time.Duration // rest of the caller's wait
}

// FindAnswer searches for the answer of a drained owner at the peers to which the owner may have
// handed it over. The daemon answers with AnswerSearched within Limit.
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
