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

// between is the pause between publications of one operator. 38,000 changes a day are
// one every 2.3 s; the measurement is denser.
const between = 50 * time.Millisecond

// spread measures the time from sending a publication until it is in force on the last
// host, by the times in the hosts' logs. It includes the append.
func (b *bench) spread(ctx context.Context) error {
	times, err := b.publishSingly(ctx, b.args.Single, 0, b.bed.Hosts)
	if err != nil {
		return err
	}
	report("all hosts with the platform: sent to in force on the last host", times)
	return nil
}

// spreadOverPeers measures the same for a host that is cut off from the platform, and for
// one whose connections to it go silent before each publication.
func (b *bench) spreadOverPeers(ctx context.Context) error {
	last := b.bed.Hosts[len(b.bed.Hosts)-1:]
	cut, open := true, false
	if err := b.proxy.SetFault(proxysim.FaultRequest{Route: "*", Cut: &cut}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	times, err := b.publishSingly(ctx, b.args.Single/4, 200*time.Millisecond, last)
	if err != nil {
		return err
	}
	report("host cut off from the platform: sent to in force there", times)
	if err := b.proxy.SetFault(proxysim.FaultRequest{Route: "*", Cut: &open}); err != nil {
		return err
	}
	var silent []time.Duration
	for range max(b.args.Single/20, 3) {
		time.Sleep(time.Second)
		if err := b.proxy.SetFault(proxysim.FaultRequest{Route: "*", BlackHole: true}); err != nil {
			return err
		}
		one, err := b.publishSingly(ctx, 1, 0, last)
		if err != nil {
			return err
		}
		silent = append(silent, one...)
	}
	report("host whose connections go silent: sent to in force there", silent)
	return nil
}

// publishSingly publishes n revisions one after the other through the first host and
// returns the time of each until it was in force on the last of the hosts.
func (b *bench) publishSingly(ctx context.Context, n int, pause time.Duration, hosts []*testbed.Host) ([]time.Duration, error) {
	var sent []publication
	for range n {
		p, err := b.publish(ctx, b.bed.Hosts[0], "operator")
		if err != nil || !p.reply.Accepted {
			return nil, errors.Newf("publishing: %v %+v", err, p.reply)
		}
		sent = append(sent, p)
		time.Sleep(pause + between)
	}
	if err := b.settled(ctx, sent[n-1].reply.Revision); err != nil {
		return nil, err
	}
	times := make([]time.Duration, n)
	for _, h := range hosts {
		at, err := b.inForceTimes(h)
		if err != nil {
			return nil, err
		}
		for i, p := range sent {
			times[i] = max(times[i], firstFrom(at, p.reply.Revision).Sub(p.sent))
		}
	}
	return times, nil
}

type inForce struct {
	revision uint64
	at       time.Time
}

var inForceLine = regexp.MustCompile(`ts=(\S+) .*msg="revision in force" revision=(\d+)`)

// inForceTimes reads from a host's log when its revisions took effect.
func (b *bench) inForceTimes(h *testbed.Host) ([]inForce, error) {
	f, err := os.Open(filepath.Join(b.bed.Spec.Dir, h.Settings.Host+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var out []inForce
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		m := inForceLine.FindStringSubmatch(lines.Text())
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
		out = append(out, inForce{n, at})
	}
	return out, lines.Err()
}

// firstFrom returns when the revision, or one that replaced it, took effect.
func firstFrom(times []inForce, revision uint64) time.Time {
	for _, t := range times {
		if t.revision >= revision {
			return t.at
		}
	}
	return time.Time{}
}

// restarts restarts all hosts one after the other, then all at once, during an outage of
// the log that hangs.
func (b *bench) restarts(ctx context.Context) error {
	hang, off := platformsim.OutageHang, platformsim.OutageOff
	outage := func(o platformsim.Outage) error {
		return b.faults(ctx, platformsim.FaultsRequest{Service: platformsim.ServiceLog, Outage: &o})
	}
	st, err := status(ctx, b.bed.Hosts[0])
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
		if err := b.settled(ctx, st.Revision); err != nil {
			return err
		}
		times = append(times, time.Since(began))
		var dump daemon.Dump
		if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/debug/state", &dump); err != nil {
			return err
		}
		sources[string(dump.Config.Source)[:4]]++
	}
	report("restart of each host during an outage: start to in force", times)
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
	if err := outage(off); err != nil {
		return err
	}
	began := time.Now()
	if err := b.settled(ctx, st.Revision); err != nil {
		return err
	}
	fmt.Printf("restart of all hosts at once during an outage: in force on all %v after its end\n", time.Since(began).Round(time.Millisecond))
	return nil
}

func report(name string, times []time.Duration) {
	slices.Sort(times)
	at := func(share float64) time.Duration {
		return times[min(int(share*float64(len(times))), len(times)-1)].Round(100 * time.Microsecond)
	}
	fmt.Printf("%s (%d): median %v, p99 %v, worst %v\n", name, len(times), at(0.5), at(0.99), at(1))
}
