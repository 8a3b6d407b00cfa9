// Package membertest runs entry hosts as separate processes and checks what they know of
// each other and of leaving endpoints.
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

const bedConfig = `schema: 1
teams: {association: {weight: 1}}
kinds: {price-check: {group: demo, idempotent: true, default_deadline: 10s}}
groups: {demo: {endpoints: minion}}
`

func startBed(t *testing.T, spec testbed.Spec) *testbed.Bed {
	t.Helper()
	spec.BinDir, spec.Dir = t.TempDir(), t.TempDir()
	spec.Group, spec.Seed, spec.Config = "demo", 1, bedConfig
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

// hostsSeen returns a host's view of the entry hosts by name; it is empty if the host
// does not answer.
func hostsSeen(h *testbed.Host) map[string]daemon.HostView {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var list []daemon.HostView
	out := make(map[string]daemon.HostView)
	if err := testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/hosts", &list); err != nil {
		return out
	}
	for _, v := range list {
		out[v.Host] = v
	}
	return out
}

// await polls a condition and returns how long it took to hold.
func await(t *testing.T, what string, limit time.Duration, ok func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// submitUntil submits jobs of short tasks through every host until the context ends.
func submitUntil(ctx context.Context, bed *testbed.Bed) (wait func() int) {
	const tasks = 40
	job := map[string]any{"schema": 1, "team": "association", "kind": "price-check"}
	var list []map[string]any
	for range tasks {
		list = append(list, map[string]any{"payload": map[string]any{"run_ms": 20}})
	}
	job["tasks"] = list
	done := make(chan int, len(bed.Hosts))
	for _, h := range bed.Hosts {
		go func() {
			n := 0
			for ctx.Err() == nil {
				var reply struct{ Outcome string }
				status, err := testbed.PostJSON(ctx, h.CallersURL()+"/v1/jobs", job, &reply)
				if err == nil && status == http.StatusOK && reply.Outcome == "complete" {
					n++
				}
			}
			done <- n
		}()
	}
	return func() int {
		sum := 0
		for range bed.Hosts {
			sum += <-done
		}
		return sum
	}
}

func leave(t *testing.T, bed *testbed.Bed, minion string, refuse bool) {
	t.Helper()
	status, err := testbed.PostJSON(context.Background(), bed.MinionAdmin+"/admin/leave", minionsim.MinionRequest{Minion: minion, Refuse: refuse}, nil)
	if err != nil || status != http.StatusNoContent {
		t.Fatal(fmt.Errorf("leave: status %d: %w", status, err))
	}
}

func lateTasks(t *testing.T, bed *testbed.Bed, minion string) minionsim.LateTasks {
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
