package main

import (
	"context"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/standin/testbed"
)

// regressions lists seeds that once failed, each with the cause. Runs of the command take longer, with
// new seeds.
var regressions = []struct {
	args
	cause string
}{
	{args{Seed: 1, Length: 4 * time.Second, Zones: 2, Hosts: 2, Workers: 4, Callers: 12},
		"a second SIGTERM, of an overlapping rollout, ended a process in the middle of its drain"},
	{args{Seed: 3021, Length: 20 * time.Second, Zones: 2, Hosts: 3, Workers: 5, Callers: 24},
		"a request on a connection that a fault had silenced counted as broken off by its host"},
}

// TestSoak injects faults from outside into real host processes. It guards against overlapping runs of
// a task, workers loaded over their capacity, jobs that run although they were refused, answers that
// come before all tasks are done, requests broken off by planned operations, configurations that are
// reverted or applied late, and hosts that do not serve again after a fault.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	if err := testbed.Build(bin); err != nil {
		t.Fatal(err)
	}
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) {
			a := r.args
			a.Bin, a.Logs = bin, t.TempDir()
			report, err := runSeed(context.Background(), a, a.Seed)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			for _, f := range report.findings {
				t.Error(f)
			}
		})
	}
}
