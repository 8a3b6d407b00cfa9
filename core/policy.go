package core

import (
	"time"

	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/limit"
	"sesameledge.dev/sesameledge/place"
)

// deadlineUse is the part of its deadline that a job may be expected to take: all of it
// if messages don't matter, and half of it if they matter most.
func deadlineUse(messageWeight float64) float64 { return 1 - messageWeight/2 }

// stepOfWeight is the time in which the window of a job doubles if messages matter most.
// With the default weight it is 10 ms, in which the replies of endpoints that fail at once
// arrive.
const stepOfWeight = 20 * time.Millisecond

// leastWindow keeps the window above 0, which means no window.
const leastWindow = 0.01

// jobWindow is the share of a job's tasks that may be in flight at a time and the time in
// which this window doubles: all of them at once if messages don't matter, and all of them
// with the default weight too, but a few at first. The baselines have no window.
func jobWindow(p config.Policy) (share float64, step time.Duration) {
	if name := place.Placement(p.Placement); name != "" && name != place.Adaptive {
		return 0, 0
	}
	w := p.Weight()
	share = min(2*(1-w), 1)
	return max(share, leastWindow), time.Duration(w * float64(stepOfWeight))
}

// dispatchPolicy translates configuration into the dispatcher's policy.
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
			MaxWait:     c.Policy.MaxWait,
			DeadlineUse: deadlineUse(c.Policy.Weight()),
			RetryShare:  c.Policy.RetryShare,
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
