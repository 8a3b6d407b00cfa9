// Package timing holds the times that together decide how long a run can outlast the wish for it. It does
// no I/O. Packages sched and host take their time limits from it, and package entry checks the settings
// of a deployment with it. docs/design/lease-budget.md has the table of the causes of a stop.
package timing

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultResendAfter, DefaultMaxLease and DefaultRunEnd are assumed where the settings name no value.
	DefaultResendAfter = 1300 * time.Millisecond
	DefaultMaxLease    = time.Second
	DefaultRunEnd      = 50 * time.Millisecond
	// MinClockRate is the lowest rate at which the steady clock of a worker may run, relative to that of
	// the host. A lease is reckoned on the clock of the worker, so a slow one makes it longer.
	MinClockRate = 0.98
	// MinLease is the shortest lease with which workers can be held: a hold waits for 250 ms for the end
	// of a run, and two calls of 100 ms have to fit in besides.
	MinLease = 450 * time.Millisecond

	// contactTimeout is the time after the last contact with a host, or after the last look at the caller of a job, from
	// which on nothing is done for the jobs any more. Shorter values take hosts with a congested link for lost ones.
	contactTimeout = 450 * time.Millisecond
	// lease is the length of a granted lease where the deployment allows it.
	lease = 700 * time.Millisecond
	// horizon is the time after a caller was last seen at which all leases granted for its job have ended. At
	// contactTimeout it still leaves a lease with which a hold is answered in time on a slow link.
	horizon = 1000 * time.Millisecond
	// schedulingMargin covers timers that fire late on the workers, and the time until the break of a caller's
	// connection reaches the kernel of its host.
	schedulingMargin = 50 * time.Millisecond
)

// Limits are the times of a deployment that its settings name. 0 stands for the default.
type Limits struct {
	ResendAfter time.Duration // after a broken connection, from which on callers send a job again
	MaxLease    time.Duration // longest lease that a worker allows
	// RunEnd is the longest time that a worker takes, on its own clock, to end a run once its lease has lapsed
	// or it has taken a stop.
	RunEnd time.Duration
}

// Budget holds the time limits of a deployment. Create it with New.
type Budget struct {
	Limits
	ContactTimeout time.Duration // time since a caller was last seen above which its job gets no more leases
	Lease          time.Duration // longest that is granted by a start or a hold, on the clock of the worker
	Horizon        time.Duration // the same at which all leases granted for the job have ended
}

// New returns the time limits of a deployment. Those of a larger ResendAfter than the default are those of the
// default; for a smaller one, or a longer RunEnd, the lease is shortened. It returns an error if no lease is left
// with which workers can be held.
func New(l Limits) (Budget, error) {
	l.ResendAfter = cmp.Or(l.ResendAfter, DefaultResendAfter)
	l.MaxLease = cmp.Or(l.MaxLease, DefaultMaxLease)
	l.RunEnd = cmp.Or(l.RunEnd, DefaultRunEnd)
	b := Budget{Limits: l, ContactTimeout: contactTimeout}
	b.Horizon = min(horizon, l.ResendAfter-b.RunOver(schedulingMargin))
	left := time.Duration(float64(l.ResendAfter-b.RunOver(contactTimeout+schedulingMargin)) * MinClockRate)
	b.Lease = min(lease, l.MaxLease, left.Truncate(time.Millisecond))
	if l.MaxLease < MinLease {
		return b, errors.Newf("a lease of at most %v is too short to hold workers; they need %v", l.MaxLease, MinLease)
	}
	if b.Lease < MinLease {
		b.Lease, b.Horizon = MinLease, contactTimeout+OnHostClock(MinLease)
		return b, errors.Newf("callers send a job again after %v, but its earlier runs may go on for %v: %v to notice a lost host, %v for the shortest lease and %v to end them on a clock 2%% slow, and %v to spare",
			l.ResendAfter, b.LongestRun().Round(time.Millisecond), b.ContactTimeout, OnHostClock(b.Lease).Round(time.Millisecond), b.RunOver(0).Round(time.Millisecond), schedulingMargin)
	}
	return b, nil
}

// Default returns the time limits of a deployment that names none.
func Default() Budget {
	b, err := New(Limits{})
	if err != nil {
		panic(err) // the default values add up; a test shows it
	}
	return b
}

// LeaseAfter returns the length of a lease, on the clock of the worker, that is granted at a time after the caller was
// last seen. It gets shorter with that time, so that it ends at Horizon on the slowest clock.
func (b Budget) LeaseAfter(age time.Duration) time.Duration {
	left := time.Duration(float64(b.Horizon-age) * MinClockRate)
	return max(0, min(b.Lease, left.Truncate(time.Millisecond)))
}

// RunOver returns when a run is over that a worker begins to end at a time, whether its lease has lapsed or the
// worker has taken a stop. Nothing that rests on the end of a run may happen earlier, unless the worker itself has
// listed the end.
func (b Budget) RunOver(begun time.Duration) time.Duration { return begun + OnHostClock(b.RunEnd) }

// LongestRun returns the time for which a run can go on after its caller's connection has broken. It is
// the sum that has to stay below ResendAfter: no lease outlasts the last time at which the caller was seen by more than
// Horizon, and a stop that stays without answer does not lengthen this.
func (b Budget) LongestRun() time.Duration {
	lapse := min(b.Horizon, b.ContactTimeout+OnHostClock(b.Lease).Round(time.Millisecond))
	return b.RunOver(lapse) + schedulingMargin
}

// OnHostClock returns how long a time on the clock of a worker takes at most on that of a host.
func OnHostClock(d time.Duration) time.Duration { return time.Duration(float64(d) / MinClockRate) }
