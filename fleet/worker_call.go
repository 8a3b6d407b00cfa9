package fleet

// Verdict is a worker's answer to a call.
type Verdict int

// The verdicts. All except Accepted and NoAnswer mean that the call had no effect.
const (
	NoAnswer Verdict = iota // the call may have been carried out, or may still be
	Accepted
	Fenced               // the worker has seen a higher fencing token
	Superseded           // the run, or one with a higher attempt number, was stopped or has ended on the worker
	Expired              // the lease in the call has already ended
	InsufficientCapacity // the worker has too little unused capacity for the task
	NoTicket             // the ticket of the external policy is missing
	Invalid              // the worker cannot decode the call
	Unhealthy            // the worker refuses calls for now
	OtherIncarnation     // a process other than the intended one answers at the address
)

var verdictNames = [...]string{"no answer", "accepted", "fenced", "superseded", "expired", "no room", "no ticket", "invalid", "unhealthy", "other incarnation"}

// String implements fmt.Stringer.
func (v Verdict) String() string { return NameOf(verdictNames[:], int(v)) }

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Run      RunKey
	Payload  string
	Fence    int64 // fencing token
	LeaseEnd int64 // end of the lease on the worker's clock, in ms
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	Run   RunKey
	Fence int64 // fencing token
}

// HoldOrder extends the lease of a worker and asks for its running and ended runs.
type HoldOrder struct {
	Fence       int64 // fencing token
	AckedNumber int64 // highest processed FinishedRun.Number; the worker forgets the ends up to it
	LeaseEnd    int64 // end of the lease on the worker's clock, in ms. 0: the lease is not changed
	WaitMillis  int   // in ms; the worker replies at the next end of a run, or after this time
}

// Reply is the answer of a worker to a StartOrder or StopOrder.
type Reply struct {
	Verdict      Verdict
	ClockMillis  int64 // the worker's clock in ms; 0 if the answer does not contain it
	ProcessStart int64 // start of the worker's process in Unix ms; 0 if the answer does not contain it
	Err          error // reason for NoAnswer
	// Refused says that the worker's address has refused the connection, so the call was not sent. Its verdict
	// is NoAnswer.
	Refused bool
	// Broken says that the connection ended while the call was under way. Its verdict is NoAnswer.
	Broken bool
}

// HoldReply is the answer of a worker to a HoldOrder.
type HoldReply struct {
	Reply
	Running  []ActiveRun
	Finished []FinishedRun // ended runs that no HoldOrder has acknowledged
	MoreEnds bool          // there may be more of them than the list has room for
}

// ActiveRun is a run that has not ended.
type ActiveRun struct {
	Run     RunKey
	Percent float64 // progress of the task
}

// RunEnd is the way in which a run ended.
type RunEnd int

// The ways in which a run ends.
const (
	EndUnknown RunEnd = iota // the worker reported a name that is not known here
	EndDone
	EndFailed          // because of an error of the task or of the worker
	EndStopped         // by a StopOrder
	EndLeaseExpired    // the lease of the worker ended
	EndGangMemberEnded // another member of the gang ended
	EndGangIncomplete  // the other members of the gang did not start
)

var runEndNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String implements fmt.Stringer.
func (h RunEnd) String() string { return NameOf(runEndNames[:], int(h)) }

// FinishedRun reports the end of a run.
type FinishedRun struct {
	Number int64 // increases by one with each end of a run in one incarnation of a worker
	Run    RunKey
	End    RunEnd
}
