package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
)

const (
	// configPoll is how long a read of the config stream waits for new records. It bounds
	// how long an outage that hangs goes unnoticed, and costs one request a second.
	configPoll = time.Second
	// claimsPoll is the same for the claims stream, where an outage shows at the append.
	claimsPoll = 5 * time.Second
	// readGrace is how much longer than its wait a read may take before the log counts as
	// unreadable.
	readGrace = 500 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed read.
	minRetry = 250 * time.Millisecond
	maxRetry = time.Second
)

// streamFollower reads one stream of the log in order. The reducer's state decides which
// offset comes next, so a snapshot can move the position.
type streamFollower struct {
	client *logapi.Client
	stream string
	poll   time.Duration // how long a read waits for new records
	logger log.Logger
	// next returns the offset to read, or false if the position is to be set by start.
	next      func() (uint64, bool)
	start     func(first, next uint64)
	truncated func(first, next uint64)
	records   func([]logapi.Record)
	replied   func(first, next uint64)

	lastRead atomic.Int64 // when the log answered last, nanoseconds after began; 0 means never
	down     bool
}

// readable reports whether the log has answered lately.
func (f *streamFollower) readable() bool {
	last := f.lastRead.Load()
	return last != 0 && time.Since(began)-time.Duration(last) < f.poll+readGrace
}

// began is the origin of the followers' monotonic times.
var began = time.Now().Add(-time.Second)

// follow reads until the context ends.
func (f *streamFollower) follow(ctx context.Context) {
	retry := minRetry
	for ctx.Err() == nil {
		progress, err := f.readOnce(ctx)
		if err == nil {
			retry = minRetry
			f.noteUp()
			if !progress {
				// A log that answers at once with nothing must not be polled in a busy loop.
				pause.For(ctx, minRetry)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.noteDown(err)
		// The jitter keeps hosts from returning all at once after an outage.
		pause.For(ctx, retry/2+rand.N(retry/2))
		retry = min(2*retry, maxRetry)
	}
}

// readOnce reads the next records. It reports progress if records came, the position
// moved, or the log waited as asked.
func (f *streamFollower) readOnce(ctx context.Context) (bool, error) {
	next, known := f.next()
	wait := f.poll
	if !known {
		wait = 0
	}
	asked := time.Now()
	reply, err := f.client.Read(ctx, f.stream, next, wait)
	var gone *logapi.TruncatedError
	if errors.As(err, &gone) {
		reply, err = &logapi.ReadReply{First: gone.First, Next: gone.Next}, nil
	}
	if err != nil {
		return false, err
	}
	f.lastRead.Store(int64(time.Since(began)))
	switch {
	case !known:
		f.start(reply.First, reply.Next)
	case gone != nil:
		f.truncated(gone.First, gone.Next)
	default:
		f.records(reply.Records)
	}
	f.replied(reply.First, reply.Next)
	now, _ := f.next()
	return now != next || !known || time.Since(asked) >= f.poll/2, nil
}

func (f *streamFollower) noteUp() {
	if f.down {
		f.down = false
		level.Info(f.logger).Log("msg", "the log can be read again", "stream", f.stream)
	}
}

func (f *streamFollower) noteDown(err error) {
	if !f.down {
		f.down = true
		level.Warn(f.logger).Log("msg", "the log cannot be read; retrying", "stream", f.stream, "err", err)
	}
}
