// Package host is the state machine of an entry host. It takes all events of the process,
// one at a time, and returns effects as data; it has no I/O, clock or goroutines.
//
// A host does two jobs. For its callers it chooses the cell, the workers of one zone, on
// which a job runs, hands the job to the host that commands the cell, and answers when
// the outcome is known. For the cells that it commands it schedules the jobs of all hosts
// with package sched.
package host

import (
	"math/rand/v2"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/owner"
	"sesameledge.dev/sesameledge/sched"
)

// Self describes this process.
type Self struct {
	Name string
	Zone string
	Addr string // for other hosts, IP:port
	ID   uint64 // random identity of the process
	// Weight is the host's processors in thousandths of a core. Cells go to large hosts.
	Weight int64
}

// Decoders decode what hosts pass on without reading it.
type Decoders struct {
	Config func(record []byte) (*fleet.Config, error)
	Worker func(id string, record []byte) (fleet.Worker, error)
}

// Options configure a host.
type Options struct {
	Self  Self
	Zones []string // of the deployment
	Seeds []string // addresses of other hosts
	// CellWorkers is the number of workers up to which one host commands a zone. 0 means
	// owner.DefaultCellWorkers.
	CellWorkers int
	Decode      Decoders
	Seed        uint64
	Started     time.Duration
	// UnixMillis is the time of day at Started. It orders fencing tokens of processes that
	// do not know of each other; no promise depends on it.
	UnixMillis int64
}

// State is the state machine. Use New.
type State struct {
	opts     Options
	peers    map[string]*peer // by address
	order    []*peer          // by address
	byID     map[uint64]*peer // those heard, by process
	owner    *owner.State
	sched    *sched.State
	config   *fleet.Config
	record   []byte // of config
	adopted  time.Duration
	workers  map[string]*entry
	listed   []*entry       // workers, by name; nil: to be made again
	parts    map[string]int // cells into which each zone is divided
	changed  bool           // the directory has to be handed to the scheduler
	store    bool           // the store answers
	jobs     map[uint64]*job
	lost     map[string]time.Duration // workers of own cells that obey another host, until when they are left to it
	maxFence int64
	losses   uint
	draining bool
	rng      *rand.Rand
	out      []Effect
	stats    Stats
}

// Stats counts what the host has done for its callers.
type Stats struct {
	Arrived, PassedOn, Completed, Failed, Refused, Aborted, Gone int64
	CellsTaken, CellsLost, FramesIn, FramesOut, Redials          int64
}

// New returns the state of a process that starts.
func New(opts Options) *State {
	s := &State{
		opts:    opts,
		peers:   make(map[string]*peer),
		byID:    make(map[uint64]*peer),
		owner:   owner.New(opts.Started, owner.Host{Name: opts.Self.Name, Zone: opts.Self.Zone, ID: opts.Self.ID, Weight: opts.Self.Weight}),
		sched:   sched.New(),
		workers: make(map[string]*entry),
		parts:   make(map[string]int),
		jobs:    make(map[uint64]*job),
		lost:    make(map[string]time.Duration),
		rng:     rand.New(rand.NewPCG(opts.Seed, opts.Self.ID)),
	}
	for _, addr := range opts.Seeds {
		s.addPeer(&meshpb.Host{Addr: addr})
	}
	return s
}

// Stats returns the counters.
func (s *State) Stats() Stats { return s.stats }

// Sched returns the scheduler of the commanded workers, for dumps and counters.
func (s *State) Sched() *sched.State { return s.sched }

// Config returns the configuration in force, or nil.
func (s *State) Config() *fleet.Config { return s.config }

// OpenJobs returns the number of callers' jobs without an answer.
func (s *State) OpenJobs() int { return len(s.jobs) }

// Serving reports whether the host can take jobs: it knows the configuration and a host
// that commands workers.
func (s *State) Serving(now time.Duration) bool {
	if s.config == nil || s.draining {
		return false
	}
	return len(s.cells(now)) > 0
}

// Cells returns the number of cells that the host commands or still hands over.
func (s *State) Cells() int { return len(s.owner.Claims()) }

// Busy reports whether the host has anything to time closely: cells or callers' jobs.
func (s *State) Busy() bool { return len(s.jobs) > 0 || s.Cells() > 0 }

func (s *State) emit(e Effect) { s.out = append(s.out, e) }

func (s *State) note(part, request, message string, fields ...any) {
	s.emit(Note{Part: part, Message: message, Request: request, Fields: fields})
}

// Step applies the events of a batch and returns the effects.
func (s *State) Step(now time.Duration, events ...Event) []Effect {
	s.expireContacts(now)
	for _, ev := range events {
		s.apply(now, ev)
		s.settle(now)
	}
	s.sched.Place(now)
	s.settle(now)
	s.sendDue(now)
	out := s.out
	s.out = nil
	return out
}

func (s *State) apply(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case Arrived:
		s.arrive(now, e)
	case CallerGone:
		s.callerGone(now, e.Seq)
	case FrameIn:
		s.frame(now, e.Frame)
	case HostsKnown:
		s.maxFence = max(s.maxFence, e.MaxFence)
		for _, h := range e.Hosts {
			s.addPeer(h)
		}
	case ConfigRead:
		s.readConfig(now, e.Record, "store")
	case WorkersRead:
		s.readWorkers(now, e)
	case StoreState:
		s.storeState(e.Reachable)
	case WorkerEvent:
		s.sched.Step(now, e.Event)
	case Drain:
		s.drain(now)
	case Tick:
		s.tick(now)
	}
}

func (s *State) tick(now time.Duration) {
	s.expireWorkers(now)
	s.decideCells(now)
	s.sched.Step(now, sched.Tick{})
	s.retryJobs(now)
	s.passOn(now)
}

// settle carries out what the scheduler asks of the host and passes on the rest.
func (s *State) settle(now time.Duration) {
	s.updateDirectory(now)
	for _, effect := range s.sched.Ready() {
		switch e := effect.(type) {
		case sched.Finish:
			s.finished(now, e)
		case sched.Fenced:
			s.workerLost(now, e.Worker)
		case sched.Released:
			s.workerReleased(e.Worker)
		case sched.Note:
			s.note("sched", e.Request, e.Message, e.Fields...)
		default:
			s.emit(effect)
		}
	}
}
