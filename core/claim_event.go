package core

import (
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/claim"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/ticket"
)

// claimEvent is an event about idempotency keys.
type claimEvent interface{ isClaimEvent() }

// KeySubmit hands in a job with an idempotency key. The ticket was minted for it by this
// incarnation and has not been used.
type KeySubmit struct {
	ID     ticket.ID
	Ticket ticket.Ticket
	Job    *api.Job
	Digest uint64
	Waiter dispatch.WaiterID
	Wait   time.Duration
}

// KeyWaiterTimeout says that the wait of a KeySubmit has ended.
type KeyWaiterTimeout struct{ Waiter dispatch.WaiterID }

// KeyWaiterGone says that the caller of a KeySubmit went away.
type KeyWaiterGone struct{ Waiter dispatch.WaiterID }

// ClaimsBounds says that the log keeps the offsets from First to before Next of the claims
// stream. Reading begins, or begins again if records were dropped before they were read.
type ClaimsBounds struct{ First, Next uint64 }

// ClaimRecord is one record of the claims stream.
type ClaimRecord struct {
	Offset uint64
	Data   []byte
}

// ClaimsNotAppended says that an append of claims failed. Unless MayBeAppended is set,
// they are not in the log and never will be.
type ClaimsNotAppended struct {
	Tickets       []ticket.ID
	MayBeAppended bool
}

// KeysDraining makes the reducer take no more jobs with keys, ahead of the refusal of
// all jobs, so that the claims under way are decided in time.
type KeysDraining struct{}

func (KeySubmit) isClaimEvent()         {}
func (KeyWaiterTimeout) isClaimEvent()  {}
func (KeyWaiterGone) isClaimEvent()     {}
func (ClaimsBounds) isClaimEvent()      {}
func (ClaimRecord) isClaimEvent()       {}
func (ClaimsNotAppended) isClaimEvent() {}
func (KeysDraining) isClaimEvent()      {}

// AppendClaim asks the shell to append a claim. The shell sends ClaimsNotAppended if that
// fails; success shows when the claim is read back.
type AppendClaim struct{ Claim claim.Claim }
