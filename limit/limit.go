// Package limit decides which jobs one host accepts and which teams go first under
// overload. It knows the work that waits on this host and the rate at which the host
// gets work done; it does no I/O and reads no clock.
package limit

import (
	"fmt"
	"time"

	"sesameledge.dev/sesameledge/internal/defaults"
)

// Team is the policy of a team.
type Team struct {
	Weight   float64 // share of the slots relative to other teams
	MaxTasks int     // open tasks over all entry hosts; 0 means no limit
}

// Policy is what configuration sets. Zero values take the defaults.
type Policy struct {
	Teams map[string]Team
	// MaxWait bounds a team's queue by the time that its share of the rate needs for it.
	MaxWait time.Duration
	// DeadlineUse is the part of its deadline that a job may be expected to take. A
	// lower value refuses more jobs that would have ended in time and fewer that waste
	// messages.
	DeadlineUse float64
	// RetryShare bounds refused attempts relative to first attempts.
	RetryShare float64
}

// Defaults of Policy.
const (
	DefaultMaxWait     = 1500 * time.Millisecond
	DefaultDeadlineUse = 0.8
	DefaultRetryShare  = 0.05
)

// Job is what admission knows about a submission. Work is slot time at the typical speed.
type Job struct {
	Team     string
	Group    string
	Tasks    int
	Open     int           // the team's open tasks on this host
	Work     time.Duration // of the job
	Ideal    time.Duration // expected response time if every slot were free
	Deadline time.Duration // from now
	Ahead    time.Duration // waiting work that goes first
	AheadOwn time.Duration // the part of Ahead that belongs to the job's team
}

// Cause says why a job is refused.
type Cause int

// The causes of a refusal.
const (
	// Quota means that the team has as many open tasks as it may have.
	Quota Cause = iota + 1
	// Overload means that the team's queue is full.
	Overload
	// TooLate means that the job is expected to miss its deadline.
	TooLate
)

// Refusal says that a job is not accepted and why, in one sentence.
type Refusal struct {
	Cause   Cause
	Message string
}

// Limiter holds the limits of one host. It is not safe for concurrent use.
type Limiter struct {
	policy   Policy
	hosts    int
	capacity map[string]float64       // by group, over all hosts, in slots of the typical speed
	rates    map[string]*rate         // by group: work started by this host
	usage    map[string]*rate         // by team: work started by this host
	waiting  map[string]time.Duration // by team: work that waits on this host
	active   []string                 // teams with waiting work; sorted, so that sums don't depend on map order
	retries  budget
}

// New returns a Limiter with the default policy.
func New() *Limiter {
	l := &Limiter{
		hosts:    1,
		capacity: make(map[string]float64),
		rates:    make(map[string]*rate),
		usage:    make(map[string]*rate),
		waiting:  make(map[string]time.Duration),
	}
	l.SetPolicy(Policy{})
	return l
}

// SetPolicy replaces the policy.
func (l *Limiter) SetPolicy(p Policy) {
	defaults.Set(&p.MaxWait, DefaultMaxWait)
	defaults.Set(&p.DeadlineUse, DefaultDeadlineUse)
	defaults.Set(&p.RetryShare, DefaultRetryShare)
	l.policy = p
	l.retries.share = p.RetryShare
}

// SetHosts sets the number of live entry hosts over which quotas are split.
func (l *Limiter) SetHosts(n int) { l.hosts = max(n, 1) }

// SetCapacity sets what the endpoints of a group do at a time for all hosts, in slots of
// the typical speed.
func (l *Limiter) SetCapacity(group string, slots float64) { l.capacity[group] = slots }

// Admit returns the reason to refuse a job, or false to accept it.
func (l *Limiter) Admit(now time.Duration, j Job) (Refusal, bool) {
	if limit := l.quota(j.Team); limit > 0 && j.Open+j.Tasks > limit {
		return refusal(Quota, "team %s has %d open tasks of its %d on this host", j.Team, j.Open, limit)
	}
	rate := l.rate(now, j.Group)
	if rate <= 0 {
		return Refusal{}, false
	}
	wait := divide(j.Ahead, rate)
	if expected := wait + j.Ideal; expected > time.Duration(l.policy.DeadlineUse*float64(j.Deadline)) {
		return refusal(TooLate, "the job is expected to take %v of its deadline of %v", expected.Round(time.Millisecond), j.Deadline)
	}
	if j.AheadOwn == 0 {
		return Refusal{}, false
	}
	if own := divide(j.AheadOwn, rate*l.share(j.Team)); own > l.policy.MaxWait {
		return refusal(Overload, "team %s has work for %v waiting on this host", j.Team, own.Round(time.Millisecond))
	}
	return Refusal{}, false
}

func refusal(cause Cause, format string, args ...any) (Refusal, bool) {
	return Refusal{Cause: cause, Message: fmt.Sprintf(format, args...)}, true
}

// quota is this host's part of the team's quota; 0 means no limit.
func (l *Limiter) quota(team string) int {
	total := l.policy.Teams[team].MaxTasks
	return (total + l.hosts - 1) / l.hosts
}

// rate is the work that this host gets done at a time, in slots: what it measured, or its
// part of the capacity if that is more, since an idle host measures little.
func (l *Limiter) rate(now time.Duration, group string) float64 {
	measured := 0.0
	if r := l.rates[group]; r != nil {
		measured = r.perSecond(now)
	}
	return max(measured, l.capacity[group]/float64(l.hosts))
}

func divide(work time.Duration, rate float64) time.Duration {
	return time.Duration(float64(work) / rate)
}
