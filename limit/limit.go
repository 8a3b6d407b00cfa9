// Package limit decides which jobs one host accepts, which teams go first under overload, and how
// many refused tasks are sent again. It knows the work that waits on this host and the rate at
// which the host starts work.
//
// Package dispatch calls it, computes the work of jobs with package place, and keeps the queue.
// Package limit does no I/O and reads no clock: callers pass in the time.
package limit

import (
	"fmt"
	"time"

	"sesameledge.dev/sesameledge/internal/defaults"
)

// Team is the configuration of a team.
type Team struct {
	Weight   float64 // share of the slots relative to the weights of other teams; 0 means 1
	MaxTasks int     // limit of open tasks over all entry hosts; 0 means no limit
}

// Policy is the configuration of the limits. Zero values mean the defaults.
type Policy struct {
	Teams map[string]Team
	// MaxWait bounds a team's queue: by how long the team's share of the work rate takes for the
	// waiting work.
	MaxWait time.Duration
	// MaxDeadlineShare is the share of its deadline that a job may be expected to take. A lower value
	// refuses more jobs that would have ended in time, and accepts fewer that miss their deadline
	// and waste messages.
	MaxDeadlineShare float64
	// RetryShare bounds retries of refused tasks, as a share of first attempts.
	RetryShare float64
}

// Defaults of Policy.
const (
	DefaultMaxWait          = 1500 * time.Millisecond
	DefaultMaxDeadlineShare = 0.8
	DefaultRetryShare       = 0.05
)

// Job describes a submitted job to Admit. Work is slot time at the typical speed.
type Job struct {
	Team              string
	Group             string
	Tasks             int
	OpenTasks         int           // the team's open tasks on this host
	Work              time.Duration // work of the job
	IdealResponseTime time.Duration // expected response time if every slot were free
	Deadline          time.Duration // time left until the deadline
	WorkAhead         time.Duration // waiting work that goes before the job
	TeamWorkAhead     time.Duration // the part of WorkAhead that is of the job's team
}

// Cause is the reason for which a job is refused.
type Cause int

// The causes of a refusal.
const (
	// Quota means that the job would take the team beyond the number of open tasks it may have.
	Quota Cause = iota + 1
	// Overload means that the team's queue on this host is too long.
	Overload
	// TooLate means that the job is expected to miss its deadline.
	TooLate
)

// Refusal is the decision not to accept a job. Message gives the reason in one sentence.
type Refusal struct {
	Cause   Cause
	Message string
}

// Limiter holds the limits of one host. It is not safe for concurrent use.
type Limiter struct {
	policy       Policy
	hosts        int
	capacity     map[string]float64       // by group, for all hosts together, in slots of the typical speed
	groupRates   map[string]*decayingRate // by group: work started by this host
	teamUsage    map[string]*decayingRate // by team: work started by this host
	waitingWork  map[string]time.Duration // by team: work that waits on this host
	waitingTeams []string                 // teams with waiting work; sorted, so that the rounding of sums doesn't depend on map order
	retries      retryBudget
}

// New returns a Limiter with the default policy.
func New() *Limiter {
	l := &Limiter{
		hosts:       1,
		capacity:    make(map[string]float64),
		groupRates:  make(map[string]*decayingRate),
		teamUsage:   make(map[string]*decayingRate),
		waitingWork: make(map[string]time.Duration),
	}
	l.SetPolicy(Policy{})
	return l
}

// SetPolicy replaces the policy. Learned rates and waiting work are kept.
func (l *Limiter) SetPolicy(p Policy) {
	defaults.SetIfZero(&p.MaxWait, DefaultMaxWait)
	defaults.SetIfZero(&p.MaxDeadlineShare, DefaultMaxDeadlineShare)
	defaults.SetIfZero(&p.RetryShare, DefaultRetryShare)
	l.policy = p
	l.retries.refillPerAttempt = p.RetryShare
}

// SetHosts sets the number of live entry hosts over which quotas and capacity are split, this one
// included.
func (l *Limiter) SetHosts(n int) { l.hosts = max(n, 1) }

// SetCapacity sets the capacity of a group: what its endpoints run at a time for all hosts
// together, in slots of the typical speed.
func (l *Limiter) SetCapacity(group string, slots float64) { l.capacity[group] = slots }

// Admit decides whether to accept a job. It returns the refusal and true, or false to accept the
// job.
func (l *Limiter) Admit(now time.Duration, j Job) (Refusal, bool) {
	if hostQuota := l.hostQuota(j.Team); hostQuota > 0 && j.OpenTasks+j.Tasks > hostQuota {
		return refusal(Quota, "team %s has %d open tasks of its %d on this host", j.Team, j.OpenTasks, hostQuota)
	}
	workRate := l.workRate(now, j.Group)
	if workRate <= 0 {
		return Refusal{}, false
	}
	wait := timeForWork(j.WorkAhead, workRate)
	if expected := wait + j.IdealResponseTime; expected > time.Duration(l.policy.MaxDeadlineShare*float64(j.Deadline)) {
		return refusal(TooLate, "the job is expected to take %v of its deadline of %v", expected.Round(time.Millisecond), j.Deadline)
	}
	if j.TeamWorkAhead == 0 {
		return Refusal{}, false
	}
	if ownWait := timeForWork(j.TeamWorkAhead, workRate*l.fairShare(j.Team)); ownWait > l.policy.MaxWait {
		return refusal(Overload, "team %s has work for %v waiting on this host", j.Team, ownWait.Round(time.Millisecond))
	}
	return Refusal{}, false
}

func refusal(cause Cause, format string, args ...any) (Refusal, bool) {
	return Refusal{Cause: cause, Message: fmt.Sprintf(format, args...)}, true
}

// hostQuota returns this host's part of the team's quota of open tasks; 0 means no limit.
func (l *Limiter) hostQuota(team string) int {
	total := l.policy.Teams[team].MaxTasks
	return (total + l.hosts - 1) / l.hosts
}

// workRate returns the work that this host starts per time, in slots of the typical speed: what it
// measured, or its part of the group's capacity if that is more, since an idle host measures
// little.
func (l *Limiter) workRate(now time.Duration, group string) float64 {
	measured := 0.0
	if r := l.groupRates[group]; r != nil {
		measured = r.perSecond(now)
	}
	return max(measured, l.capacity[group]/float64(l.hosts))
}

// timeForWork returns how long the work takes at a rate, which is in slots.
func timeForWork(work time.Duration, workRate float64) time.Duration {
	return time.Duration(float64(work) / workRate)
}
