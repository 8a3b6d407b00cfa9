package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/proxysim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// publishPause is the pause between publications of one operator. It is shorter than in
// production, where 38,000 changes a day are one every 2.3 s.
const publishPause = 50 * time.Millisecond

// measurePropagation measures the time from the sending of a publication until it is in force
// on the last host, according to the times in the hosts' log files. The time includes the
// append to the platform's log.
func (b *bench) measurePropagation(ctx context.Context) error {
	times, err := b.publishSequentially(ctx, b.args.Single, 0, b.bed.Hosts)
	if err != nil {
		return err
	}
	printDurations("all hosts with the platform: sent to in force on the last host", times)
	return nil
}

// measurePropagationOverPeers measures the same time for the last host, first while the host is
// cut off from the platform, then while its connections to the platform drop all data. In the
// second case the connections go silent just before each publication.
func (b *bench) measurePropagationOverPeers(ctx context.Context) error {
	last := b.bed.Hosts[len(b.bed.Hosts)-1:]
	cut, open := true, false
	if err := b.proxy.SetFault(proxysim.FaultRequest{Route: "*", Cut: &cut}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	times, err := b.publishSequentially(ctx, b.args.Single/4, 200*time.Millisecond, last)
	if err != nil {
		return err
	}
	printDurations("host cut off from the platform: sent to in force there", times)
	if err := b.proxy.SetFault(proxysim.FaultRequest{Route: "*", Cut: &open}); err != nil {
		return err
	}
	var silentTimes []time.Duration
	for range max(b.args.Single/20, 3) {
		time.Sleep(time.Second)
		if err := b.proxy.SetFault(proxysim.FaultRequest{Route: "*", BlackHole: true}); err != nil {
			return err
		}
		one, err := b.publishSequentially(ctx, 1, 0, last)
		if err != nil {
			return err
		}
		silentTimes = append(silentTimes, one...)
	}
	printDurations("host whose connections go silent: sent to in force there", silentTimes)
	return nil
}

// publishSequentially publishes n revisions one after the other through the first host. For
// each it returns the time from its sending until it is in force on all of the given hosts.
func (b *bench) publishSequentially(ctx context.Context, n int, pause time.Duration, hosts []*testbed.Host) ([]time.Duration, error) {
	var sent []publication
	for range n {
		p, err := b.publish(ctx, b.bed.Hosts[0], "operator")
		if err != nil || !p.reply.Accepted {
			return nil, errors.Newf("publishing: %v %+v", err, p.reply)
		}
		sent = append(sent, p)
		time.Sleep(pause + publishPause)
	}
	if err := b.waitForRevision(ctx, sent[n-1].reply.Revision); err != nil {
		return nil, err
	}
	times := make([]time.Duration, n)
	for _, h := range hosts {
		inForce, err := b.readInForceTimes(h)
		if err != nil {
			return nil, err
		}
		for i, p := range sent {
			times[i] = max(times[i], firstInForceAt(inForce, p.reply.Revision).Sub(p.sent))
		}
	}
	return times, nil
}

// revisionInForce records when a revision took effect on a host.
type revisionInForce struct {
	revision uint64
	at       time.Time
}

var inForceLogLine = regexp.MustCompile(`ts=(\S+) .*msg="revision in force" revision=(\d+)`)

// readInForceTimes reads from a host's log file when its revisions took effect.
func (b *bench) readInForceTimes(h *testbed.Host) ([]revisionInForce, error) {
	f, err := os.Open(filepath.Join(b.bed.Spec.Dir, h.Settings.Host+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var out []revisionInForce
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		m := inForceLogLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, m[1])
		if err != nil {
			return nil, err
		}
		n, err := strconv.ParseUint(m[2], 10, 64)
		if err != nil {
			return nil, err
		}
		out = append(out, revisionInForce{n, at})
	}
	return out, lines.Err()
}

// firstInForceAt returns when the revision, or a later one that replaced it, took effect. It
// returns the zero time if neither did.
func firstInForceAt(times []revisionInForce, revision uint64) time.Time {
	for _, t := range times {
		if t.revision >= revision {
			return t.at
		}
	}
	return time.Time{}
}

// measureRestarts restarts all hosts one after the other, then all at once, during an outage in
// which requests to the platform's log hang.
func (b *bench) measureRestarts(ctx context.Context) error {
	hang, none := platformsim.OutageHang, platformsim.OutageOff
	outage := func(o platformsim.Outage) error {
		return b.setFaults(ctx, platformsim.FaultsRequest{Service: platformsim.ServiceLog, Outage: &o})
	}
	hostStatus, err := status(ctx, b.bed.Hosts[0])
	if err != nil {
		return err
	}
	if err := outage(hang); err != nil {
		return err
	}
	var times []time.Duration
	sources := make(map[string]int)
	for _, h := range b.bed.Hosts {
		h.Kill()
		began := time.Now()
		if err := b.bed.StartHost(h); err != nil {
			return err
		}
		if err := b.waitForRevision(ctx, hostStatus.RevisionInForce); err != nil {
			return err
		}
		times = append(times, time.Since(began))
		var dump daemon.Dump
		if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/debug/state", &dump); err != nil {
			return err
		}
		sources[string(dump.Config.Source)[:4]]++
	}
	printDurations("restart of each host during an outage: start to in force", times)
	fmt.Printf("  sources: %v\n", sources)
	for _, h := range b.bed.Hosts {
		h.Kill()
	}
	for _, h := range b.bed.Hosts {
		if err := b.bed.StartHost(h); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	if err := outage(none); err != nil {
		return err
	}
	began := time.Now()
	if err := b.waitForRevision(ctx, hostStatus.RevisionInForce); err != nil {
		return err
	}
	fmt.Printf("restart of all hosts at once during an outage: in force on all %v after its end\n", time.Since(began).Round(time.Millisecond))
	return nil
}

// printDurations prints the median, the 99th percentile and the maximum of the
// durations. It sorts them.
func printDurations(name string, times []time.Duration) {
	slices.Sort(times)
	quantile := func(share float64) time.Duration {
		return times[min(int(share*float64(len(times))), len(times)-1)].Round(100 * time.Microsecond)
	}
	fmt.Printf("%s (%d): median %v, p99 %v, worst %v\n", name, len(times), quantile(0.5), quantile(0.99), quantile(1))
}
