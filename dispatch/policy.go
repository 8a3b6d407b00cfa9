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
	Idempotent      bool          // for the information of callers; tasks start at most once either way
	DefaultDeadline time.Duration // deadline of a job that sets none
	MaxTasks        int           // tasks of a job; 0 means no limit for this kind
}

// Team is the policy of a team.
type Team struct {
	Weight   float64 // the team's share of the slots, relative to the weights of other teams
	MaxTasks int     // open tasks over all entry hosts; 0 means no limit
}

// Policy holds the settings of the dispatcher.
type Policy struct {
	Kinds    map[string]Kind
	Teams    map[string]Team
	MaxTasks int // open tasks on this host; 0 means DefaultMaxTasks
	// MaxAttempts bounds the attempts of a task. Another attempt is made only if the ones before
	// provably did not start the task. 0 means DefaultMaxAttempts.
	MaxAttempts int
	// RetryDelay is the minimum delay before a refused task is offered again; 0 means
	// DefaultRetryDelay.
	RetryDelay time.Duration
	// MaxBytes is the amount of jobs and answers held in memory, in bytes, from which on new jobs
	// are refused; 0 means DefaultMaxBytes.
	MaxBytes int64
	Place    place.Policy // choice of endpoints
	Limit    limit.Policy // admission; its Teams are replaced by the field Teams above
	// JobWindow is the share of a job's tasks that may be in flight at a time, but at least
	// minJobWindow tasks; 0 means all. If a job fails or is cancelled, the messages for the tasks
	// that it has started are wasted.
	JobWindow float64
	// WindowStep is the time in which the window doubles. It starts with minJobWindow tasks at the
	// job's first attempt; 0 means that it has its full size at once. With a step, an endpoint that
	// fails all tasks immediately is noticed before the rest of the job has started.
	WindowStep time.Duration
}

const (
	// minJobWindow is the smallest limit of a job's tasks in flight.
	minJobWindow = 8
	// maxWindowDoublings keeps the window from overflowing an int.
	maxWindowDoublings = 20
)

// inFlightLimit returns how many of a job's tasks may be in flight at a time, given the time since
// the job's first attempt.
func (p *Policy) inFlightLimit(tasks int, sinceFirstAttempt time.Duration) int {
	limit := tasks
	if p.JobWindow > 0 {
		limit = max(int(p.JobWindow*float64(tasks)), minJobWindow)
	}
	if p.WindowStep == 0 {
		return limit
	}
	doublings := min(sinceFirstAttempt/p.WindowStep, maxWindowDoublings)
	return min(limit, minJobWindow<<doublings)
}

// Defaults of Policy.
const (
	DefaultMaxTasks    = 50_000
	DefaultMaxAttempts = 8
	DefaultRetryDelay  = 2 * time.Millisecond
	DefaultMaxBytes    = 256 << 20
	defaultDeadline    = 30 * time.Second
)

// limiterPolicy returns the policy of the limiter.
func (p *Policy) limiterPolicy() limit.Policy {
	out := p.Limit
	out.Teams = make(map[string]limit.Team, len(p.Teams))
	for name, t := range p.Teams {
		out.Teams[name] = limit.Team(t)
	}
	return out
}

// withDefaults returns a copy in which unset fields have their default values.
func (p *Policy) withDefaults() *Policy {
	out := *p
	defaults.SetIfZero(&out.MaxTasks, DefaultMaxTasks)
	defaults.SetIfZero(&out.MaxAttempts, DefaultMaxAttempts)
	defaults.SetIfZero(&out.RetryDelay, DefaultRetryDelay)
	defaults.SetIfZero(&out.MaxBytes, DefaultMaxBytes)
	return &out
}
