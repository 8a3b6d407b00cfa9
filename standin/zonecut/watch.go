package main

import (
	"context"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// pollEvery is the resolution of the times at which a revision was in force.
const pollEvery = 50 * time.Millisecond

// watcher follows the configuration of each host.
type watcher struct {
	mu    sync.Mutex
	hosts map[string]*seen
	wait  sync.WaitGroup
}

// seen is what a host has shown of its configuration.
type seen struct {
	latest, inForce uint64
	source          string
	since           map[uint64]time.Time // first time at which a revision was in force
	stepsBack       int
}

// watch follows every host until the context ends.
func watch(ctx context.Context, bed *testbed.Bed) *watcher {
	w := &watcher{hosts: make(map[string]*seen)}
	for _, h := range bed.Hosts {
		w.hosts[h.Settings.Host] = &seen{since: make(map[uint64]time.Time)}
	}
	for _, h := range bed.Hosts {
		w.wait.Go(func() { w.follow(ctx, h) })
	}
	return w
}

func (w *watcher) follow(ctx context.Context, h *testbed.Host) {
	for ctx.Err() == nil {
		var dump struct {
			Config daemon.ConfigView `json:"config"`
		}
		if testbed.GetJSON(ctx, h.OperatorsURL()+"/debug/state", &dump) == nil {
			w.add(h.Settings.Host, dump.Config)
		}
		pause.For(ctx, pollEvery)
	}
}

func (w *watcher) add(host string, v daemon.ConfigView) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.hosts[host]
	if v.Latest < s.latest || v.InForce < s.inForce {
		s.stepsBack++
	}
	now := time.Now()
	for r := s.inForce + 1; r <= v.InForce; r++ {
		s.since[r] = now
	}
	s.latest, s.inForce, s.source = v.Latest, v.InForce, string(v.Source)
}

// inForceAt returns when a host had a revision in force, waiting until the limit. It
// reports false if that did not happen.
func (w *watcher) inForceAt(host string, revision uint64, limit time.Time) (time.Time, bool) {
	for {
		w.mu.Lock()
		at, ok := w.hosts[host].since[revision]
		w.mu.Unlock()
		if ok || time.Now().After(limit) {
			return at, ok
		}
		time.Sleep(pollEvery)
	}
}

// sourceOf returns where a host says that its configuration came from.
func (w *watcher) sourceOf(host string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[host].source
}

// stepsBack counts over all hosts how often a revision was lower than before.
func (w *watcher) stepsBack() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0
	for _, s := range w.hosts {
		sum += s.stepsBack
	}
	return sum
}

// allLive reports whether each host sees every host live and confirming the revision. The
// revision tells a fresh view from one of before the cut, because a host takes no member
// of another zone for gone.
func allLive(ctx context.Context, bed *testbed.Bed, revision uint64) bool {
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

// awaitLive waits until each host sees every host live with the revision and returns how
// long it took. It reports false after the limit.
func awaitLive(ctx context.Context, bed *testbed.Bed, revision uint64, limit time.Duration) (time.Duration, bool) {
	began := time.Now()
	for !allLive(ctx, bed, revision) {
		if time.Since(began) > limit {
			return time.Since(began), false
		}
		time.Sleep(pollEvery)
	}
	return time.Since(began), true
}
