package worker

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
)

// lease is a lease of this incarnation. Once it has lapsed, the next one takes its place;
// the platform has stopped its tasks and refuses further starts under it.
type lease struct {
	id      string
	granted bool
	lapsed  bool
	open    int           // attempts that were sent under it and have not ended
	wake    chan struct{} // the follower has something to follow
}

// nextLease returns the lease that follows. The caller holds mu, except in New.
func (r *Runner) nextLease() *lease {
	r.leases++
	return &lease{id: fmt.Sprintf("%s/%d", r.opts.Incarnation, r.leases), wake: make(chan struct{}, 1)}
}

// drop takes an ended attempt off the lease. The caller holds mu.
func (l *lease) drop() {
	if l != nil {
		l.open--
	}
}

// grantedLease returns a lease for the next start, and gets it granted if need be. It
// returns nil only when the context ends.
func (r *Runner) grantedLease(ctx context.Context) *lease {
	delay := minRetry
	for ctx.Err() == nil {
		l, granted := r.currentLease()
		if granted {
			return l
		}
		if r.renew(ctx, l) {
			r.running.Go(func() { r.renewLoop(ctx, l) })
			r.running.Go(func() { r.followLoop(ctx, l) })
			return l
		}
		pause.For(ctx, delay)
		delay = min(2*delay, maxRetry)
	}
	return nil
}

func (r *Runner) currentLease() (*lease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, r.lease.granted
}

// renew grants or renews a lease and reports whether the platform confirmed it.
func (r *Runner) renew(ctx context.Context, l *lease) bool {
	r.counters.leases.Add(1)
	err := r.opts.Platform.RenewLease(ctx, l.id, r.opts.LeaseTTL)
	if errors.Is(err, logapi.ErrLeaseLapsed) {
		r.lapse(l)
		return false
	}
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l.granted = true
	return !l.lapsed
}

// lapse makes the next lease current. The follower of the lapsed one ends its attempts.
func (r *Runner) lapse(l *lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.lapsed {
		return
	}
	r.counters.lapses.Add(1)
	l.lapsed = true
	if r.lease == l {
		r.lease = r.nextLease()
	}
	wake(l.wake)
}

// renewLoop renews a lease until it lapses.
func (r *Runner) renewLoop(ctx context.Context, l *lease) {
	delay := r.opts.LeaseTTL / 3
	for pause.For(ctx, delay) && !r.hasLapsed(l) {
		delay = r.opts.LeaseTTL / 3
		if !r.renew(ctx, l) {
			delay = min(maxRetry, r.opts.LeaseTTL/10)
		}
	}
}

func (r *Runner) hasLapsed(l *lease) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.lapsed
}
