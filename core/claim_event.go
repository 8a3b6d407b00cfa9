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

// KeySubmit submits a job with an idempotency key. This incarnation has minted the ticket for
// it, and the ticket has not been used.
type KeySubmit struct {
	ID     ticket.ID
	Ticket ticket.Ticket
	Job    *api.Job
	Digest uint64
	Waiter dispatch.WaiterID
	Wait   time.Duration
}

// KeyWaiterTimeout says that the wait time of a KeySubmit is over.
type KeyWaiterTimeout struct{ Waiter dispatch.WaiterID }

// KeyWaiterDisconnected says that the caller of a KeySubmit has disconnected.
type KeyWaiterDisconnected struct{ Waiter dispatch.WaiterID }

// ClaimsBounds says that the log holds the records of the claims stream from offset First up to
// but not including Next. Reading begins, or begins anew if the log has dropped records that
// were not read.
type ClaimsBounds struct{ First, Next uint64 }

// ClaimRecord is one record of the claims stream.
type ClaimRecord struct {
	Offset uint64
	Data   []byte
}

// ClaimsNotAppended says that an append of claims failed. Unless MayBeAppended is set, the
// claims are not in the log and never will be.
type ClaimsNotAppended struct {
	Tickets       []ticket.ID
	MayBeAppended bool
}

// KeysDraining says that this host is about to shut down. From then on the state machine claims
// no more keys. The daemon sends it before it refuses all jobs, so that pending claims are
// decided in time.
type KeysDraining struct{}

func (KeySubmit) isClaimEvent()             {}
func (KeyWaiterTimeout) isClaimEvent()      {}
func (KeyWaiterDisconnected) isClaimEvent() {}
func (ClaimsBounds) isClaimEvent()          {}
func (ClaimRecord) isClaimEvent()           {}
func (ClaimsNotAppended) isClaimEvent()     {}
func (KeysDraining) isClaimEvent()          {}

// AppendClaim asks the daemon to append a claim to the log. The daemon sends ClaimsNotAppended
// if that fails; after a success, the claim arrives as a ClaimRecord.
type AppendClaim struct{ Claim claim.Claim }
