package host

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
)

// Event is an input of the state machine.
type Event interface{ hostEvent() }

// Arrived is a caller's job. It is answered by exactly one Answer unless CallerGone comes first.
type Arrived struct {
	Seq   uint64
	Spec  fleet.JobSpec
	Route fleet.Route
	Left  time.Duration // until the caller stops waiting
}

// CallerGone says that the caller of a job has closed its connection.
type CallerGone struct{ Seq uint64 }

// FrameIn is a frame of another host.
type FrameIn struct{ Frame *meshpb.Frame }

// HostsKnown names hosts that may be reached, and the highest fencing token that any of them
// has announced.
type HostsKnown struct {
	Hosts    []*meshpb.Host
	MaxFence int64
}

// ConfigRead is a configuration as it lies in the store, or as a peer passed it on.
type ConfigRead struct{ Record []byte }

// WorkerRecord is the entry of a worker in the store. An empty record is a removal.
type WorkerRecord struct {
	ID     string
	Record []byte
	Offset int64
}

// WorkersRead is news of the workers' entries. A snapshot names all that there are.
type WorkersRead struct {
	Records  []WorkerRecord
	Snapshot bool
}

// StoreState says whether the platform's store answers this host.
type StoreState struct{ Reachable bool }

// WorkerEvent is an event of the scheduler: an answer of a worker.
type WorkerEvent struct{ Event sched.Event }

// Drain hands over what the host commands and takes no new jobs of other hosts.
type Drain struct{}

// Tick lets time pass.
type Tick struct{}

func (Arrived) hostEvent()     {}
func (CallerGone) hostEvent()  {}
func (FrameIn) hostEvent()     {}
func (HostsKnown) hostEvent()  {}
func (ConfigRead) hostEvent()  {}
func (WorkersRead) hostEvent() {}
func (StoreState) hostEvent()  {}
func (WorkerEvent) hostEvent() {}
func (Drain) hostEvent()       {}
func (Tick) hostEvent()        {}

// Effect is something for the shell to do: one of the types below, or sched.StartRun,
// sched.StopRun, sched.HoldWorker.
type Effect any

// Answer answers a caller's job.
type Answer struct {
	Seq     uint64
	Outcome sched.Outcome
	Reason  string
	Retry   time.Duration // after which a refused caller should return
}

// SendFrame sends a frame to the host at an address. It may be lost.
type SendFrame struct {
	Addr  string
	Frame *meshpb.Frame
}

// Redial replaces the connection to an address, which has gone silent.
type Redial struct{ Addr string }

// Announce writes the host's entry in the store with the fencing token of a cell that it
// takes, so that tokens outlive the processes that know them.
type Announce struct{ Fence int64 }

// ConfigInForce puts a configuration in force for the requests that arrive from now on.
type ConfigInForce struct{ Config *fleet.Config }

// Note is a decision for the log.
type Note struct {
	Part    string
	Message string
	Request string // identity of the caller's request, if one is touched
	Fields  []any  // keys and values
}
