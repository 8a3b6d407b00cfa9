// Package dispatch is the reducer for jobs, tasks, attempts and answers. It decides
// everything that bears on at-most-once execution and on the truth of replies, and does
// no I/O: Apply takes an event and returns effects for the shell to run.
//
// Invariants, asserted in production:
//   - a task is handed to an endpoint only if every earlier attempt provably did not start;
//   - a job with a verdict, or past its deadline, starts nothing;
//   - a job has one verdict, and "complete" only if each task has a result;
//   - a ticket that was refused never starts.
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
	opts      Options
	mint      ticket.Mint
	minted    mintLog
	policy    *Policy
	endpoints *place.Set // minions
	workers   *fit.Set
	jobs      map[ticket.ID]*job
	refused   refusals
	fetched   []*job // ended jobs whose answer was fetched, oldest first
	queue     []*job // accepted jobs with waiting tasks, by key
	limiter   *limit.Limiter
	deferred  bool          // placement is left to a later Apply
	pollAt    time.Duration // when held tasks are looked at again; 0 for never
	retryAt   time.Duration // when the first refused task of a round may be offered again; 0 for none
	timers    timerHeap
	draining  bool
	open      int // tasks of jobs without a verdict
	teamOpen  map[string]int
	bytes     int64
	counters  Counters
	effects   []Effect
	off       switches
}

// Counters counts what the reducer did since the process started.
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

// New returns an empty State with an empty policy.
func New(opts Options) *State {
	return &State{
		opts:      opts,
		mint:      ticket.Mint{Host: opts.Host, Incarnation: opts.Incarnation},
		policy:    (&Policy{}).withDefaults(),
		endpoints: place.NewSet(place.Options{Zone: opts.Zone, Seed: opts.Seed}),
		workers:   fit.New(fit.Options{Zone: opts.Zone, Seed: opts.Seed}),
		limiter:   limit.New(),
		jobs:      make(map[ticket.ID]*job),
		refused:   newRefusals(),
		teamOpen:  make(map[string]int),
	}
}

// Mint returns n new tickets. The time of minting is kept, so that a first submission
// after the window is refused.
func (s *State) Mint(now time.Duration, n int, window, maxDeadline time.Duration) []ticket.Ticket {
	out := make([]ticket.Ticket, n)
	for i := range out {
		out[i] = s.mint.Next(window, maxDeadline)
	}
	s.minted.record(now, out[0].Seq, out[n-1].Seq)
	return out
}

// Apply applies an event at the given time since process start and returns the effects.
// The returned slice is valid until the next call.
func (s *State) Apply(now time.Duration, ev Event) []Effect {
	s.effects = s.effects[:0]
	s.expire(now)
	switch ev := ev.(type) {
	case Submit:
		s.submit(now, ev)
	case Await:
		s.await(now, ev)
	case Cancel:
		s.cancel(now, ev)
	case WaiterTimeout:
		s.waiterTimeout(now, ev)
	case WaiterGone:
		s.removeWaiter(ev.ID, ev.Waiter)
	case AnswerFetched:
		s.answerFetched(ev)
	case AttemptEnded:
		s.attemptEnded(now, ev)
	case EndpointsChanged:
		s.updateEndpoints(ev.Endpoints)
		s.endpoints.SetHosts(ev.EntryHosts)
		s.workers.SetHosts(ev.EntryHosts)
		s.limiter.SetHosts(ev.EntryHosts)
	case PolicyChanged:
		s.policy = ev.Policy.withDefaults()
		s.endpoints.SetPolicy(s.policy.Place)
		s.limiter.SetPolicy(s.policy.limits())
	case UsageReported:
		s.relieve(s.workers.Report(now, ev.Workers))
	case DrainStarted:
		s.draining = true
	case DrainTimedOut:
		s.failOpenJobs(now)
	case Tick:
	}
	if !s.deferred {
		s.placeWaiting(now)
	}
	return s.effects
}

// DeferPlacement sets whether Apply leaves waiting tasks where they are. The shell defers
// it while it applies several events that arrived together, because one round over the
// waiting tasks serves them all.
func (s *State) DeferPlacement(deferred bool) { s.deferred = deferred }

// NextWake returns when the next deadline, retry or expiry is due.
func (s *State) NextWake() (time.Duration, bool) {
	switch {
	case len(s.timers) == 0:
		return s.pollAt, s.pollAt > 0
	case s.pollAt > 0:
		return min(s.pollAt, s.timers[0].at), true
	}
	return s.timers[0].at, true
}

// OpenJobs returns the number of jobs without a verdict.
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

// expire runs the timers that are due.
func (s *State) expire(now time.Duration) {
	s.refused.sweep(now)
	for len(s.timers) > 0 && s.timers[0].at <= now {
		t := heap.Pop(&s.timers).(timer)
		switch t.kind {
		case timerDeadline:
			s.deadline(now, t.id)
		case timerExpiry:
			s.drop(now, t.id)
		}
	}
}

func (s *State) deadline(now time.Duration, id ticket.ID) {
	if j, ok := s.jobs[id]; ok && !j.ended() && !s.off.lateComplete {
		s.fail(now, j, api.Errorf(api.CodeDeadline, "deadline_ms", "the job did not end within its deadline"))
	}
}

// drop forgets a job whose ticket's lifetime has ended. Attempts may still be in flight
// after a pause of this process; nothing else would free their slots then.
func (s *State) drop(now time.Duration, id ticket.ID) {
	j, ok := s.jobs[id]
	if !ok || s.off.keepRecords {
		return
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskInFlight && !s.off.leakSlots {
			s.endpoints.Ended(now, t.endpoint.ID, place.Sample{Kind: j.kindName, Failed: true, Cancelled: true, Load: -1})
		}
	}
	s.addBytes(j, -j.bytes)
	delete(s.jobs, id)
}

// failOpenJobs ends the jobs that are still open when a drain runs out of time, so that
// their callers get a final reply before the process ends.
func (s *State) failOpenJobs(now time.Duration) {
	open := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		if !j.ended() {
			open = append(open, j)
		}
	}
	// Map order is random; the reducer must be deterministic.
	sort.Slice(open, func(a, b int) bool { return open[a].id < open[b].id })
	for _, j := range open {
		s.fail(now, j, api.Errorf(api.CodeDraining, "", "the host shut down before the job ended"))
	}
}
