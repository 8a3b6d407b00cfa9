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
	cutZone = "malabar"
	hosts   = 7
	minions = 9 // three in each zone
	// slots makes the load of a zone overflow to minions of other zones at times.
	slots = 4
	// startLimit bounds the time until new hosts see each other live.
	startLimit   = 15 * time.Second
	publishEvery = 300 * time.Millisecond
	// roamAfter lets hosts notice the cut before tickets cross it.
	roamAfter = 200 * time.Millisecond
	// peerRevisions is the number of revisions with only the platform link cut.
	peerRevisions = 6
	warmUp        = time.Second
	longestWarmUp = 10 * time.Second
)

var zones = []string{"ernakulam", cutZone, "tvm-south"}

const configText = `schema: 1
teams: {association: {weight: %d}}
kinds: {estimate: {group: demo, default_deadline: 1500ms}}
groups: {demo: {endpoints: minion}}
`

// run is one deployment and its measurements.
type run struct {
	bed      *testbed.Bed
	net      *network
	watcher  *watcher
	report   *report
	revision uint64 // last one published
}

// measure starts a deployment, cuts a zone off for the given time and reports. A silent cut
// leaves the open connections open without any data, also after healing. The error
// says that the deployment could not be started, disturbed or read.
func measure(ctx context.Context, bin, dir string, cut time.Duration, silent bool, seed uint64) (*report, error) {
	r := &run{net: newNetwork(zones, silent), report: newReport(silent), revision: 1}
	defer r.net.stop()
	var err error
	r.bed, err = testbed.Start(ctx, testbed.Spec{BinDir: bin, Dir: dir, Zones: zones, Hosts: hosts, Minions: minions,
		Group: "demo", Slots: slots, Spread: -1, Seed: seed, Config: fmt.Sprintf(configText, 1), Adjust: r.adjust})
	if err != nil {
		return nil, err
	}
	defer r.bed.Stop()
	if err := r.net.routed(); err != nil {
		return nil, err
	}
	if took, ok := awaitLive(ctx, r.bed, r.revision, startLimit); !ok {
		return nil, errors.Newf("the hosts do not see each other live %v after the start", took)
	}
	return r.report, r.scenario(ctx, cut, seed)
}

func (r *run) adjust(n int, s *settings.Settings) {
	s.Tickets = settings.Tickets{Window: ticketWindow, MaxDeadline: jobDeadline}
	r.net.adjust(n, s)
}

// awaitCrossed waits until minions of other zones are in use and returns the number of
// connections. Tasks overflow to other zones only when the own one is busy, which takes a
// while on a slow machine.
func (r *run) awaitCrossed(ctx context.Context) int64 {
	ctx, cancel := context.WithTimeout(ctx, longestWarmUp)
	defer cancel()
	for r.net.crossed(cutZone) == 0 && pause.For(ctx, pollEvery) {
	}
	return r.net.crossed(cutZone)
}

func (r *run) scenario(ctx context.Context, cut time.Duration, seed uint64) error {
	watching, stop := context.WithCancel(ctx)
	r.watcher = watch(watching, r.bed)
	defer r.watcher.wait.Wait()
	defer stop()
	callers := startLoad(ctx, r.bed, cutZone, seed)
	time.Sleep(warmUp)
	if r.report.crossed = r.awaitCrossed(ctx); r.report.crossed == 0 {
		r.report.find("no minion of another zone was used before the cut")
	}
	roamers, err := r.cutOff(ctx, cut)
	jobs := callers.end()
	if err != nil {
		return err
	}
	if err := r.platformOnly(ctx); err != nil {
		return err
	}
	if r.report.stepsBack = r.watcher.stepsBack(); r.report.stepsBack > 0 {
		r.report.find("%d times a revision was lower than before", r.report.stepsBack)
	}
	return r.report.checkJobs(ctx, r.bed, jobs, roamers)
}

