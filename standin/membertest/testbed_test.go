// Package membertest tests the membership of entry hosts that run as separate processes: whether
// they detect failed, replaced and paused hosts, and whether they stop sending tasks to endpoints
// that leave. Package testbed builds and starts the processes; the simulated minions and platform
// are in minionsim and platformsim.
package membertest

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

const hostConfig = `schema: 1
teams: {association: {weight: 1}}
kinds: {price-check: {group: demo, idempotent: true, default_deadline: 10s}}
groups: {demo: {endpoints: minion}}
`

// startTestbed builds the programs, starts a test bed with hostConfig and stops it when the test ends.
func startTestbed(t *testing.T, spec testbed.Spec) *testbed.Deployment {
	t.Helper()
	spec.BinDir, spec.Dir = t.TempDir(), t.TempDir()
	spec.Group, spec.Seed, spec.Config = "demo", 1, hostConfig
	if err := testbed.Build(spec.BinDir); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	bed, err := testbed.Start(ctx, spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Stop)
	return bed
}

// hostViews returns the entry hosts that host h knows, by name. The map is empty if h does not
// answer within a second.
func hostViews(h *testbed.Host) map[string]daemon.HostView {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var views []daemon.HostView
	viewByHost := make(map[string]daemon.HostView)
	if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/hosts", &views); err != nil {
		return viewByHost
	}
	for _, v := range views {
		viewByHost[v.Host] = v
	}
	return viewByHost
}

// waitUntil polls a condition until it is true and returns how long that took. It fails the test
// if the condition is not true within the timeout.
func waitUntil(t *testing.T, description string, timeout time.Duration, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			t.Fatalf("%s: not within %v", description, timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// submitJobs submits jobs of short tasks through every host, one job at a time for each host, until
// ctx ends. The returned function waits for the end and returns the number of completed jobs.
func submitJobs(ctx context.Context, bed *testbed.Deployment) (waitCompleted func() int) {
	const tasksPerJob = 40
	job := map[string]any{"schema": 1, "team": "association", "kind": "price-check"}
	var tasks []map[string]any
	for range tasksPerJob {
		tasks = append(tasks, map[string]any{"payload": map[string]any{"run_ms": 20}})
	}
	job["tasks"] = tasks
	completedPerHost := make(chan int, len(bed.Hosts))
	for _, h := range bed.Hosts {
		go func() {
			completed := 0
			for ctx.Err() == nil {
				var reply struct{ Outcome string }
				status, err := testbed.PostJSON(ctx, h.CallersURL()+"/v1/jobs", job, &reply)
				if err == nil && status == http.StatusOK && reply.Outcome == "complete" {
					completed++
				}
			}
			completedPerHost <- completed
		}()
	}
	return func() int {
		total := 0
		for range bed.Hosts {
			total += <-completedPerHost
		}
		return total
	}
}

// startLeaving makes a minion leave. If refuse is set, the minion also refuses tasks from now on;
// otherwise only the platform's list of endpoints shows that it leaves.
func startLeaving(t *testing.T, bed *testbed.Deployment, minion string, refuse bool) {
	t.Helper()
	status, err := testbed.PostJSON(context.Background(), bed.MinionAdmin+"/admin/leave", minionsim.MinionRequest{Minion: minion, Refuse: refuse}, nil)
	if err != nil || status != http.StatusNoContent {
		t.Fatal(fmt.Errorf("telling a minion to leave: status %d: %w", status, err))
	}
}

// lateTasks returns the tasks that a minion has received since it began to leave.
func lateTasks(t *testing.T, bed *testbed.Deployment, minion string) minionsim.LateTasks {
	t.Helper()
	views, err := bed.MinionViews(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range views {
		if v.Host.ID == minion {
			return v.LateTasks
		}
	}
	t.Fatalf("no minion %s", minion)
	return minionsim.LateTasks{}
}
