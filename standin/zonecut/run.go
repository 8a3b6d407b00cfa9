package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/testbed"
)

const (
	cutZone     = "malabar"
	hostCount   = 7
	minionCount = 9 // three in each zone
	// minionSlots is small enough that the load of a zone sometimes overflows to minions of other zones.
	minionSlots = 4
	// startTimeout limits the time until new hosts see each other live.
	startTimeout    = 15 * time.Second
	publishInterval = 300 * time.Millisecond
	// crossCutDelay lets hosts notice the cut before jobs are submitted across it.
	crossCutDelay = 200 * time.Millisecond
	// platformCutRevisions is the number of revisions published while only the platform link is cut.
	platformCutRevisions = 6
	warmUpTime           = time.Second
	maxWarmUpTime        = 10 * time.Second
)

var zones = []string{"ernakulam", cutZone, "tvm-south"}

const configText = `schema: 1
teams: {association: {weight: %d}}
kinds: {estimate: {group: demo, default_deadline: 1500ms}}
groups: {demo: {endpoints: minion}}
`

// run is one deployment and its measurements.
type run struct {
	bed      *testbed.Deployment
	network  *network
	watcher  *watcher
	report   *report
	revision uint64 // last published revision
}

// measure starts a deployment, cuts a zone off for the given time and returns the report. A silent cut keeps
// open connections open but passes no data, also after healing. measure returns an error if it cannot start
// the deployment, inject the faults or read the results.
func measure(ctx context.Context, bin, dir string, cut time.Duration, silent bool, seed uint64) (*report, error) {
	r := &run{network: newNetwork(zones, silent), report: newReport(silent), revision: 1}
	defer r.network.stop()
	var err error
	r.bed, err = testbed.Start(ctx, testbed.Spec{BinDir: bin, Dir: dir, Zones: zones, Hosts: hostCount, Minions: minionCount,
		Group: "demo", SlotsPerMinion: minionSlots, Spread: -1, Seed: seed, Config: fmt.Sprintf(configText, 1), AdjustSettings: r.adjustSettings})
	if err != nil {
		return nil, err
	}
	defer r.bed.Stop()
	if err := r.network.routingError(); err != nil {
		return nil, err
	}
	if took, ok := awaitLive(ctx, r.bed, r.revision, startTimeout); !ok {
		return nil, errors.Newf("the hosts do not see each other live %v after the start", took)
	}
	return r.report, r.runScenario(ctx, cut, seed)
}

func (r *run) adjustSettings(n int, s *settings.Settings) {
	s.Tickets = settings.Tickets{Window: ticketWindow, MaxDeadline: jobDeadline}
	r.network.useProxies(n, s)
}

// awaitCrossZoneConnections waits until minions of other zones are in use and returns the number of
// connections to them. Tasks overflow to other zones only when their own zone is busy, which takes a while
// on a slow machine.
func (r *run) awaitCrossZoneConnections(ctx context.Context) int64 {
	ctx, cancel := context.WithTimeout(ctx, maxWarmUpTime)
	defer cancel()
	for r.network.crossZoneConnections(cutZone) == 0 && pause.For(ctx, pollInterval) {
	}
	return r.network.crossZoneConnections(cutZone)
}

func (r *run) runScenario(ctx context.Context, cut time.Duration, seed uint64) error {
	watchCtx, stop := context.WithCancel(ctx)
	r.watcher = startWatcher(watchCtx, r.bed)
	defer r.watcher.running.Wait()
	defer stop()
	callers := startLoad(ctx, r.bed, cutZone, seed)
	time.Sleep(warmUpTime)
	if r.report.crossZoneConnections = r.awaitCrossZoneConnections(ctx); r.report.crossZoneConnections == 0 {
		r.report.addFinding("no minion of another zone was used before the cut")
	}
	crossCutCallers, err := r.runZoneCut(ctx, cut)
	jobs := callers.stopAndWait()
	if err != nil {
		return err
	}
	if err := r.cutPlatformLink(ctx); err != nil {
		return err
	}
	if r.report.revisionRegressions = r.watcher.revisionRegressions(); r.report.revisionRegressions > 0 {
		r.report.addFinding("%d times a revision was lower than before", r.report.revisionRegressions)
	}
	return r.report.checkJobs(ctx, r.bed, jobs, crossCutCallers)
}

