package backend

import "sesameledge.dev/sesameledge/dispatch"

// Reason says why an attempt ended as it did. The set is fixed, so that reasons can
// label metrics.
type Reason string

// The reasons.
const (
	ReasonOK             Reason = "ok"              // the result is whole
	ReasonTaskFailed     Reason = "task_failed"     // status 500: the task ran and failed
	ReasonInvalidResult  Reason = "invalid_result"  // the whole result is not JSON
	ReasonBusy           Reason = "busy"            // refused: the minion is at capacity
	ReasonLeaving        Reason = "leaving"         // refused: the minion is shutting down
	ReasonExpired        Reason = "expired"         // refused: past the deadline
	ReasonCancelled      Reason = "cancelled"       // refused: cancelled before
	ReasonRefused        Reason = "refused"         // refused for a reason this version does not know
	ReasonNoConnection   Reason = "no_connection"   // dial failed
	ReasonNoFreeConn     Reason = "no_free_conn"    // no connection became free in time
	ReasonNoContinue     Reason = "no_continue"     // an idle connection did not answer 100-continue
	ReasonConnBroken     Reason = "conn_broken"     // the connection closed or broke the protocol
	ReasonDeadline       Reason = "deadline"        // no answer until the deadline
	ReasonStopped        Reason = "stopped"         // the caller's context ended
	ReasonCrossedAnswer  Reason = "crossed_answer"  // the answer names another task or attempt
	ReasonBadStatus      Reason = "bad_status"      // the status is not part of the protocol
	ReasonDigestMismatch Reason = "digest_mismatch" // the digest does not match the result
	ReasonTruncated      Reason = "truncated"       // the result broke off
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

// refusalReason maps a value of HeaderNotRun. A value from a newer minion still proves
// that the task did not run.
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
