package main

import (
	"context"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// pollInterval is the resolution of the times at which a revision came into force.
const pollInterval = 50 * time.Millisecond

// watcher polls the configuration of each host.
type watcher struct {
	mu      sync.Mutex
	hosts   map[string]*configHistory
	running sync.WaitGroup
}

// configHistory is the observed configuration history of one host.
type configHistory struct {
	latest, inForce     uint64
	source              string
	inForceSince        map[uint64]time.Time // first time at which a revision was in force
	revisionRegressions int
}

// startWatcher polls every host until ctx ends.
func startWatcher(ctx context.Context, bed *testbed.Deployment) *watcher {
	w := &watcher{hosts: make(map[string]*configHistory)}
	for _, h := range bed.Hosts {
		w.hosts[h.Settings.Host] = &configHistory{inForceSince: make(map[uint64]time.Time)}
	}
	for _, h := range bed.Hosts {
		w.running.Go(func() { w.pollHost(ctx, h) })
	}
	return w
}

func (w *watcher) pollHost(ctx context.Context, h *testbed.Host) {
	for ctx.Err() == nil {
		var dump struct {
			Config daemon.ConfigView `json:"config"`
		}
		if testbed.GetJSON(ctx, h.OperatorsURL()+"/debug/state", &dump) == nil {
			w.record(h.Settings.Host, dump.Config)
		}
		pause.For(ctx, pollInterval)
	}
}

func (w *watcher) record(host string, v daemon.ConfigView) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.hosts[host]
	if v.LatestRevision < s.latest || v.RevisionInForce < s.inForce {
		s.revisionRegressions++
	}
	now := time.Now()
	for r := s.inForce + 1; r <= v.RevisionInForce; r++ {
		s.inForceSince[r] = now
	}
	s.latest, s.inForce, s.source = v.LatestRevision, v.RevisionInForce, string(v.Source)
}

// awaitInForce waits until a host has a revision in force and returns the time at which this was first seen.
// It returns false if that does not happen before the limit.
func (w *watcher) awaitInForce(host string, revision uint64, limit time.Time) (time.Time, bool) {
	for {
		w.mu.Lock()
		at, ok := w.hosts[host].inForceSince[revision]
		w.mu.Unlock()
		if ok || time.Now().After(limit) {
			return at, ok
		}
		time.Sleep(pollInterval)
	}
}

// configSource returns the source that a host last reported for its configuration.
func (w *watcher) configSource(host string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[host].source
}

// revisionRegressions counts over all hosts how often a revision was lower than before.
func (w *watcher) revisionRegressions() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0
	for _, s := range w.hosts {
		sum += s.revisionRegressions
	}
	return sum
}

// allLive reports whether each host sees every host live with at least this configuration revision. The
// revision distinguishes a fresh view from one that dates from before the cut, because a host never considers
// a member of another zone gone.
func allLive(ctx context.Context, bed *testbed.Deployment, revision uint64) bool {
	for _, h := range bed.Hosts {
		var list []daemon.HostView
		if testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/hosts", &list) != nil {
			return false
		}
		live := 0
		for _, v := range list {
			if v.State == "live" && v.ConfigRevision >= revision {
				live++
			}
		}
		if live != len(bed.Hosts) {
			return false
		}
	}
	return true
}

// awaitLive waits until each host sees every host live with the revision and returns how long that took. It
// returns false after the limit.
func awaitLive(ctx context.Context, bed *testbed.Deployment, revision uint64, limit time.Duration) (time.Duration, bool) {
	began := time.Now()
	for !allLive(ctx, bed, revision) {
		if time.Since(began) > limit {
			return time.Since(began), false
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began), true
}
