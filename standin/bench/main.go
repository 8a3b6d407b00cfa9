// Command bench measures placement policies on the two deployments of the design page. It
// starts each deployment as separate processes and submits a seeded schedule in an open loop:
// jobs are sent at their scheduled times, even if earlier answers are late. It reports the
// ratio of response time to ideal response time, message counts and fairness. For comparison
// it computes, in virtual time, what an omniscient reference scheduler achieves for the same
// arrivals. Package testbed starts the processes; package minionsim simulates the minions.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

type args struct {
	Bin         string         `default:"bin" help:"directory of the built programs"`
	Out         string         `default:"bin/results" help:"directory for JSON and plots"`
	Deployments string         `default:"association,abzeichenwerk" help:"separated by commas"`
	Scenarios   string         `default:"steady" help:"separated by commas"`
	Policies    string         `default:"default" help:"separated by commas; values of policy.placement with :key=value for more settings"`
	Hosts       int            `default:"7" help:"entry hosts"`
	Minions     int            `default:"50" help:"minions"`
	Length      time.Duration  `default:"20s" help:"time of the arrivals for each policy"`
	WarmUp      time.Duration  `arg:"--warm-up" default:"5s" help:"jobs that arrive within it count for messages only"`
	Load        float64        `help:"share of the capacity; 0 takes the scenario's"`
	ZoneDelay   *time.Duration `arg:"--zone-delay" help:"one way between availability zones; default 0.5ms for association, 1ms for abzeichenwerk"`
	ClientDelay *time.Duration `arg:"--client-delay" help:"one way between callers and entry hosts; default 3ms"`
	NoDelays    bool           `arg:"--no-delays" help:"no delays of the network, whatever the other settings are"`
	Seed        uint64         `default:"1" help:"seeds speeds and arrivals"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := runAll(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func runAll(ctx context.Context, a args) error {
	policies, err := parsePolicies(a.Policies)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(a.Out, 0o755); err != nil {
		return err
	}
	for _, depName := range strings.Split(a.Deployments, ",") {
		for _, scName := range strings.Split(a.Scenarios, ",") {
			e := experiment{args: a}
			if e.dep, err = deploymentNamed(depName); err != nil {
				return err
			}
			if e.sc, err = scenarioNamed(scName); err != nil {
				return err
			}
			e.dep.net = a.network(e.dep.net)
			if err := e.run(ctx, policies); err != nil {
				return err
			}
		}
	}
	return nil
}

// network returns the delays to model, given those of the deployment.
func (a *args) network(net network) network {
	if a.NoDelays {
		return network{}
	}
	if a.ZoneDelay != nil {
		net.zone = *a.ZoneDelay
	}
	if a.ClientDelay != nil {
		net.client = *a.ClientDelay
	}
	return net
}

// run measures all policies one after the other and writes the report.
func (e *experiment) run(ctx context.Context, policies []namedPolicy) error {
	var rows []*summary
	for i, p := range policies {
		measured, reference, err := e.measure(ctx, p)
		if err != nil {
			return err
		}
		if i == 0 {
			rows = append(rows, reference)
		}
		rows = append(rows, measured)
	}
	if err := writeTable(os.Stdout, rows); err != nil {
		return err
	}
	if err := writeKinds(os.Stdout, rows); err != nil {
		return err
	}
	if err := writeTeams(os.Stdout, rows); err != nil {
		return err
	}
	base := filepath.Join(e.args.Out, e.dep.name+"-"+e.sc.name)
	if err := writeJSON(base+".json", rows); err != nil {
		return err
	}
	if err := plotQuantiles(base+".svg", rows); err != nil {
		return err
	}
	return plotTradeOff(base+"-tradeoff.svg", rows)
}
