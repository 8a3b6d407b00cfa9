// Command configbench measures the publication of configuration on a deployment of separate
// processes on loopback: operators who publish at the same time, the time from a publication
// until it is in force on every host, the same for a host without the platform, and restarts
// of hosts during an outage of the log. Package testbed starts the deployment.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/proxysim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

type args struct {
	Bin       string        `default:"bin" help:"directory of the built programs"`
	Hosts     int           `default:"7" help:"entry hosts"`
	Operators int           `default:"8" help:"operators who race each other"`
	Publishes int           `default:"3000" help:"publications of the racing operators, accepted or not"`
	Single    int           `default:"200" help:"publications one after the other, for each measurement of spreading"`
	Lost      float64       `default:"0.05" help:"share of the platform's answers to appends that are lost while operators race"`
	Timeout   time.Duration `default:"3m" help:"limit for the whole run"`
}

// benchConfig is the configuration of the deployment. Each publication appends a comment to it.
const benchConfig = `schema: 1
teams:
  association: {weight: 1}
kinds:
  price-check: {group: demo, idempotent: true, default_deadline: 10s}
groups:
  demo: {endpoints: minion}
`

// bench is a running deployment. The last host reaches the platform through a proxy.
type bench struct {
	args  args
	bed   *testbed.Deployment
	proxy *proxysim.Proxy
}

// startTimeout limits the start of the deployment.
const startTimeout = 20 * time.Second

func main() {
	var opts args
	arg.MustParse(&opts)
	ctx, cancel := context.WithTimeout(context.Background(), opts.Timeout)
	defer cancel()
	if err := run(ctx, opts); err != nil {
		fmt.Fprintln(os.Stderr, "configbench:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, opts args) error {
	dir, err := os.MkdirTemp("", "sesameledge-configbench-")
	if err != nil {
		return err
	}
	if err := measure(ctx, opts, dir); err != nil {
		return errors.Wrapf(err, "logs in %s", dir)
	}
	return os.RemoveAll(dir)
}

// measure starts a deployment with its files in dir and runs all measurements on it.
func measure(ctx context.Context, opts args, dir string) error {
	b := &bench{args: opts}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var err error
	if b.bed, err = testbed.Start(startCtx, b.spec(dir)); err != nil {
		return err
	}
	defer b.bed.Stop()
	defer b.proxy.Stop()
	for _, step := range []func(context.Context) error{b.measureRace, b.measurePropagation, b.measurePropagationOverPeers, b.measureRestarts} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// spec describes the deployment. It starts the proxy when the settings of the last host are made.
func (b *bench) spec(dir string) testbed.Spec {
	return testbed.Spec{
		BinDir: b.args.Bin, Dir: dir, Zones: []string{"ernakulam", "malabar", "tvm-south"},
		Hosts: b.args.Hosts, Minions: 1, Group: "demo", Seed: 1, Config: benchConfig,
		AdjustSettings: func(n int, s *settings.Settings) {
			if n != b.args.Hosts-1 {
				return
			}
			target := strings.TrimPrefix(s.Platform.URL, "http://")
			b.proxy = proxysim.New(proxysim.Config{Routes: []proxysim.RouteConfig{{Name: "platform", Target: target}}})
			if err := b.proxy.Start(); err != nil {
				panic(err)
			}
			s.Platform.URL = "http://" + b.proxy.Views()[0].Listen
		},
	}
}

// waitForRevision waits until every host has the revision or a later one in force.
// It fails when the context ends first.
func (b *bench) waitForRevision(ctx context.Context, revision uint64) error {
	for _, h := range b.bed.Hosts {
		for {
			st, err := status(ctx, h)
			if err == nil && st.RevisionInForce >= revision {
				break
			}
			if ctx.Err() != nil {
				return errors.Newf("host %s did not reach revision %d", h.Settings.Host, revision)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}
