package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
)

// newConfigFollower returns the follower of the config stream.
func (d *Daemon) newConfigFollower() *streamFollower {
	var snapshotScheduled atomic.Bool
	return &streamFollower{
		client:   d.platform,
		stream:   logapi.StreamConfig,
		pollWait: configPollWait,
		logger:   d.logs.platform,
		nextOffset: func() (next uint64, known bool) {
			d.loop.query(func(_ time.Duration, s *core.State) { next = s.Config.Next() })
			return next, true
		},
		onTruncated: func(first, _ uint64) {
			level.Info(d.logs.config).Log("msg", "the log no longer keeps the next records; looking for a snapshot", "first", first)
			d.loop.send(core.ConfigTruncated{First: first})
		},
		onRecords: func(records []logapi.Record) {
			for _, r := range records {
				d.loop.send(core.ConfigRecord{Offset: r.Offset, Data: r.Data})
			}
		},
		onReply: func(first, _ uint64) {
			if d.snapshotDue(first) && snapshotScheduled.CompareAndSwap(false, true) {
				d.runInBackground(func(ctx context.Context) {
					defer snapshotScheduled.Store(false)
					d.appendSnapshotAfterDelay(ctx, first)
				})
			}
		},
	}
}

func (d *Daemon) snapshotDue(first uint64) (due bool) {
	p := &d.settings.Platform
	d.loop.query(func(now time.Duration, s *core.State) {
		due = s.SnapshotDue(now, first, p.SnapshotRecords, p.SnapshotAge)
	})
	return due
}

// appendSnapshotAfterDelay appends a snapshot after a random delay, unless another host has appended
// one by then. An append without an answer is not repeated here: a second snapshot of the same state
// has no effect, and a missing one becomes due again.
func (d *Daemon) appendSnapshotAfterDelay(ctx context.Context, first uint64) {
	if !pause.For(ctx, rand.N(d.settings.Platform.SnapshotDelay)) || !d.snapshotDue(first) {
		return
	}
	var data []byte
	var err error
	var next uint64
	d.loop.query(func(_ time.Duration, s *core.State) {
		data, err = s.Config.Snapshot()
		next = s.Config.Next()
	})
	if err == nil {
		_, err = d.platform.Append(ctx, logapi.StreamConfig, fmt.Sprintf("snapshot-%d", next), data)
	}
	if err != nil {
		level.Warn(d.logs.config).Log("msg", "a snapshot was not confirmed; it is tried again while due", "err", err)
		return
	}
	level.Info(d.logs.config).Log("msg", "snapshot appended", "next", next, "bytes", len(data))
}
