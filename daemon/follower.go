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
	// configPollWait is how long a read of the config stream waits for new records. It limits how long
	// an outage in which reads hang goes unnoticed, at the cost of one request per second.
	configPollWait = time.Second
	// claimsPollWait is the same for the claims stream. It is longer because failing appends also
	// reveal an outage.
	claimsPollWait = 5 * time.Second
	// readGrace is how much longer than its wait a read may take before the log counts as unreadable.
	readGrace = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the pause after a failed read.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = time.Second
)

// streamFollower reads one stream of the log in order. The state machine determines the next offset,
// so a snapshot can move the position.
type streamFollower struct {
	client   *logapi.Client
	stream   string
	pollWait time.Duration // how long a read waits for new records
	logger   log.Logger
	// nextOffset returns the offset to read, or false if there is no position yet; then onStart sets
	// it.
	nextOffset  func() (uint64, bool)
	onStart     func(first, next uint64)
	onTruncated func(first, next uint64)
	onRecords   func([]logapi.Record)
	onReply     func(first, next uint64)

	lastReplyNanos atomic.Int64 // when the log answered last, nanoseconds after monotonicOrigin; 0 means never
	failing        bool
}

// readable reports whether the log has answered within pollWait + readGrace.
func (f *streamFollower) readable() bool {
	last := f.lastReplyNanos.Load()
	return last != 0 && time.Since(monotonicOrigin)-time.Duration(last) < f.pollWait+readGrace
}

// monotonicOrigin is the zero point of lastReplyNanos. It lies before the start, so that no reply is
// stored as 0.
var monotonicOrigin = time.Now().Add(-time.Second)

// follow reads the stream until the context ends.
func (f *streamFollower) follow(ctx context.Context) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		progress, err := f.readOnce(ctx)
		if err == nil {
			retryDelay = minRetryDelay
			f.recordReadSuccess()
			if !progress {
				// Avoids a busy loop if the log returns at once without records.
				pause.For(ctx, minRetryDelay)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.recordReadFailure(err)
		// The jitter spreads the reads of all hosts after an outage.
		pause.For(ctx, retryDelay/2+rand.N(retryDelay/2))
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// readOnce reads the next records. It reports progress if records came, the position moved, or the log
// waited about as long as it was asked to.
func (f *streamFollower) readOnce(ctx context.Context) (bool, error) {
	next, known := f.nextOffset()
	wait := f.pollWait
	if !known {
		wait = 0
	}
	sentAt := time.Now()
	reply, err := f.client.Read(ctx, f.stream, next, wait)
	var truncatedErr *logapi.TruncatedError
	if errors.As(err, &truncatedErr) {
		reply, err = &logapi.ReadReply{First: truncatedErr.First, Next: truncatedErr.Next}, nil
	}
	if err != nil {
		return false, err
	}
	f.lastReplyNanos.Store(int64(time.Since(monotonicOrigin)))
	switch {
	case !known:
		f.onStart(reply.First, reply.Next)
	case truncatedErr != nil:
		f.onTruncated(truncatedErr.First, truncatedErr.Next)
	default:
		f.onRecords(reply.Records)
	}
	f.onReply(reply.First, reply.Next)
	now, _ := f.nextOffset()
	return now != next || !known || time.Since(sentAt) >= f.pollWait/2, nil
}

func (f *streamFollower) recordReadSuccess() {
	if f.failing {
		f.failing = false
		level.Info(f.logger).Log("msg", "the log can be read again", "stream", f.stream)
	}
}

func (f *streamFollower) recordReadFailure(err error) {
	if !f.failing {
		f.failing = true
		level.Warn(f.logger).Log("msg", "the log cannot be read; retrying", "stream", f.stream, "err", err)
	}
}
