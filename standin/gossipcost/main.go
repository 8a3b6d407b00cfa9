// Command gossipcost measures the control traffic of idle entry hosts, among themselves and
// with the platform, at several numbers of hosts, and how it grows with each host.
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
	startTries   = 4
	startTimeout = 15 * time.Second
)

const costConfig = `schema: 1
teams: {team: {weight: 1}}
kinds: {short: {group: cost, idempotent: true, default_deadline: 60s}}
groups: {cost: {endpoints: minion}}
`

// result is the traffic of one host, sent and received, as the mean and the largest over
// all hosts.
type result struct {
	Hosts       int     `json:"hosts"`
	Messages    float64 `json:"messages_per_second"`
	Encoded     float64 `json:"encoded_bytes_per_second"`
	Wire        float64 `json:"wire_bytes_per_second"`
	Platform    float64 `json:"platform_wire_bytes_per_second"`
	LargestWire float64 `json:"largest_wire_bytes_per_second"`
	Suspicions  uint64  `json:"suspicions"`
	InvalidView int     `json:"hosts_not_seen_live"` // over all views, own zones only
}

func main() {
	var a args
	arg.MustParse(&a)
	if len(a.Hosts) == 0 {
		a.Hosts = []int{7, 40}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, "gossipcost:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, a args) error {
	if a.Requests {
		return requestCosts(ctx)
	}
	var results []result
	for _, n := range a.Hosts {
		r, err := measure(ctx, a, n)
		if err != nil {
			return errors.Wrapf(err, "%d hosts", n)
		}
		results = append(results, r)
		if !a.JSON {
			fmt.Printf("%3d hosts: %.1f messages/s, %.0f B/s encoded, %.0f B/s on the wire, largest host %.0f B/s; with the platform %.0f B/s; %d suspicions, %d wrong views\n",
				r.Hosts, r.Messages, r.Encoded, r.Wire, r.LargestWire, r.Platform, r.Suspicions, r.InvalidView)
		}
	}
	if a.JSON {
		return json.NewEncoder(os.Stdout).Encode(results)
	}
	first, last := results[0], results[len(results)-1]
	if last.Hosts > first.Hosts {
		fmt.Printf("slope: %.1f B/s on the wire for each further host\n", (last.Wire-first.Wire)/float64(last.Hosts-first.Hosts))
	}
	return nil
}

func measure(ctx context.Context, a args, hosts int) (result, error) {
	r := result{Hosts: hosts}
	dir, err := os.MkdirTemp("", "sesameledge-gossipcost-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	var zones []string
	for i := range a.Zones {
		zones = append(zones, fmt.Sprintf("zone-%d", i+1))
	}
	bed, err := start(ctx, testbed.Spec{BinDir: a.Bin, Dir: dir, Zones: zones, Hosts: hosts, Minions: 3, Group: "cost", Seed: 1, Config: costConfig})
	if err != nil {
		return r, err
	}
	defer bed.Stop()
	time.Sleep(a.Settle)
	before, err := statuses(ctx, bed)
	if err != nil {
		return r, err
	}
	began := time.Now()
	time.Sleep(a.For)
	after, err := statuses(ctx, bed)
	if err != nil {
		return r, err
	}
	r.add(before, after, time.Since(began).Seconds())
	r.InvalidView, err = wrongViews(ctx, bed)
	return r, err
}

// start starts a deployment. A port that was free may be taken when its host starts, and
// the more hosts the likelier; the start is then tried again.
func start(ctx context.Context, spec testbed.Spec) (*testbed.Bed, error) {
	var last error
	for range startTries {
		limited, cancel := context.WithTimeout(ctx, startTimeout)
		bed, err := testbed.Start(limited, spec)
		cancel()
		if err == nil || ctx.Err() != nil {
			return bed, err
		}
		last = err
	}
	return nil, last
}

func (r *result) add(before, after []daemon.Status, seconds float64) {
	n := float64(len(before))
	for i := range before {
		b, a := before[i].PeerTraffic, after[i].PeerTraffic
		wire := float64(a.WireBytes-b.WireBytes) / seconds
		r.Messages += float64(a.ControlMessages-b.ControlMessages) / seconds / n
		r.Encoded += float64(a.ControlBytes-b.ControlBytes) / seconds / n
		r.Wire += wire / n
		r.Platform += float64(after[i].PlatformBytes-before[i].PlatformBytes) / seconds / n
		r.LargestWire = max(r.LargestWire, wire)
		r.Suspicions += after[i].Member.Suspicions - before[i].Member.Suspicions
	}
}

func statuses(ctx context.Context, bed *testbed.Bed) ([]daemon.Status, error) {
	out := make([]daemon.Status, len(bed.Hosts))
	for i, h := range bed.Hosts {
		if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/status", &out[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// wrongViews counts the members of the own zone that a host does not see live.
func wrongViews(ctx context.Context, bed *testbed.Bed) (int, error) {
	wrong := 0
	for _, h := range bed.Hosts {
		var hosts []daemon.HostView
		if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/hosts", &hosts); err != nil {
			return 0, err
		}
		for _, v := range hosts {
			if v.Zone == h.Settings.Zone && v.State != "live" {
				wrong++
			}
		}
	}
	return wrong, nil
}
