package sched

import (
	"cmp"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/crash"
	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/pace"
	"sesameledge.dev/sesameledge/rtt"
	"sesameledge.dev/sesameledge/timing"
)

const (
	// holdWait is how long a worker waits for the end of a run before it answers a hold. It is the
	// period of lease renewals.
	holdWait = 250 * time.Millisecond
	// minRestartTime is the shortest time in which a worker restarts.
	minRestartTime = time.Second
	// stopGracePeriod is how long a run whose job is still wanted, and which has to stop, may go on
	// before the lease of its worker is no longer extended.
	stopGracePeriod = 200 * time.Millisecond
	// stopRetryInterval is the time after which an unanswered stop is sent again.
	stopRetryInterval = 150 * time.Millisecond
	// unansweredStartTimeout is the shortest time after which a run whose start was unanswered is
	// stopped unless the worker has listed it.
	unansweredStartTimeout = 120 * time.Millisecond
	// maxAckDelay is how long the ends of runs may stay unacknowledged on an idle worker.
	maxAckDelay = 400 * time.Millisecond
	// minBlockTime and maxBlockTime bound the time for which a worker gets no new tasks after a
	// refused start, a hanging run or failures in a row.
	minBlockTime = 150 * time.Millisecond
	maxBlockTime = 2 * time.Second
	// probeInterval is the pause between holds to a worker that does not answer.
	probeInterval = 300 * time.Millisecond
	// supersededAttemptStep raises a task's attempt above those of an earlier submission of its job.
	supersededAttemptStep = 1000
)

// State is the state machine. Create it with New.
type State struct {
	workers    map[string]*worker // by ID
	jobs       map[JobKey]*job
	queue      []*job // with waiting tasks
	durations  *durationModel
	calls      rtt.Estimator // over the calls to all workers
	link       pace.Link     // network link of the host
	lastStep   time.Duration // time of the newest event
	importance *importance
	shares     *shares
	// sharesDecayedAt is when the past work in shares was last given less weight.
	sharesDecayedAt time.Duration
	reservations    int // made by the newest Place
	// aloneReservations counts the workers that the newest Place keeps free for suspects.
	aloneReservations int
	policy            Policy
	effects           []Effect
	needsPlacement    bool          // a task may have become placeable since the last Place
	nextOver          time.Duration // earliest time at which a run is over whose end is not listed; 0: none is awaited
	sortedWorkers     []*worker     // by ID
	stats             Stats
	queueCounters     map[queueKey]queueCounters
	closedCells       map[fleet.Cell]bool // refuse jobs while their workers are handed over
	timing            timing.Budget
	origins           map[uint64]*origin // other processes that have jobs here
	taskRuns          taskCounts         // runs that may be running, of all submissions of a job
	foreignTasks      taskCounts         // foreign runs
	endedRuns         map[fleet.Task]endedRun
	restrictions      startRestrictions
	cold              *coldModel
	cellTakes         map[fleet.Cell]cellTake
	crashes           *crash.Ledger
	assessedChanges   uint64                 // of crashes, up to which jobs were assessed
	assessedAt        time.Duration          // when they were
	triedAgainAt      map[pool]time.Duration // see mayTryAgain
	loggedRisks       map[crash.Kind]crash.Risk
}

// Stats counts what the state machine has done since New.
type Stats struct {
	// Starts and Stops count calls sent, Doubts unanswered starts, Foreign foreign runs found. Runs
	// ended as Done, as FailedRuns, as Lapsed with their lease, or as Lost when a list did not name
	// them. Hangs counts runs stopped because they made no progress.
	Starts, Done, FailedRuns, Lapsed, Lost, Hangs, Doubts, Stops, Foreign int64
	// Restarts counts starts of tasks of which a run has ended before, by what shows that it is over.
	Restarts [endBasisCount]int64
	// Losses counts the workers that were lost with runs on them, by the evidence known then.
	Losses [crash.Withdrawn]int64
	// GivenUp counts jobs that ended as failed for the crashes under a task.
	GivenUp int64
	// LongestUnwanted is the longest time for which a run may have gone on after its job was wanted.
	LongestUnwanted time.Duration
	// Jobs by outcome.
	Completed, Failed, Refused, Aborted, Cancelled int64
	// Violations counts starts that were prevented because they would have broken an invariant.
	Violations int64
}

