// Package backend runs one attempt of a task on a minion over HTTP/1.1 and classifies
// how it ended. The classification decides whether a task may be tried again, so it
// reports "not started" only on proof.
package backend

// Paths of a minion's HTTP interface.
const (
	// PathTask takes POST with the payload; the path values identify the task.
	PathTask = "/v1/tasks/{ticket}/{index}"
	// PathCancel takes POST with a CancelRequest.
	PathCancel = "/v1/cancel"
)

// Headers of the minion protocol. An answer echoes task and attempt, so that a crossed
// answer is recognised, and carries a digest, so that a truncated one is.
const (
	HeaderTask       = "Sesameledge-Task" // ticket/index
	HeaderAttempt    = "Sesameledge-Attempt"
	HeaderDeadlineMS = "Sesameledge-Deadline-Ms" // time left, milliseconds
	HeaderKind       = "Sesameledge-Kind"
	HeaderDigest     = "Sesameledge-Digest"  // xxhash64 of the result, 16 hexadecimal digits
	HeaderNotRun     = "Sesameledge-Not-Run" // set on status 503: the task did not start
	HeaderLoad       = "Sesameledge-Load"    // running plus queued tasks
	HeaderSlots      = "Sesameledge-Slots"
)

// Values of HeaderNotRun.
const (
	NotRunBusy      = "busy"
	NotRunLeaving   = "leaving"
	NotRunExpired   = "expired"
	NotRunCancelled = "cancelled"
)

// CancelRequest asks a minion to drop tasks. A task that has not started never does
// afterwards; a running one may be stopped.
type CancelRequest struct {
	Tasks []CancelTask `json:"tasks"`
}

// CancelTask identifies one task to drop.
type CancelTask struct {
	Ticket string `json:"ticket"`
	Index  int    `json:"index"`
}
