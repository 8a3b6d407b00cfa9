package host

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
)

// Event is an input of the state machine.
type Event interface{ hostEvent() }

// JobArrived reports a new job of a caller. It leads to exactly one Answer unless CallerGone comes first.
type JobArrived struct {
	Seq       uint64 // chosen by the caller of Step; higher for each job of a process
	Spec      fleet.JobSpec
	Route     fleet.Route
	Remaining time.Duration // until the caller stops waiting
}

// CallerGone reports that the caller of a job has closed its connection.
type CallerGone struct{ Seq uint64 }

// CallersSeen reports that the connections of the callers of all jobs that have arrived were open at a time, but for
// those that earlier events name. It is one of the first events of a batch: what a batch starts rests on the newest one.
type CallersSeen struct{ At time.Duration }

// FrameReceived is a frame received from another host.
type FrameReceived struct{ Frame *meshpb.Frame }

// HostsDiscovered lists hosts found in the store, and the highest fencing token that any of them has
// announced.
type HostsDiscovered struct {
	Hosts    []*meshpb.Host
	MaxFence int64
	// FromStore reports that the list holds all hosts that are in the store.
	FromStore bool
	// Records holds what the records in the store tell, by address. Empty but not nil: a read has found none new.
	Records map[string]HostRecord
}

// HostRecord is what the record of a host in the store tells, beside the host itself.
type HostRecord struct {
	Offset    int64
	Commanded bool // the process has commanded cells
	// SignsWhenIsolated reports that the process writes the record again and again while it commands cells and hears
	// no host of some other zone.
	SignsWhenIsolated bool
}

// ConfigRead reports a configuration that was read from the store, or from another host after ConfigFetched.
type ConfigRead struct {
	Record []byte
	// From is the name of the host that it was read from; empty: the store.
	From string
	// Decoded is the decoded record. Without it the record is decoded while the event is applied.
	Decoded *DecodedConfig
}

// ConfigOffered reports that the store has a configuration whose record is so large that other hosts are asked for it
// first.
type ConfigOffered struct{ Version int64 }

// EvacuationsRead holds requests to evacuate zones that were read from the store. A snapshot holds the
// request of every zone that is to be evacuated; otherwise only newer requests and withdrawals are listed.
// All records before the offset End have been read.
type EvacuationsRead struct {
	Evacuations []fleet.Evacuation
	Snapshot    bool
	End         int64
}

// WorkerRecord is the entry of a worker in the store. An empty Record means that the entry was
// removed.
type WorkerRecord struct {
	ID     string
	Record []byte
	Offset int64
}

// WorkersRead holds entries of workers that were read from the store. A snapshot holds all
// entries; otherwise only changed ones are listed.
type WorkersRead struct {
	Records  []WorkerRecord
	Snapshot bool
}

// StoreReachability reports whether the platform's store answers this host.
type StoreReachability struct{ Reachable bool }

// WorkerEvent wraps an event of the scheduler, such as a worker's reply to an order.
type WorkerEvent struct{ Event sched.Event }

// Drain asks the host to hand over its cells and to take no new jobs of other hosts.
type Drain struct{}

// Tick makes the host check its deadlines and do its periodic work.
type Tick struct{}

func (JobArrived) hostEvent()        {}
func (CallerGone) hostEvent()        {}
func (CallersSeen) hostEvent()       {}
func (FrameReceived) hostEvent()     {}
func (HostsDiscovered) hostEvent()   {}
func (ConfigRead) hostEvent()        {}
func (ConfigOffered) hostEvent()     {}
func (EvacuationsRead) hostEvent()   {}
func (WorkersRead) hostEvent()       {}
func (StoreReachability) hostEvent() {}
func (WorkerEvent) hostEvent()       {}
func (Drain) hostEvent()             {}
func (Tick) hostEvent()              {}

// Effect is an action for the caller of Step: one of the types below, or sched.StartRun,
// sched.StopRun or sched.HoldWorker.
type Effect any

// Answer gives a caller the outcome of its job.
type Answer struct {
	Seq        uint64
	Outcome    sched.Outcome
	Reason     string
	RetryAfter time.Duration // after which a refused caller should try again; 0 for other outcomes
}

// SendFrame sends a frame to the host at an address. The frame may be lost.
type SendFrame struct {
	Addr  string
	Frame *meshpb.Frame
}

// Redial replaces the connection to an address by a new one.
type Redial struct{ Addr string }

// CloseLink closes the connection to an address, because no more frames are to be sent there for now.
type CloseLink struct{ Addr string }

// AnnounceFence writes the fencing token of a newly taken cell into the host's entry in the store, so
// that tokens outlive the processes that know them.
type AnnounceFence struct{ Fence int64 }

// ActivateConfig makes a configuration apply to all requests that arrive from now on.
type ActivateConfig struct{ Config *fleet.Config }

// ConfigFetched asks for a ConfigRead event with a record that was read from another host. A large record takes too
// long to decode while events wait.
type ConfigFetched struct {
	Record []byte
	From   string // name of the host
}

// ReadWorkers asks for a read of the workers' entries from the store at once.
type ReadWorkers struct{}

// LogEntry is a log entry about a decision of the host or its scheduler.
type LogEntry struct {
	Part    string
	Message string
	Request string // ID of the caller's request, if the entry concerns one
	Fields  []any  // keys and values
}
