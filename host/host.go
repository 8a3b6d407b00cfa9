// Package host is the state machine of an entry host. It processes the events of the process
// one at a time and returns effects as data. It does no I/O, reads no clock and starts no
// goroutines: its caller, package entry, passes in the time and carries out the effects.
//
// A host has two roles. For its callers it chooses the cell (the workers of a zone, or a part of
// them) on which a job runs, forwards the job to the host that commands the cell, and answers
// the caller when the outcome is known. For the cells that it commands it schedules the jobs of
// all hosts. Package owner decides which cells it commands, package sched schedules the jobs,
// and package session orders and resends the messages to other hosts.
package host

import (
	"cmp"
	"math/rand/v2"
	"time"

	"sesameledge.dev/sesameledge/configsync"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/owner"
	"sesameledge.dev/sesameledge/sched"
	"sesameledge.dev/sesameledge/timing"
)

// Self describes this process.
type Self struct {
	Name string
	Zone string
	Addr string // for other hosts, IP:port
	ID   uint64 // random identity of the process
	// Weight is the host's processor capacity in thousandths of a core. Hosts with more capacity are
	// preferred as commanders.
	Weight int64
}

// Decoders decode the records that hosts forward to each other unchanged.
type Decoders struct {
	Config func(record []byte) (*fleet.Config, error)
	Worker func(id string, record []byte) (fleet.Worker, error)
}

// Options configure a host.
type Options struct {
	Self  Self
	Zones []string // of the deployment
	Seeds []string // addresses of other hosts, IP:port
	// CellWorkers is the number of workers up to which one host commands a zone. 0 means
	// owner.DefaultCellWorkers.
	CellWorkers int
	// Placement sets how waiting tasks are placed.
	Placement sched.Policy
	// LinkBytesPerSecond is the capacity of the host's network link. 0: not known.
	LinkBytesPerSecond float64
	// MemoryMB is the memory of the host in MiB. 0: not known.
	MemoryMB int64
	// AwaitEvacuations makes the host start no tasks before it knows which zones are evacuated.
	AwaitEvacuations bool
	// CancelMemory is how long cancelled jobs are remembered. 0 means DefaultCancelMemory.
	CancelMemory time.Duration
	Decode       Decoders
	// Timing holds the time limits of the deployment. The zero value means timing.Default.
	Timing  timing.Budget
	Seed    uint64
	Started time.Duration // when the process started, on the clock that gives Step its times
	// UnixMillis is the time of day at Started in Unix ms. It orders the fencing tokens of
	// processes that do not know of each other; no guarantee depends on it.
	UnixMillis int64
}

// State is the state machine of one process. Create it with New.
type State struct {
	opts             Options
	peers            map[string]*peer // by address
	sortedPeers      []*peer          // by address
	peersByID        map[uint64]*peer // peers that have been heard, by process ID
	owner            *owner.State
	sched            *sched.State
	config           *fleet.Config
	configRecord     []byte         // of config
	priorities       priorityLevels // of config
	configAdoptedAt  time.Duration
	configFetch      configsync.Fetch
	offeredConfig    int64 // newest version for which other hosts are asked before the store
	configServer     *configsync.Server
	evacuations      evacuations
	workers          map[string]*workerEntry
	sortedWorkers    []*workerEntry // workers by ID; nil: must be sorted again
	zoneParts        map[string]int // cells into which each zone is divided
	directoryChanged bool           // workers have changed since they were last passed to the scheduler
	workerChanges    uint64         // number of changes of worker entries so far
	storeReachable   bool           // the platform's store answers
	readsWorkers     bool           // the process has to read the workers' entries from the store
	jobs             map[uint64]*job
	callersSeen      time.Duration // when all callers of jobs were last seen to wait
	// fencedUntil holds the workers of own cells that obey another host, with the time from which this
	// host may take them again.
	fencedUntil map[string]time.Duration
	maxFence    int64
	cellLosses  uint          // cells lost in a row, each within lossMemory of the one before
	cellLostAt  time.Duration // when the newest of them was lost
	draining    bool
	rng         *rand.Rand
	effects     []Effect
	stats       Stats
	applying    int // see Applying
	recovery    recovery
	signs       signs
	start       startRecord
	// hostsRead reports whether the list of hosts was read from the store since the start.
	hostsRead bool
	// jobsRecordedAt is when recordJobsInProgress last ran.
	jobsRecordedAt time.Duration
	cancels        *cancellations
	// entriesWantedAt is when the workers' entries were last asked for out of turn.
	entriesWantedAt time.Duration
	lag             configLag // of this host
	// configInvalid reports that the newest configuration that this host has received cannot be decoded.
	configInvalid bool
	messageBytes  map[string]MessageBytes // sent to other hosts, by the kind of message
}

// Stats counts the jobs of the host's callers, the cells that it has taken and lost, and the frames and
// new connections to other hosts. Refused frames held values that no sound host sends, refused messages
// could not be delivered.
type Stats struct {
	Arrived, PassedOn, Completed, Failed, Refused, Aborted, Gone                        int64
	CellsTaken, CellsLost, FramesIn, FramesOut, FramesRefused, Redials, MessagesRefused int64
	// Cancelled counts jobs that ended by a cancellation, the others cancellations by their result.
	Cancelled, CancelsDone, CancelsNotFound, CancelsUnknown int64
}

