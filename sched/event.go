package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// JobKey identifies a job by the process that took it from its caller and by the job's number in
// that process.
type JobKey struct {
	Host uint64 // random identity of the process
	Seq  uint64
}

// Job is a job that an entry host submits.
type Job struct {
	Key   JobKey
	Cell  fleet.Cell // the cell whose workers run the job
	Spec  fleet.JobSpec
	Route fleet.Route
	Age   time.Duration // since the caller's request arrived
	Left  time.Duration // until the caller stops waiting
	// CallersSeen is when the process in Key last saw that the callers of its jobs waited, as far as is known.
	CallersSeen time.Duration
}

// Outcome is how a job ended for its caller.
type Outcome int

// The outcomes of a job.
const (
	Completed Outcome = iota + 1
	Failed            // a task failed in as many attempts as its route allows
	Refused           // no task of the job has run or will run
	Aborted           // given up; tasks of the job may have run
	Cancelled         // cancelled by a caller; tasks of the job may have run
)

var outcomeNames = [...]string{"none", "completed", "failed", "refused", "aborted", "cancelled"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return fleet.NameOf(outcomeNames[:], int(o)) }

// Event is an input of the state machine.
type Event interface{ event() }

// Submit submits a job. Exactly one JobFinished answers it, also after a Cancel. A Submit with the key
// of a job in progress is ignored.
type Submit struct{ Job Job }

// Cancel aborts a job because nobody waits for it any more.
type Cancel struct{ Key JobKey }

// UpdateWorkers replaces the list of known workers.
type UpdateWorkers struct{ Workers []fleet.Worker }

// TakeWorker makes this host the commander of a worker under a fencing token, as a worker of a cell.
type TakeWorker struct {
	Worker string
	Cell   fleet.Cell
	Fence  int64
}

// ReleaseWorker marks a worker to be given up as soon as it has no runs of this host. While its cell is
// closed (see State.CloseCell), it also stays as long as tasks of the cell wait. Tasks may start there
// until it is given up.
type ReleaseWorker struct{ Worker string }

// StartReply is the answer to a StartRun. Without an answer in time its verdict is NoAnswer; a second
// StartReply may then bring the answer, up to MaxReplyAge after the StartRun was sent.
type StartReply struct {
	Worker string
	Run    fleet.RunKey
	Sent   time.Duration // when the StartRun was decided
	Fence  int64         // of the StartRun
	Reply  fleet.Reply
}

// StopReply is the answer to a StopRun. It may come in two parts as a StartReply does.
type StopReply struct {
	Worker string
	Run    fleet.RunKey
	Sent   time.Duration // when the StopRun was decided
	Fence  int64         // of the StopRun
	Reply  fleet.Reply
}

// HoldReply is the answer to a HoldWorker. It may come in two parts as a StartReply does. The lists in
// the second one are ignored, because a newer hold may have been answered since.
type HoldReply struct {
	Worker string
	Seq    uint64        // of the HoldWorker
	Sent   time.Duration // when the HoldWorker was decided
	Fence  int64         // of the HoldWorker
	Wait   time.Duration // that the HoldWorker asked for
	Reply  fleet.HoldReply
}

// Tick triggers all that depends on time alone: ends of leases, repeated stops, due holds and the
// deadlines of jobs.
type Tick struct{}

func (Submit) event()        {}
func (Cancel) event()        {}
func (UpdateWorkers) event() {}
func (TakeWorker) event()    {}
func (ReleaseWorker) event() {}
func (StartReply) event()    {}
func (StopReply) event()     {}
func (HoldReply) event()     {}
func (Tick) event()          {}

// Effect is an output of the state machine that the caller has to carry out.
type Effect interface{ effect() }

// CallLimits say how long a call may take from the time of the decision to make it. A process that was
// paused after the decision makes no call past its limit.
type CallLimits struct {
	Decided time.Duration // when the state machine decided to make the call
	Timeout time.Duration // time after which the call is reported as unanswered
	Limit   time.Duration // time after which it must not be made, carried out or answered any more
}

// StartRun asks a worker to start a run. StartReply answers it.
type StartRun struct {
	Worker fleet.Worker
	Order  fleet.StartOrder
	CallLimits
}

// StopRun asks a worker to stop a run. StopReply answers it.
type StopRun struct {
	Worker fleet.Worker
	Order  fleet.StopOrder
	CallLimits
}

// HoldWorker extends a worker's lease, if its order says so, and asks for the worker's runs. HoldReply
// answers it.
type HoldWorker struct {
	Worker fleet.Worker
	Seq    uint64
	Order  fleet.HoldOrder
	CallLimits
}

// JobFinished reports the outcome of a job.
type JobFinished struct {
	Key     JobKey
	Outcome Outcome
	Reason  string
}

// WorkerLost reports that another host has taken a worker.
type WorkerLost struct{ Worker string }

// WorkerReleased reports that no run of this host is left on a released worker.
type WorkerReleased struct{ Worker string }

// EntriesWanted reports that a worker has another process than its entry describes, and gets no tasks
// until the entry of that process is passed on with UpdateWorkers.
type EntriesWanted struct{}

// LogEntry is an entry for the log.
type LogEntry struct {
	Message   string
	RequestID string // identity of the caller's request; empty if none is concerned
	Fields    []any  // keys and values in turn
}

func (StartRun) effect()       {}
func (StopRun) effect()        {}
func (HoldWorker) effect()     {}
func (JobFinished) effect()    {}
func (WorkerLost) effect()     {}
func (WorkerReleased) effect() {}
func (EntriesWanted) effect()  {}
func (LogEntry) effect()       {}
