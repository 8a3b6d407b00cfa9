package core

import (
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/limit"
	"sesameledge.dev/sesameledge/place"
)

// maxDeadlineShare returns the largest share of a job's deadline that the job may be expected to
// take: 1 if messages have no weight, and 0.5 if they have the greatest weight.
func maxDeadlineShare(messageWeight float64) float64 { return 1 - messageWeight/2 }

// maxWindowStep is the time in which the window of a job doubles when messages have the greatest
// weight. With the default weight the time is 10 ms, in which the replies of endpoints that fail
// at once arrive.
const maxWindowStep = 20 * time.Millisecond

// minWindowShare is the smallest window. It is above 0 because 0 means no window.
const minWindowShare = 0.01

// jobWindow returns the share of a job's tasks that may be in flight at a time, and the time in
// which this window doubles from its initial size. If messages have no weight, all tasks may be
// in flight at once. With the default weight all may be too, but the window starts with a few
// tasks. Placements that serve as baselines (all but place.Adaptive) have no window.
func jobWindow(p config.Policy) (share float64, step time.Duration) {
	if name := place.Placement(p.Placement); name != "" && name != place.Adaptive {
		return 0, 0
	}
	weight := p.Weight()
	share = min(2*(1-weight), 1)
	return max(share, minWindowShare), time.Duration(weight * float64(maxWindowStep))
}

// dispatchPolicy converts the configuration to the dispatcher's policy.
func dispatchPolicy(c *config.Config) *dispatch.Policy {
	p := &dispatch.Policy{
		Kinds:       make(map[string]dispatch.Kind, len(c.Kinds)),
		Teams:       make(map[string]dispatch.Team, len(c.Teams)),
		MaxTasks:    c.Policy.MaxTasks,
		MaxAttempts: c.Policy.MaxAttempts,
		RetryDelay:  c.Policy.RetryDelay,
		Place: place.Policy{
			Placement:  place.Placement(c.Policy.Placement),
			MaxEjected: c.Policy.MaxEjected,
		},
		Limit: limit.Policy{
			MaxWait:          c.Policy.MaxWait,
			MaxDeadlineShare: maxDeadlineShare(c.Policy.Weight()),
			RetryShare:       c.Policy.RetryShare,
		},
	}
	p.JobWindow, p.WindowStep = jobWindow(c.Policy)
	for name, k := range c.Kinds {
		p.Kinds[name] = dispatch.Kind{
			Group:           k.Group,
			Workers:         c.Groups[k.Group].Endpoints == "worker",
			Idempotent:      k.Idempotent,
			DefaultDeadline: k.DefaultDeadline,
			MaxTasks:        k.MaxTasks,
		}
	}
	for name, t := range c.Teams {
		p.Teams[name] = dispatch.Team{Weight: t.Weight, MaxTasks: t.MaxTasks}
	}
	return p
}