// New returns the initial state of a process.
func New(opts Options) *State {
	if opts.Timing == (timing.Budget{}) {
		opts.Timing = timing.Default()
	}
	s := &State{
		opts:         opts,
		peers:        make(map[string]*peer),
		peersByID:    make(map[uint64]*peer),
		owner:        owner.New(opts.Started, owner.Host{Name: opts.Self.Name, Zone: opts.Self.Zone, ID: opts.Self.ID, Weight: opts.Self.Weight}),
		sched:        sched.New(opts.LinkBytesPerSecond),
		workers:      make(map[string]*workerEntry),
		zoneParts:    make(map[string]int),
		jobs:         make(map[uint64]*job),
		fencedUntil:  make(map[string]time.Duration),
		readsWorkers: true,
		callersSeen:  opts.Started,
		applying:     -1,
		cancels:      newCancellations(cmp.Or(opts.CancelMemory, DefaultCancelMemory)),
		configServer: configsync.NewServer(opts.LinkBytesPerSecond),
		messageBytes: make(map[string]MessageBytes),
		rng:          rand.New(rand.NewPCG(opts.Seed, opts.Self.ID)),
	}
	s.recovery.starting = true
	s.sched.SetHost(opts.Self.ID)
	s.sched.SetPolicy(opts.Placement)
	s.sched.SetTiming(opts.Timing)
	s.restrictStarts(opts.Started)
	for _, addr := range opts.Seeds {
		s.addPeer(&meshpb.Host{Addr: addr})
	}
	return s
}

// Stats returns the counters.
func (s *State) Stats() Stats { return s.stats }

// Scheduler returns the scheduler of the commanded workers, for state dumps and counters.
func (s *State) Scheduler() *sched.State { return s.sched }

// Config returns the configuration in force, or nil.
func (s *State) Config() *fleet.Config { return s.config }

// OpenJobs returns the number of callers' jobs that have no answer yet.
func (s *State) OpenJobs() int { return len(s.jobs) }

// Serving reports whether the host can take jobs: it has a configuration, does not drain, and
// knows a host that commands workers.
func (s *State) Serving(now time.Duration) bool {
	if s.config == nil || s.draining {
		return false
	}
	return len(s.availableCells(now)) > 0
}

// CellCount returns the number of cells that the host commands or is handing over.
func (s *State) CellCount() int { return len(s.owner.Claims()) }

// NeedsFrequentTicks reports whether the host has cells, callers' jobs or cancellations, whose deadlines
// need frequent ticks, exchanges parts of a configuration, or is still starting, when it decides on cells.
func (s *State) NeedsFrequentTicks() bool {
	return len(s.jobs) > 0 || s.CellCount() > 0 || len(s.cancels.pending) > 0 || !s.start.logged ||
		s.configFetch.Active() || s.configServer.Waiting() > 0
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) log(part, request, message string, fields ...any) {
	s.emit(LogEntry{Part: part, Message: message, Request: request, Fields: fields})
}

// Step applies a batch of events and returns the effects, which the caller carries out in order.
func (s *State) Step(now time.Duration, events ...Event) []Effect {
	s.expireContacts(now)
	for i, ev := range events {
		s.applying = i
		s.applyEvent(now, ev)
		s.applySchedulerEffects(now)
	}
	s.applying = -1
	s.sched.Place(now)
	s.applySchedulerEffects(now)
	s.settleCancellations(now)
	s.fetchConfig(now)
	s.serveConfig(now)
	s.sendDueFrames(now)
	out := s.effects
	s.effects = nil
	return out
}

func (s *State) applyEvent(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case JobArrived:
		s.handleJobArrived(now, e)
	case CallerGone:
		s.handleCallerGone(now, e.Seq)
	case CallersSeen:
		s.handleCallersSeen(e.At)
	case CancelRequested:
		s.handleCancelRequested(now, e)
	case FrameReceived:
		s.handleFrame(now, e.Frame)
	case HostsDiscovered:
		if PlausibleFence(e.MaxFence) {
			s.maxFence = max(s.maxFence, e.MaxFence)
		}
		for _, h := range e.Hosts {
			s.addPeer(h)
		}
		s.recordListedHosts(e)
		s.recordSigns(now, e)
	case ConfigRead:
		s.applyConfig(now, e)
	case ConfigOffered:
		s.offeredConfig = max(s.offeredConfig, e.Version)
	case EvacuationsRead:
		s.handleEvacuationsRead(now, e)
	case WorkersRead:
		s.handleWorkersRead(now, e)
	case StoreReachability:
		s.handleStoreState(e.Reachable)
	case WorkerEvent:
		s.sched.Step(now, e.Event)
	case Drain:
		s.handleDrain(now)
	case Tick:
		s.handleTick(now)
	}
}

func (s *State) handleTick(now time.Duration) {
	s.expireWorkers(now)
	s.decideCells(now)
	s.sched.Step(now, sched.Tick{})
	if s.sched.AwaitsEntries() {
		s.wantEntries(now)
	}
	s.recordClosedCells(now)
	s.retryJobs(now)
	s.forwardToPeers(now)
	s.trackConfigLag(now)
	s.signLife(now)
	s.trackStart(now)
}

// applySchedulerEffects handles the effects of the scheduler that concern this host and returns
// the others to the caller of Step.
func (s *State) applySchedulerEffects(now time.Duration) {
	s.updateDirectory(now)
	for _, effect := range s.sched.Ready() {
		switch e := effect.(type) {
		case sched.JobFinished:
			s.handleJobFinished(now, e)
		case sched.WorkerLost:
			s.handleWorkerFenced(now, e.Worker)
		case sched.WorkerReleased:
			s.handleWorkerReleased(e.Worker)
		case sched.EntriesWanted:
			s.wantEntries(now)
		case sched.LogEntry:
			s.log("sched", e.RequestID, e.Message, e.Fields...)
		default:
			s.emit(effect)
		}
	}
}
