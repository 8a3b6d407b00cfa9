// Command gossipcost measures the control traffic of idle entry hosts, both between the hosts
// and with the platform. It runs deployments of several sizes and prints how the traffic of a
// host grows with each further host. With --requests it prints the size of each request that
// an idle host sends to the platform instead. Package testbed starts the deployments.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/standin/testbed"
)

type args struct {
	Bin      string        `default:"bin" help:"directory of the built programs"`
	Hosts    []int         `arg:"--hosts,separate" help:"numbers of entry hosts; default 7 and 40"`
	Zones    int           `default:"3" help:"availability zones"`
	For      time.Duration `default:"20s" help:"length of each measurement"`
	Settle   time.Duration `default:"10s" help:"time for the views to fill before the measurement"`
	JSON     bool          `arg:"--json" help:"print JSON"`
	Requests bool          `help:"print the bytes of each request to the platform instead"`
}

const (
	startAttempts = 4
	startTimeout  = 15 * time.Second // for each attempt
)

// benchConfig is the configuration of the deployments.
const benchConfig = `schema: 1
teams: {team: {weight: 1}}
kinds: {short: {group: cost, idempotent: true, default_deadline: 60s}}
groups: {cost: {endpoints: minion}}
`

// result holds the results for one number of hosts. The traffic is what a host sends and
// receives, as the mean over all hosts; LargestWireBytesPerSecond is the
// value of the host with the most traffic between hosts.
type result struct {
	Hosts                     int     `json:"hosts"`
	MessagesPerSecond         float64 `json:"messages_per_second"`
	EncodedBytesPerSecond     float64 `json:"encoded_bytes_per_second"`
	WireBytesPerSecond        float64 `json:"wire_bytes_per_second"`
	PlatformBytesPerSecond    float64 `json:"platform_wire_bytes_per_second"`
	LargestWireBytesPerSecond float64 `json:"largest_wire_bytes_per_second"`
	Suspicions                uint64  `json:"suspicions"`
	HostsNotSeenLive          int     `json:"hosts_not_seen_live"` // sum over all hosts; each counts hosts of its own zone
}

func main() {
	var opts args
	arg.MustParse(&opts)
	if len(opts.Hosts) == 0 {
		opts.Hosts = []int{7, 40}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, opts); err != nil {
		fmt.Fprintln(os.Stderr, "gossipcost:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, opts args) error {
	if opts.Requests {
		return printRequestSizes(ctx)
	}
	var results []result
	for _, n := range opts.Hosts {
		r, err := measure(ctx, opts, n)
		if err != nil {
			return errors.Wrapf(err, "%d hosts", n)
		}
		results = append(results, r)
		if !opts.JSON {
			fmt.Printf("%3d hosts: %.1f messages/s, %.0f B/s encoded, %.0f B/s on the wire, largest host %.0f B/s; with the platform %.0f B/s; %d suspicions, %d hosts not seen live\n",
				r.Hosts, r.MessagesPerSecond, r.EncodedBytesPerSecond, r.WireBytesPerSecond, r.LargestWireBytesPerSecond, r.PlatformBytesPerSecond, r.Suspicions, r.HostsNotSeenLive)
		}
	}
	if opts.JSON {
		return json.NewEncoder(os.Stdout).Encode(results)
	}
	first, last := results[0], results[len(results)-1]
	if last.Hosts > first.Hosts {
		fmt.Printf("slope: %.1f B/s on the wire for each further host\n", (last.WireBytesPerSecond-first.WireBytesPerSecond)/float64(last.Hosts-first.Hosts))
	}
	return nil
}

// measure starts a deployment and measures the traffic of its idle hosts.
func measure(ctx context.Context, opts args, hosts int) (result, error) {
	r := result{Hosts: hosts}
	dir, err := os.MkdirTemp("", "sesameledge-gossipcost-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	var zones []string
	for i := range opts.Zones {
		zones = append(zones, fmt.Sprintf("zone-%d", i+1))
	}
	bed, err := startBed(ctx, testbed.Spec{BinDir: opts.Bin, Dir: dir, Zones: zones, Hosts: hosts, Minions: 3, Group: "cost", Seed: 1, Config: benchConfig})
	if err != nil {
		return r, err
	}
	defer bed.Stop()
	time.Sleep(opts.Settle)
	before, err := readStatuses(ctx, bed)
	if err != nil {
		return r, err
	}
	began := time.Now()
	time.Sleep(opts.For)
	after, err := readStatuses(ctx, bed)
	if err != nil {
		return r, err
	}
	r.addTraffic(before, after, time.Since(began).Seconds())
	r.HostsNotSeenLive, err = countHostsNotSeenLive(ctx, bed)
	return r, err
}

// startBed starts a deployment. A port that was free when it was chosen may be in use when its
// host starts, which is more likely with more hosts. Therefore a failed start is repeated.
func startBed(ctx context.Context, spec testbed.Spec) (*testbed.Deployment, error) {
	var lastErr error
	for range startAttempts {
		startCtx, cancel := context.WithTimeout(ctx, startTimeout)
		bed, err := testbed.Start(startCtx, spec)
		cancel()
		if err == nil || ctx.Err() != nil {
			return bed, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// addTraffic adds the traffic and the suspicions between two readings of the hosts' status. The
// readings are the given number of seconds apart.
func (r *result) addTraffic(before, after []daemon.Status, seconds float64) {
	n := float64(len(before))
	for i := range before {
		first, last := before[i].PeerTraffic, after[i].PeerTraffic
		wire := float64(last.WireBytes-first.WireBytes) / seconds
		r.MessagesPerSecond += float64(last.ControlMessages-first.ControlMessages) / seconds / n
		r.EncodedBytesPerSecond += float64(last.ControlBytes-first.ControlBytes) / seconds / n
		r.WireBytesPerSecond += wire / n
		r.PlatformBytesPerSecond += float64(after[i].PlatformWireBytes-before[i].PlatformWireBytes) / seconds / n
		r.LargestWireBytesPerSecond = max(r.LargestWireBytesPerSecond, wire)
		r.Suspicions += after[i].Member.Suspicions - before[i].Member.Suspicions
	}
}

// readStatuses reads the status of every host, in the order of bed.Hosts.
func readStatuses(ctx context.Context, bed *testbed.Deployment) ([]daemon.Status, error) {
	out := make([]daemon.Status, len(bed.Hosts))
	for i, h := range bed.Hosts {
		if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/status", &out[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// countHostsNotSeenLive counts, over all hosts, the hosts of the same zone that a host does
// not see as live.
func countHostsNotSeenLive(ctx context.Context, bed *testbed.Deployment) (int, error) {
	notSeenLive := 0
	for _, h := range bed.Hosts {
		var hosts []daemon.HostView
		if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/hosts", &hosts); err != nil {
			return 0, err
		}
		for _, v := range hosts {
			if v.Zone == h.Settings.Zone && v.State != "live" {
				notSeenLive++
			}
		}
	}
	return notSeenLive, nil
}
