package platformsim

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"sesameledge.dev/sesameledge/internal/pause"
)

// maxQueuedAppends bounds the appends that wait for the rate limit. At the default rate
// it is a queue of over 13 s.
const maxQueuedAppends = 4096

// errQueueFull reports that an append was refused and has no effect.
var errQueueFull = errors.New("append queue is full")

// syncer models the cost of synced appends: a rate limit over all streams, behind which
// appends queue, and a fixed time for each.
type syncer struct {
	limiter *rate.Limiter
	time    time.Duration
	queued  atomic.Int64
}

func newSyncer(perSecond float64, syncTime time.Duration) *syncer {
	return &syncer{limiter: rate.NewLimiter(rate.Limit(perSecond), 1), time: syncTime}
}

// wait returns when the append is on stable storage. It fails with errQueueFull, or with
// the context's error.
func (s *syncer) wait(ctx context.Context) error {
	defer s.queued.Add(-1)
	if s.queued.Add(1) > maxQueuedAppends {
		return errQueueFull
	}
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	return sleep(ctx, s.time)
}

// sleep waits for the period or until the context ends, and returns the context's error.
func sleep(ctx context.Context, period time.Duration) error {
	if !pause.For(ctx, period) {
		return ctx.Err()
	}
	return nil
}
