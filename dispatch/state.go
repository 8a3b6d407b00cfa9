// Package dispatch is the state machine that runs the jobs of an entry host. It accepts or refuses
// submitted jobs, places their tasks on endpoints, records the outcomes of attempts and answers
// callers. All decisions that concern at-most-once execution and the truth of replies are made
// here.
//
// The package does no I/O and reads no clock: State.Apply takes an event and returns effects, which
// package daemon carries out. Packages place (minions) and fit (workers) choose the endpoint of a
// task, package limit decides about quotas and overload. Requests about tickets that another
// incarnation owns are left to package forward.
//
// Invariants, checked in production too:
//   - a task is sent to an endpoint only if every earlier attempt provably did not start;
//   - a job that has a final reply, or is past its deadline, starts no task;
//   - a job has one final reply, which is "complete" only if each task has a result;
//   - no job starts under a ticket that was refused.
package dispatch

import (
	"container/heap"
	"sort"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/fit"
	"sesameledge.dev/sesameledge/limit"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// Options configures a State.
type Options struct {
	Host        string
	Incarnation ticket.Incarnation
	Zone        string
	Seed        uint64
}

// State is the dispatcher's state. It is not safe for concurrent use.
type State struct {
	options           Options
	minter            ticket.Minter
	mintTimes         mintLog
	policy            *Policy
	endpoints         *place.Set // minions; predicts the run times of all kinds
	workers           *fit.Set
	jobs              map[ticket.ID]*job
	refusedTickets    refusals
	fetchedJobs       []*job // ended jobs whose answer was fetched, in the order of fetching
	queue             []*job // open jobs with waiting tasks, by target end
	limiter           *limit.Limiter
	placementDeferred bool          // see DeferPlacement
	nextPlacementAt   time.Duration // when waiting tasks are tried again; 0 if none wait
	earliestRetryAt   time.Duration // first end of a retry delay that the last round met; 0 if none
	timers            timerHeap
	draining          bool
	openTasks         int            // tasks without a result, of open jobs
	teamOpenTasks     map[string]int // openTasks of each team
	heldBytes         int64          // estimated memory of all jobs and answers
	counters          Counters
	effects           []Effect
	injected          faults // set by tests only
}

// Counters counts jobs, attempts and replies since the process started.
type Counters struct {
	JobsAccepted  uint64 `json:"jobs_accepted"`
	JobsComplete  uint64 `json:"jobs_complete"`
	JobsFailed    uint64 `json:"jobs_failed"`
	JobsRefused   uint64 `json:"jobs_refused"`
	Resubmissions uint64 `json:"resubmissions"`
	Attempts      uint64 `json:"attempts"`
	NotStarted    uint64 `json:"attempts_not_started"`
	Unknown       uint64 `json:"attempts_unknown"`
	LateAnswers   uint64 `json:"late_answers"`
	Cancelled     uint64 `json:"tasks_cancelled"`
	Evicted       uint64 `json:"answers_evicted"`
	Violations    uint64 `json:"invariant_violations"`
}

// New returns a State without jobs and endpoints, with the default policy.
func New(opts Options) *State {
	return &State{
		options:        opts,
		minter:         ticket.Minter{Host: opts.Host, Incarnation: opts.Incarnation},
		policy:         (&Policy{}).withDefaults(),
		endpoints:      place.NewSet(place.Options{Zone: opts.Zone, Seed: opts.Seed}),
		workers:        fit.New(fit.Options{Zone: opts.Zone, Seed: opts.Seed}),
		limiter:        limit.New(),
		jobs:           make(map[ticket.ID]*job),
		refusedTickets: newRefusals(),
		teamOpenTasks:  make(map[string]int),
	}
}

// Mint returns n new tickets; n is at least 1. The time of minting is recorded, so that a first
// submission after the window is refused.
func (s *State) Mint(now time.Duration, n int, window, maxDeadline time.Duration) []ticket.Ticket {
	out := make([]ticket.Ticket, n)
	for i := range out {
		out[i] = s.minter.Next(window, maxDeadline)
	}
	s.mintTimes.record(now, out[0].Seq, out[n-1].Seq)
	return out
}

// Apply applies an event and returns its effects; now is the time since process start. The returned
// slice is valid until the next call.
func (s *State) Apply(now time.Duration, ev Event) []Effect {
	s.effects = s.effects[:0]
	s.runDueTimers(now)
	switch ev := ev.(type) {
	case Submit:
		s.handleSubmit(now, ev)
	case Await:
		s.handleAwait(now, ev)
	case Cancel:
		s.handleCancel(now, ev)
	case WaiterTimeout:
		s.handleWaiterTimeout(now, ev)
	case WaiterGone:
		s.removeWaiter(ev.ID, ev.Waiter)
	case AnswerFetched:
		s.handleAnswerFetched(ev)
	case AttemptEnded:
		s.handleAttemptEnded(now, ev)
	case EndpointsChanged:
		s.updateEndpoints(ev.Endpoints)
		s.endpoints.SetHosts(ev.EntryHosts)
		s.workers.SetHosts(ev.EntryHosts)
		s.limiter.SetHosts(ev.EntryHosts)
	case PolicyChanged:
		s.policy = ev.Policy.withDefaults()
		s.endpoints.SetPolicy(s.policy.Place)
		s.limiter.SetPolicy(s.policy.limiterPolicy())
	case UsageReported:
		s.emitWorkerRelief(s.workers.Report(now, ev.Workers))
	case DrainStarted:
		s.draining = true
	case DrainTimedOut:
		s.failOpenJobs(now)
	case Tick:
	}
	if !s.placementDeferred {
		s.placeWaitingTasks(now)
	}
	return s.effects
}

// DeferPlacement sets whether Apply leaves out the placement of waiting tasks. The daemon defers
// placement while it applies several events that arrived together, because one round over the
// waiting tasks serves them all.
func (s *State) DeferPlacement(deferred bool) { s.placementDeferred = deferred }

// NextWake returns when the next deadline, retry or expiry is due, as a time since process start,
// or false if none is pending. A Tick has to be applied then.
func (s *State) NextWake() (time.Duration, bool) {
	switch {
	case len(s.timers) == 0:
		return s.nextPlacementAt, s.nextPlacementAt > 0
	case s.nextPlacementAt > 0:
		return min(s.nextPlacementAt, s.timers[0].dueAt), true
	}
	return s.timers[0].dueAt, true
}

// OpenJobs returns the number of jobs without a final reply.
func (s *State) OpenJobs() int {
	n := 0
	for _, j := range s.jobs {
		if !j.ended() {
			n++
		}
	}
	return n
}

// Counters returns a copy of the counters.
func (s *State) Counters() Counters { return s.counters }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) reply(w WaiterID, r *api.Reply) {
	if w != 0 {
		s.emit(ReplyTo{Waiter: w, Reply: r})
	}
}

