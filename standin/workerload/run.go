package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

const (
	// startTimeout bounds the start of the deployment.
	startTimeout = 30 * time.Second
	// warmUp is the part of the load that the core times leave out.
	warmUp = 3 * time.Second
	// outagePeriod and outageLength set the outages of the worker interface.
	outagePeriod = 4 * time.Second
	outageLength = time.Second
)

const configuration = `schema: 1
teams:
  team: {weight: 1}
kinds:
  estimate: {group: workers, idempotent: false, default_deadline: 20s}
groups:
  workers: {endpoints: worker}
`

// run starts a deployment, loads it and returns the figures.
func run(ctx context.Context, a args) (*figures, error) {
	dir, err := os.MkdirTemp("", "sesameledge-workers-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	bed, err := testbed.Start(startCtx, a.spec(dir))
	if err != nil {
		return nil, err
	}
	defer bed.Stop()
	return load(ctx, a, bed)
}

func (a *args) spec(dir string) testbed.Spec {
	return testbed.Spec{
		BinDir: a.Bin, Dir: dir, Hosts: a.Hosts, Seed: a.Seed, Config: configuration,
		Zones: []string{"ernakulam", "malabar", "tvm-south"},
		PlatformArgs: []string{
			"--workers", fmt.Sprint(a.Workers), "--cores", fmt.Sprint(a.Cores), "--memory-mb", fmt.Sprint(a.MemoryMB),
			"--accelerators", fmt.Sprint(a.Accelerators), "--group", "workers", "--zones", "ernakulam,malabar,tvm-south",
		},
		Adjust: func(_ int, s *settings.Settings) { s.Workers.ResultGather = a.ResultGather },
	}
}

// load sends jobs for the set time and waits for their answers.
func load(ctx context.Context, a args, bed *testbed.Bed) (*figures, error) {
	if err := setFaults(ctx, a, bed); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if a.Outages {
		go runOutages(ctx, bed)
	}
	g := newGenerator(a, bed)
	if err := g.run(ctx); err != nil {
		return nil, err
	}
	after, err := totals(ctx, bed)
	if err != nil {
		return nil, err
	}
	return g.figures(after), nil
}

func setFaults(ctx context.Context, a args, bed *testbed.Bed) error {
	lost := a.LostAnswer
	req := platformsim.FaultsRequest{Service: platformsim.ServiceWorkers, LostAnswer: &lost}
	if err := post(ctx, bed.PlatformURL+"/admin/faults", req); err != nil {
		return err
	}
	for n := range a.Failing {
		f := platformsim.WorkerFault{Worker: fmt.Sprintf("worker-%03d", n*a.Workers/a.Failing), FailAll: true}
		if err := post(ctx, bed.PlatformURL+"/admin/workers", f); err != nil {
			return err
		}
	}
	return nil
}

// runOutages lets the worker interface hang and answer 503 in turn.
func runOutages(ctx context.Context, bed *testbed.Bed) {
	kinds := []platformsim.Outage{platformsim.OutageHang, platformsim.OutageUnavailable}
	for n := 0; pause.For(ctx, outagePeriod-outageLength); n++ {
		setOutage(ctx, bed, kinds[n%len(kinds)])
		pause.For(ctx, outageLength)
		setOutage(context.WithoutCancel(ctx), bed, platformsim.OutageOff)
	}
}

func setOutage(ctx context.Context, bed *testbed.Bed, o platformsim.Outage) {
	// A failed change shows in the figures as an outage that is missing or too long.
	_ = post(ctx, bed.PlatformURL+"/admin/faults", platformsim.FaultsRequest{Service: platformsim.ServiceWorkers, Outage: &o})
}

func post(ctx context.Context, url string, body any) error {
	status, err := testbed.PostJSON(ctx, url, body, nil)
	if err == nil && status != 200 {
		err = errors.Newf("%s answered %d", url, status)
	}
	return err
}

func totals(ctx context.Context, bed *testbed.Bed) (*platformsim.TaskTotals, error) {
	out := new(platformsim.TaskTotals)
	return out, testbed.GetJSON(ctx, bed.PlatformURL+"/admin/tasks", out)
}
