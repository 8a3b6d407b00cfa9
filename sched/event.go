package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// JobKey identifies a job: the process that took it from its caller, and its number there.
type JobKey struct {
	Host uint64
	Seq  uint64
}

// Job is a job as an entry host hands it over.
type Job struct {
	Key   JobKey
	Cell  fleet.Cell // whose workers run it
	Spec  fleet.JobSpec
	Route fleet.Route
	Age   time.Duration // since the caller's request arrived
	Left  time.Duration // until the caller stops waiting
}

// Outcome is how a job ended for its caller.
type Outcome int

// The outcomes.
const (
	Completed Outcome = iota + 1
	Failed            // a task has failed too often
	Refused           // no task of it has run or will run
	Aborted           // given up; tasks of it may have run
)

var outcomeNames = [...]string{"none", "completed", "failed", "refused", "aborted"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// Event is an input of the state machine.
type Event interface{ event() }

// Submit hands a job over. It is answered by exactly one Finish unless Cancel comes first.
type Submit struct{ Job Job }

// Cancel gives a job up because nobody waits for it any more.
type Cancel struct{ Key JobKey }

// Directory replaces the list of known workers.
type Directory struct{ Workers []fleet.Worker }

// Take makes this host the commander of a worker of a cell under a fencing token.
type Take struct {
	Worker string
	Cell   fleet.Cell
	Fence  int64
}

// Release stops new tasks on a worker and gives it up when its last run is over.
type Release struct{ Worker string }

// Started is the answer to a StartRun.
type Started struct {
	Worker string
	Run    fleet.RunKey
	Reply  fleet.Reply
}

// Stopped is the answer to a StopRun.
type Stopped struct {
	Worker string
	Run    fleet.RunKey
	Reply  fleet.Reply
}

// Held is the answer to a HoldWorker.
type Held struct {
	Worker string
	Seq    uint64
	Sent   time.Duration
	Reply  fleet.HoldReply
}

// Tick lets time pass.
type Tick struct{}

func (Submit) event()    {}
func (Cancel) event()    {}
func (Directory) event() {}
func (Take) event()      {}
func (Release) event()   {}
func (Started) event()   {}
func (Stopped) event()   {}
func (Held) event()      {}
func (Tick) event()      {}

// Effect is something for the shell to do.
type Effect interface{ effect() }

// StartRun starts a run on a worker.
type StartRun struct {
	Worker fleet.Worker
	Order  fleet.StartOrder
}

// StopRun stops a run on a worker.
type StopRun struct {
	Worker fleet.Worker
	Order  fleet.StopOrder
}

// HoldWorker extends a worker's lease and asks for its runs.
type HoldWorker struct {
	Worker fleet.Worker
	Seq    uint64
	Order  fleet.HoldOrder
}

// Finish tells a job's outcome.
type Finish struct {
	Key     JobKey
	Outcome Outcome
	Reason  string
}

// Fenced reports that another host has taken a worker.
type Fenced struct{ Worker string }

// Released reports that a released worker runs nothing of this host any more.
type Released struct{ Worker string }

// Note is a decision for the log.
type Note struct {
	Message string
	Request string // identity of the caller's request, if one is touched
	Fields  []any  // keys and values
}

func (StartRun) effect()   {}
func (StopRun) effect()    {}
func (HoldWorker) effect() {}
func (Finish) effect()     {}
func (Fenced) effect()     {}
func (Released) effect()   {}
func (Note) effect()       {}