// runDueTimers handles the deadlines and expiries that are due.
func (s *State) runDueTimers(now time.Duration) {
	s.refusedTickets.removeExpired(now)
	for len(s.timers) > 0 && s.timers[0].dueAt <= now {
		t := heap.Pop(&s.timers).(timer)
		switch t.kind {
		case timerDeadline:
			s.handleDeadline(now, t.id)
		case timerExpiry:
			s.dropExpiredJob(now, t.id)
		}
	}
}

func (s *State) handleDeadline(now time.Duration, id ticket.ID) {
	if j, ok := s.jobs[id]; ok && !j.ended() && !s.injected.ignoreDeadlines {
		s.failJob(now, j, api.Errorf(api.CodeDeadline, "deadline_ms", "the job did not end within its deadline"))
	}
}

// dropExpiredJob deletes a job whose ticket's lifetime has ended. After a pause of this process,
// attempts may still be in flight. Their slots are freed here, since nothing else would free them.
func (s *State) dropExpiredJob(now time.Duration, id ticket.ID) {
	j, ok := s.jobs[id]
	if !ok || s.injected.keepExpiredRecords {
		return
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskInFlight && !s.injected.keepSlotsOfDroppedJobs {
			s.endpoints.Ended(now, t.endpoint.ID, place.Sample{Kind: j.kindName, Failed: true, Cancelled: true, Load: -1})
		}
	}
	s.addHeldBytes(j, -j.heldBytes)
	delete(s.jobs, id)
}

// failOpenJobs fails the jobs that are still open when the time for draining is over, so that their
// callers get a final reply before the process ends.
func (s *State) failOpenJobs(now time.Duration) {
	open := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		if !j.ended() {
			open = append(open, j)
		}
	}
	// The order of map iteration is random, but the effects must be deterministic.
	sort.Slice(open, func(a, b int) bool { return open[a].id < open[b].id })
	for _, j := range open {
		s.failJob(now, j, api.Errorf(api.CodeDraining, "", "the host shut down before the job ended"))
	}
}