// runZoneCut cuts the zone off, publishes revisions during the cut, heals it and waits for recovery.
func (r *run) runZoneCut(ctx context.Context, cut time.Duration) ([]*crossCutCaller, error) {
	crossCutCallers, err := newCrossCutCallers(ctx, r.bed, cutZone)
	if err != nil {
		return nil, err
	}
	r.report.cutStart = time.Now()
	if err := r.network.setZoneCut(cutZone, true); err != nil {
		return nil, err
	}
	time.Sleep(crossCutDelay)
	limited, cancel := context.WithTimeout(ctx, cut+ticketLifetime+maxFinalDelay)
	defer cancel()
	wait := runCrossCutCallers(limited, crossCutCallers)
	defer wait()
	before := r.revision
	for time.Since(r.report.cutStart) < cut {
		if err := r.publish(ctx); err != nil {
			return nil, err
		}
		time.Sleep(publishInterval)
	}
	r.report.publishedRevisions = r.revision - before
	r.checkUnknownInside(before)
	return crossCutCallers, r.healAndCheck(ctx)
}

// checkUnknownInside checks that the cut is effective: no inside host knows a revision published outside.
func (r *run) checkUnknownInside(before uint64) {
	for _, h := range r.insideHostNames() {
		if _, ok := r.watcher.awaitInForce(h, before+1, time.Now()); ok {
			r.report.addFinding("%s got revision %d through the cut", h, before+1)
		}
	}
}

func (r *run) healAndCheck(ctx context.Context) error {
	r.report.cutEnd = time.Now()
	if err := r.network.setZoneCut(cutZone, false); err != nil {
		return err
	}
	for _, h := range r.insideHostNames() {
		at, ok := r.watcher.awaitInForce(h, r.revision, r.report.cutEnd.Add(2*maxConfigDelay))
		took := at.Sub(r.report.cutEnd)
		if !ok {
			r.report.addFinding("%s does not have revision %d %v after healing", h, r.revision, 2*maxConfigDelay)
			continue
		}
		r.report.healDelays = append(r.report.healDelays, took)
		if took > maxConfigDelay {
			r.report.addFinding("%s has revision %d in force %v after healing", h, r.revision, took)
		}
	}
	_, ok := awaitLive(ctx, r.bed, r.revision, maxLiveDelay)
	r.report.liveDelay = time.Since(r.report.cutEnd)
	if !ok || r.report.liveDelay > maxLiveDelay {
		r.report.addFinding("the hosts do not see each other live %v after healing", r.report.liveDelay)
	}
	return nil
}

// cutPlatformLink cuts only the zone's link to the platform and publishes revisions outside.
func (r *run) cutPlatformLink(ctx context.Context) error {
	if err := r.network.setRouteCut(cutZone, "platform", true, r.network.silent); err != nil {
		return err
	}
	for range platformCutRevisions {
		if err := r.publish(ctx); err != nil {
			return err
		}
		accepted := time.Now()
		for _, h := range r.insideHostNames() {
			r.measurePeerDelay(h, accepted)
		}
	}
	return r.network.setRouteCut(cutZone, "platform", false, false)
}

// measurePeerDelay measures how long after its acceptance the last revision reached a host through peers.
func (r *run) measurePeerDelay(host string, accepted time.Time) {
	at, ok := r.watcher.awaitInForce(host, r.revision, accepted.Add(2*maxConfigDelay))
	if !ok {
		r.report.addFinding("%s does not have revision %d by peers after %v", host, r.revision, 2*maxConfigDelay)
		return
	}
	took := max(at.Sub(accepted), 0)
	r.report.peerDelays = append(r.report.peerDelays, took)
	if took > maxConfigDelay {
		r.report.addFinding("%s has revision %d by peers after %v", host, r.revision, took)
	}
	if source := r.watcher.configSource(host); !strings.HasPrefix(source, "peer ") {
		r.report.addFinding("%s has revision %d from %q, not from a peer", host, r.revision, source)
	}
}

// publish publishes the next revision through the first host, which is outside the cut zone.
func (r *run) publish(ctx context.Context) error {
	text := fmt.Sprintf(configText, 1+r.revision%2)
	if err := r.bed.Publish(ctx, text, r.revision, "zonecut", "change during a cut"); err != nil {
		return errors.Wrapf(err, "publishing revision %d", r.revision+1)
	}
	r.revision++
	return nil
}

func (r *run) insideHostNames() []string {
	var out []string
	for _, h := range r.bed.Hosts {
		if h.Settings.Zone == cutZone {
			out = append(out, h.Settings.Host)
		}
	}
	return out
}