// New returns an empty state machine for a host with a network link of a capacity in bytes a second; 0
// means that the capacity is not known.
func New(linkBytesPerSecond float64) *State {
	return &State{
		link:          pace.NewLink(linkBytesPerSecond, pace.OrderShare),
		workers:       make(map[string]*worker),
		jobs:          make(map[JobKey]*job),
		closedCells:   make(map[fleet.Cell]bool),
		queueCounters: make(map[queueKey]queueCounters),
		durations:     newDurationModel(),
		importance:    newImportance(),
		shares:        new(shares),
		policy:        Policy{RemotePenalty: defaultRemotePenalty},
		timing:        timing.Default(),
		origins:       make(map[uint64]*origin),
		taskRuns:      make(taskCounts),
		foreignTasks:  make(taskCounts),
		endedRuns:     make(map[fleet.Task]endedRun),
		cold:          newColdModel(),
		cellTakes:     make(map[fleet.Cell]cellTake),
		crashes:       crash.New(0),
		triedAgainAt:  make(map[pool]time.Duration),
	}
}

// Commands reports whether the host commands a worker or is about to.
func (s *State) Commands(id string) bool {
	w := s.workers[id]
	return w != nil && w.phase != phaseNone
}

// AcceptedBy reports whether a worker has accepted this host's command and is not being released.
func (s *State) AcceptedBy(id string) bool {
	w := s.workers[id]
	return w != nil && w.phase == phaseHeld
}

// CellOf returns the cell under which a worker was last taken, or an empty string.
func (s *State) CellOf(id string) fleet.Cell {
	if w := s.workers[id]; w != nil {
		return w.cell
	}
	return ""
}

// Stats returns the counters.
func (s *State) Stats() Stats { return s.stats }

// Ready returns the effects since the last call, in the order in which they arose.
func (s *State) Ready() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) logEvent(request, message string, fields ...any) {
	s.emit(LogEntry{Message: message, RequestID: request, Fields: fields})
}

// Step applies an event. The caller calls Place after the last event of a batch.
func (s *State) Step(now time.Duration, ev Event) {
	s.lastStep = now
	switch e := ev.(type) {
	case Submit:
		s.handleSubmit(now, e.Job)
	case Cancel:
		s.handleCancel(now, e.Key)
	case UpdateWorkers:
		s.handleDirectory(now, e.Workers)
	case TakeWorker:
		s.handleTake(now, e)
	case ReleaseWorker:
		s.handleRelease(e.Worker)
	case StartReply:
		s.handleStarted(now, e)
	case StopReply:
		s.handleStopped(now, e)
	case HoldReply:
		s.handleHeld(now, e)
	case Tick:
		s.handleTick(now)
	}
}

// handleTick ends what has expired and sends the calls that are due.
func (s *State) handleTick(now time.Duration) {
	s.shares.decay(now - s.sharesDecayedAt)
	s.sharesDecayedAt = now
	s.endAllOverRuns(now)
	for _, w := range s.sortedWorkers {
		s.checkRuns(now, w)
		s.releaseIfIdle(w)
		s.sendHold(now, w)
	}
	s.expireJobs(now)
	s.forgetEnds(now)
	s.crashes.Expire(now)
	s.needsPlacement = true
}

// sortedRuns returns a worker's runs in a fixed order.
func sortedRuns(w *worker) []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareRunKeys(a.key, b.key) })
	return runs
}

func compareRunKeys(a, b fleet.RunKey) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Attempt, b.Attempt),
		cmp.Compare(a.Task.UnparsedName, b.Task.UnparsedName))
}

// checkRuns stops runs that hang or whose start stays unanswered, and sends due stops.
func (s *State) checkRuns(now time.Duration, w *worker) {
	for _, r := range sortedRuns(w) {
		if r.unansweredAt != 0 && r.confirmedAt == 0 && r.stop.wantedSince == 0 && now-r.unansweredAt >= max(unansweredStartTimeout, s.orderTimeout(w)) {
			r.stop.wantedSince = now
		}
		if r.stop.wantedSince == 0 && s.isHanging(now, r) {
			s.stats.Hangs++
			w.block(now)
			s.logEvent(r.job.spec.RequestID, "run makes no progress", "worker", w.info.ID, "task", r.key.Task, "percent", r.percent, "age", now-r.startSentAt)
			r.stop.wantedSince = now
		}
	}
	s.sendDueStops(now, w)
}

// sendStop sends a stop, unless the host no longer commands the worker. A stop that the worker cannot take now stays
// due.
func (s *State) sendStop(now time.Duration, w *worker, key fleet.RunKey, st *stopState) {
	if w.phase == phaseNone || !st.open && !w.open.takesStops() {
		return
	}
	w.openStop(st)
	st.lastSentAt = now
	s.stats.Stops++
	s.emit(StopRun{Worker: w.info, Order: fleet.StopOrder{Run: key, Fence: w.fence}, CallLimits: s.orderLimits(now, w)})
}
