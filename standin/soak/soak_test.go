package main

import (
	"context"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/standin/testbed"
)

// testLength is the time with faults of a test run. Runs of the command take longer, with new seeds.
const testLength = 4 * time.Second

// regressions lists seeds that once failed, each with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "a second SIGTERM, of an overlapping rollout, ended a process in the middle of its drain"},
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
			a := args{Bin: bin, Length: testLength, Zones: 2, Hosts: 2, Workers: 4, Callers: 12, Logs: t.TempDir()}
			report, err := runSeed(context.Background(), a, r.seed)
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
