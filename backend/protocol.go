// Package backend sends tasks and cancel requests to minions over HTTP/1.1. Client.Run makes one attempt
// of a task and classifies how it ended. It leaves retries to package dispatch, which may try a task again
// only if it has not started. Run therefore reports "not started" only if the task cannot have started.
package backend

// Paths of a minion's HTTP interface.
const (
	// PathTask takes POST with the payload; the path values identify the task.
	PathTask = "/v1/tasks/{ticket}/{index}"
	// PathCancel takes POST with a CancelRequest.
	PathCancel = "/v1/cancel"
)

// Headers of the minion protocol. An answer repeats the task and attempt of its request, which exposes an
// answer to another request, and carries a digest of the result, which exposes a truncated result.
const (
	HeaderTask       = "Sesameledge-Task" // ticket/index
	HeaderAttempt    = "Sesameledge-Attempt"
	HeaderDeadlineMS = "Sesameledge-Deadline-Ms" // time left until the deadline, in milliseconds
	HeaderKind       = "Sesameledge-Kind"
	HeaderDigest     = "Sesameledge-Digest"  // xxhash64 of the result, 16 hexadecimal digits
	HeaderNotRun     = "Sesameledge-Not-Run" // set with status 503: the task did not run, for this reason
	HeaderLoad       = "Sesameledge-Load"    // number of running and queued tasks
	HeaderSlots      = "Sesameledge-Slots"
)

// Values of HeaderNotRun.
const (
	NotRunBusy      = "busy"
	NotRunLeaving   = "leaving"
	NotRunExpired   = "expired"
	NotRunCancelled = "cancelled"
)

// CancelRequest asks a minion to cancel tasks. A task that has not started never starts afterwards; a
// running task may be stopped.
type CancelRequest struct {
	Tasks []CancelTask `json:"tasks"`
}

// CancelTask identifies one task to cancel.
type CancelTask struct {
	Ticket string `json:"ticket"`
	Index  int    `json:"index"`
}
