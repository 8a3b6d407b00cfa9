package platformsim

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"sesameledge.dev/sesameledge/internal/pause"
)

// maxQueuedAppends is the maximum number of appends that wait for the rate limit. At the default
// rate a full queue takes over 13 s.
const maxQueuedAppends = 4096

// errQueueFull reports that an append was rejected and has no effect.
var errQueueFull = errors.New("append queue is full")

// appendLimiter simulates the time that synced appends take: they queue behind a rate limit over
// all streams, and each then takes a fixed time.
type appendLimiter struct {
	limiter  *rate.Limiter
	syncTime time.Duration
	queued   atomic.Int64
}

func newAppendLimiter(perSecond float64, syncTime time.Duration) *appendLimiter {
	return &appendLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), 1), syncTime: syncTime}
}

// wait blocks until the simulated append is on stable storage. It returns errQueueFull if too many
// appends are queued, or an error if the context ends first.
func (l *appendLimiter) wait(ctx context.Context) error {
	defer l.queued.Add(-1)
	if l.queued.Add(1) > maxQueuedAppends {
		return errQueueFull
	}
	if err := l.limiter.Wait(ctx); err != nil {
		return err
	}
	return sleep(ctx, l.syncTime)
}

// sleep waits for the period. It returns the context's error if the context ends first.
func sleep(ctx context.Context, period time.Duration) error {
	if !pause.For(ctx, period) {
		return ctx.Err()
	}
	return nil
}
