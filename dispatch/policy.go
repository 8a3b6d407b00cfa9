package dispatch

import (
	"time"

	"sesameledge.dev/sesameledge/internal/defaults"
	"sesameledge.dev/sesameledge/limit"
	"sesameledge.dev/sesameledge/place"
)

// Kind is the policy of a job kind.
type Kind struct {
	Group           string        // back-end group that runs the kind
	Workers         bool          // the group's endpoints are workers
	Idempotent      bool          // recorded for callers; tasks start at most once either way
	DefaultDeadline time.Duration // deadline of a job that names none
	MaxTasks        int           // 0 means no limit of its own
}

// Team is the policy of a team.
type Team struct {
	Weight   float64 // share of the slots relative to other teams
	MaxTasks int     // open tasks over all entry hosts; 0 means no limit
}

// Policy is what configuration sets for the dispatcher.
type Policy struct {
	Kinds    map[string]Kind
	Teams    map[string]Team
	MaxTasks int // open tasks on this host; 0 means DefaultMaxTasks
	// MaxAttempts bounds the attempts of a task, all but the last proven not started.
	MaxAttempts int
	// RetryDelay is the least pause before a refused task is offered again; 0 means
	// DefaultRetryDelay.
	RetryDelay time.Duration
	// MaxBytes bounds the payloads and results held; 0 means DefaultMaxBytes.
	MaxBytes int64
	Place    place.Policy // choice of endpoints
	Limit    limit.Policy // admission; Teams is taken from the field above
	// JobWindow is the share of a job's tasks, but at least minWindow, that may be in
	// flight at a time; 0 means all. A job that fails or is cancelled wastes the messages
	// of the tasks that it has started.
	JobWindow float64
	// WindowStep is the time in which the window doubles, from minWindow at the job's
	// first attempt; 0 opens it at once. An endpoint that fails at once shows it before
	// the rest of the job has started.
	WindowStep time.Duration
}

const (
	// minWindow is the least number of tasks that a job may have in flight.
	minWindow = 8
	// maxDoublings keeps the window within an int.
	maxDoublings = 20
)

// window returns how many of n tasks may be in flight at a time, this long after the
// job's first attempt.
func (p *Policy) window(n int, age time.Duration) int {
	limit := n
	if p.JobWindow > 0 {
		limit = max(int(p.JobWindow*float64(n)), minWindow)
	}
	if p.WindowStep == 0 {
		return limit
	}
	doublings := min(age/p.WindowStep, maxDoublings)
	return min(limit, minWindow<<doublings)
}

// Defaults of Policy.
const (
	DefaultMaxTasks    = 50_000
	DefaultMaxAttempts = 8
	DefaultRetryDelay  = 2 * time.Millisecond
	DefaultMaxBytes    = 256 << 20
	defaultDeadline    = 30 * time.Second
)

// limits returns the policy of the limiter.
func (p *Policy) limits() limit.Policy {
	out := p.Limit
	out.Teams = make(map[string]limit.Team, len(p.Teams))
	for name, t := range p.Teams {
		out.Teams[name] = limit.Team(t)
	}
	return out
}

// withDefaults fills in what the policy leaves open.
func (p *Policy) withDefaults() *Policy {
	out := *p
	defaults.Set(&out.MaxTasks, DefaultMaxTasks)
	defaults.Set(&out.MaxAttempts, DefaultMaxAttempts)
	defaults.Set(&out.RetryDelay, DefaultRetryDelay)
	defaults.Set(&out.MaxBytes, DefaultMaxBytes)
	return &out
}
