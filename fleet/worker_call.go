package fleet

// Verdict is a worker's answer to a call.
type Verdict int

// The verdicts. All but Accepted and NoAnswer mean that the call has had no effect.
const (
	NoAnswer Verdict = iota // it may have been carried out, or may be later
	Accepted
	Fenced     // the worker has seen a higher fencing token
	Superseded // that run or a higher one has been stopped or has ended there
	Expired    // the lease in the call lies in the past
	NoRoom
	NoTicket         // the policy's ticket is missing
	Invalid          // the worker cannot read the call
	Unhealthy        // the worker refuses for now
	OtherIncarnation // another process answers at that address
)

var verdictNames = [...]string{"no answer", "accepted", "fenced", "superseded", "expired", "no room", "no ticket", "invalid", "unhealthy", "other incarnation"}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Run     RunKey
	Payload string
	Fence   int64
	Until   int64 // end of the lease on the worker's clock, in ms
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	Run   RunKey
	Fence int64
}

// HoldOrder extends a worker's lease and asks for its runs.
type HoldOrder struct {
	Fence int64
	Ack   int64 // ends up to this number are forgotten by the worker
	Until int64 // end of the lease on the worker's clock, in ms. 0: the lease is left as it is
	Wait  int   // ms; the worker answers at the next end, or after this time
}

// Reply is a worker's answer to a start or a stop.
type Reply struct {
	Verdict Verdict
	Clock   int64 // the worker's clock in ms. 0 if the answer held none
	Born    int64 // start of the worker's process in Unix ms. 0 if the answer held none
	Err     error // why there is no answer
}

// HoldReply is a worker's answer to a hold.
type HoldReply struct {
	Reply
	Running  []Running
	Finished []Finished
}

// Running is a run that is at work.
type Running struct {
	Run     RunKey
	Percent float64 // progress of the task
}

// How a run ended.
type How int

// The ends of a run.
const (
	EndUnknown How = iota
	EndDone
	EndFailed  // by its own or the worker's fault
	EndStopped // by order
	EndLapsed  // the lease ended
	EndBroken  // another member of the gang ended
	EndAlone   // the other members of the gang did not come
)

var howNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String implements fmt.Stringer.
func (h How) String() string { return howNames[h] }

// Finished is the end of a run.
type Finished struct {
	Number int64 // rises by one with each end in a worker's incarnation
	Run    RunKey
	How    How
}
