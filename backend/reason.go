package backend

import "sesameledge.dev/sesameledge/dispatch"

// Reason says why an attempt had its outcome. The set of reasons is fixed, so that they can label metrics.
type Reason string

// Reasons for the outcome of an attempt.
const (
	ReasonOK             Reason = "ok"              // the result is complete and valid
	ReasonTaskFailed     Reason = "task_failed"     // status 500: the task ran and failed
	ReasonInvalidResult  Reason = "invalid_result"  // the result is complete, but not JSON
	ReasonBusy           Reason = "busy"            // refused: the minion is at capacity
	ReasonLeaving        Reason = "leaving"         // refused: the minion is shutting down
	ReasonExpired        Reason = "expired"         // refused: past the deadline
	ReasonCancelled      Reason = "cancelled"       // refused: the task was cancelled before it started
	ReasonRefused        Reason = "refused"         // refused: this version does not know the stated reason
	ReasonNoConnection   Reason = "no_connection"   // dial failed
	ReasonNoFreeConn     Reason = "no_free_conn"    // the time ended in the wait for a free connection
	ReasonNoContinue     Reason = "no_continue"     // an idle connection did not answer 100-continue
	ReasonConnBroken     Reason = "conn_broken"     // the connection closed, or the answer was not HTTP
	ReasonDeadline       Reason = "deadline"        // no answer before the deadline
	ReasonStopped        Reason = "stopped"         // the caller's context was cancelled
	ReasonCrossedAnswer  Reason = "crossed_answer"  // the answer names another task or attempt
	ReasonBadStatus      Reason = "bad_status"      // the status is not part of the protocol
	ReasonDigestMismatch Reason = "digest_mismatch" // the digest does not match the result
	ReasonTruncated      Reason = "truncated"       // the connection ended within the result
	ReasonTooLarge       Reason = "too_large"       // the result exceeds MaxResultBytes
)

var allReasons = []Reason{
	ReasonOK, ReasonTaskFailed, ReasonInvalidResult, ReasonBusy, ReasonLeaving,
	ReasonExpired, ReasonCancelled, ReasonRefused, ReasonNoConnection, ReasonNoFreeConn,
	ReasonNoContinue, ReasonConnBroken, ReasonDeadline, ReasonStopped,
	ReasonCrossedAnswer, ReasonBadStatus, ReasonDigestMismatch, ReasonTruncated,
	ReasonTooLarge,
}

var outcomeNames = map[dispatch.AttemptOutcome]string{
	dispatch.AttemptCompleted:  "completed",
	dispatch.AttemptFailed:     "failed",
	dispatch.AttemptNotStarted: "not_started",
	dispatch.AttemptUnknown:    "unknown",
}

// refusalReason returns the reason for a value of HeaderNotRun. An unknown value, which a newer minion may
// send, still means that the task did not run.
func refusalReason(value string) Reason {
	switch value {
	case NotRunBusy:
		return ReasonBusy
	case NotRunLeaving:
		return ReasonLeaving
	case NotRunExpired:
		return ReasonExpired
	case NotRunCancelled:
		return ReasonCancelled
	}
	return ReasonRefused
}
