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
	// warmUp is the first part of the load, which utilisation and over-commitment leave out. It is at most half
	// of the load.
	warmUp = 3 * time.Second
	// An outage of the worker interface starts every outagePeriod and lasts outageLength.
	outagePeriod = 4 * time.Second
	outageLength = time.Second
)

// configYAML is the dispatcher configuration of the deployment.
const configYAML = `schema: 1
teams:
  team: {weight: 1}
kinds:
  estimate: {group: workers, idempotent: false, default_deadline: 20s}
groups:
  workers: {endpoints: worker}
`

// run starts a deployment, submits jobs to it and returns the measurements.
func run(ctx context.Context, a args) (*summary, error) {
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
	return runLoad(ctx, a, bed)
}

// spec describes the deployment that keeps its files in dir.
func (a *args) spec(dir string) testbed.Spec {
	return testbed.Spec{
		BinDir: a.Bin, Dir: dir, Hosts: a.Hosts, Seed: a.Seed, Config: configYAML,
		Zones: []string{"ernakulam", "malabar", "tvm-south"},
		PlatformArgs: []string{
			"--workers", fmt.Sprint(a.Workers), "--cores", fmt.Sprint(a.Cores), "--memory-mb", fmt.Sprint(a.MemoryMB),
			"--accelerators", fmt.Sprint(a.Accelerators), "--group", "workers", "--zones", "ernakulam,malabar,tvm-south",
		},
		AdjustSettings: func(_ int, s *settings.Settings) { s.Workers.ResultReadInterval = a.ResultGather },
	}
}

// runLoad injects the faults, submits jobs for the duration For, waits for their replies and returns the
// measurements.
func runLoad(ctx context.Context, a args, bed *testbed.Deployment) (*summary, error) {
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
	totals, err := fetchTotals(ctx, bed)
	if err != nil {
		return nil, err
	}
	return g.summarise(totals), nil
}

// setFaults makes the platform lose answers and makes Failing workers, evenly spread over all, fail their tasks.
func setFaults(ctx context.Context, a args, bed *testbed.Deployment) error {
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

// runOutages injects outages of the worker interface until ctx ends: by turns one in which requests hang and one
// in which they get status 503.
func runOutages(ctx context.Context, bed *testbed.Deployment) {
	outages := []platformsim.Outage{platformsim.OutageHang, platformsim.OutageUnavailable}
	for n := 0; pause.For(ctx, outagePeriod-outageLength); n++ {
		setOutage(ctx, bed, outages[n%len(outages)])
		pause.For(ctx, outageLength)
		setOutage(context.WithoutCancel(ctx), bed, platformsim.OutageOff)
	}
}

func setOutage(ctx context.Context, bed *testbed.Deployment, o platformsim.Outage) {
	// The error is ignored: a failed change shows in the measurements as an outage that is missing or too long.
	_ = post(ctx, bed.PlatformURL+"/admin/faults", platformsim.FaultsRequest{Service: platformsim.ServiceWorkers, Outage: &o})
}

// post posts body as JSON. A status other than 200 is an error.
func post(ctx context.Context, url string, body any) error {
	status, err := testbed.PostJSON(ctx, url, body, nil)
	if err == nil && status != 200 {
		err = errors.Newf("%s answered %d", url, status)
	}
	return err
}

// fetchTotals returns the counts that the platform keeps of all tasks.
func fetchTotals(ctx context.Context, bed *testbed.Deployment) (*platformsim.TaskTotals, error) {
	totals := new(platformsim.TaskTotals)
	return totals, testbed.GetJSON(ctx, bed.PlatformURL+"/admin/tasks", totals)
}