// cutOff cuts the zone off, publishes during the cut, heals it and waits for recovery.
func (r *run) cutOff(ctx context.Context, cut time.Duration) ([]*roamer, error) {
	roamers, err := newRoamers(ctx, r.bed, cutZone)
	if err != nil {
		return nil, err
	}
	r.report.cutFrom = time.Now()
	if err := r.net.cutZone(cutZone, true); err != nil {
		return nil, err
	}
	time.Sleep(roamAfter)
	limited, cancel := context.WithTimeout(ctx, cut+lifetime+finalMargin)
	defer cancel()
	wait := runRoamers(limited, roamers)
	defer wait()
	before := r.revision
	for time.Since(r.report.cutFrom) < cut {
		if err := r.publish(ctx); err != nil {
			return nil, err
		}
		time.Sleep(publishEvery)
	}
	r.report.published = r.revision - before
	r.notInside(before)
	return roamers, r.heal(ctx)
}

// notInside checks that the cut holds: a revision published outside is unknown inside.
func (r *run) notInside(before uint64) {
	for _, h := range r.insideHosts() {
		if _, ok := r.watcher.inForceAt(h, before+1, time.Now()); ok {
			r.report.find("%s got revision %d through the cut", h, before+1)
		}
	}
}

func (r *run) heal(ctx context.Context) error {
	r.report.cutTill = time.Now()
	if err := r.net.cutZone(cutZone, false); err != nil {
		return err
	}
	for _, h := range r.insideHosts() {
		at, ok := r.watcher.inForceAt(h, r.revision, r.report.cutTill.Add(2*inForceWithin))
		took := at.Sub(r.report.cutTill)
		if !ok {
			r.report.find("%s does not have revision %d %v after healing", h, r.revision, 2*inForceWithin)
			continue
		}
		r.report.healed = append(r.report.healed, took)
		if took > inForceWithin {
			r.report.find("%s has revision %d in force %v after healing", h, r.revision, took)
		}
	}
	_, ok := awaitLive(ctx, r.bed, r.revision, liveWithin)
	r.report.live = time.Since(r.report.cutTill)
	if !ok || r.report.live > liveWithin {
		r.report.find("the hosts do not see each other live %v after healing", r.report.live)
	}
	return nil
}

// platformOnly cuts only the zone's link to the platform and publishes outside.
func (r *run) platformOnly(ctx context.Context) error {
	if err := r.net.set(cutZone, "platform", true, r.net.silent); err != nil {
		return err
	}
	for range peerRevisions {
		if err := r.publish(ctx); err != nil {
			return err
		}
		accepted := time.Now()
		for _, h := range r.insideHosts() {
			r.spreadTo(h, accepted)
		}
	}
	return r.net.set(cutZone, "platform", false, false)
}

// spreadTo measures when the last revision came to a host by its peers.
func (r *run) spreadTo(host string, accepted time.Time) {
	at, ok := r.watcher.inForceAt(host, r.revision, accepted.Add(2*inForceWithin))
	if !ok {
		r.report.find("%s does not have revision %d by peers after %v", host, r.revision, 2*inForceWithin)
		return
	}
	took := max(at.Sub(accepted), 0)
	r.report.byPeers = append(r.report.byPeers, took)
	if took > inForceWithin {
		r.report.find("%s has revision %d by peers after %v", host, r.revision, took)
	}
	if source := r.watcher.sourceOf(host); !strings.HasPrefix(source, "peer ") {
		r.report.find("%s has revision %d from %q, not from a peer", host, r.revision, source)
	}
}

// publish publishes the next revision through the first host, which is outside.
func (r *run) publish(ctx context.Context) error {
	text := fmt.Sprintf(configText, 1+r.revision%2)
	if err := r.bed.Publish(ctx, text, r.revision, "zonecut", "change during a cut"); err != nil {
		return errors.Wrapf(err, "publishing revision %d", r.revision+1)
	}
	r.revision++
	return nil
}

func (r *run) insideHosts() []string {
	var out []string
	for _, h := range r.bed.Hosts {
		if h.Settings.Zone == cutZone {
			out = append(out, h.Settings.Host)
		}
	}
	return out
}
