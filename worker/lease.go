package worker

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
)

// lease is a lease of this incarnation. When a lease lapses, the platform stops its tasks and
// refuses further starts under it, and the next lease replaces it.
type lease struct {
	id           string
	granted      bool
	lapsed       bool
	openAttempts int           // number of attempts that were sent under it and have not ended
	wake         chan struct{} // signals pollLoop that an attempt is open or that the lease has lapsed
}

// nextLease returns a new lease with the next number. The caller holds mu, except in New.
func (r *Runner) nextLease() *lease {
	r.lastLeaseNumber++
	return &lease{id: fmt.Sprintf("%s/%d", r.opts.Incarnation, r.lastLeaseNumber), wake: make(chan struct{}, 1)}
}

// removeAttempt removes an ended attempt from the count of open ones. A nil lease means that the
// attempt was never sent. The caller holds mu.
func (l *lease) removeAttempt() {
	if l != nil {
		l.openAttempts--
	}
}

// grantedLease returns the lease for the next start. It requests the lease from the platform, with
// repetitions, until it is granted, and returns nil only when the context ends.
func (r *Runner) grantedLease(ctx context.Context) *lease {
	delay := minRetryDelay
	for ctx.Err() == nil {
		l, granted := r.currentLease()
		if granted {
			return l
		}
		if r.renew(ctx, l) {
			r.running.Go(func() { r.renewLoop(ctx, l) })
			r.running.Go(func() { r.pollLoop(ctx, l) })
			return l
		}
		pause.For(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

func (r *Runner) currentLease() (*lease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, r.lease.granted
}

// renew requests or renews a lease and reports whether the platform granted it.
func (r *Runner) renew(ctx context.Context, l *lease) bool {
	r.counters.leaseMessages.Add(1)
	err := r.opts.Platform.RenewLease(ctx, l.id, r.opts.LeaseTTL)
	if errors.Is(err, logapi.ErrLeaseLapsed) {
		r.handleLapse(l)
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

// handleLapse marks a lease as lapsed and makes the next lease current. The pollLoop of the lapsed
// lease sees to the end of its attempts.
func (r *Runner) handleLapse(l *lease) {
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
			delay = min(maxRetryDelay, r.opts.LeaseTTL/10)
		}
	}
}

func (r *Runner) hasLapsed(l *lease) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.lapsed
}
