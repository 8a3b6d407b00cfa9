package main

import (
	"context"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/standin/testbed"
)

// testLength keeps a run short. The command soaks for longer and with fresh seeds.
const testLength = 4 * time.Second

// regressions are seeds that have failed, each with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "a second SIGTERM, of an overlapping rollout, ended a process in the middle of its drain"},
}

// TestSoak guards the promises to callers and workers against faults from outside of real
// processes: two runs of a task at one time, workers over their capacity, false refusals,
// answers that are not whole, requests broken off in planned work, configurations that go back
// or come late, and hosts that do not serve again.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	if err := testbed.Build(bin); err != nil {
		t.Fatal(err)
	}
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) {
			a := args{Bin: bin, Length: testLength, Zones: 2, Hosts: 2, Workers: 4, Callers: 12, Logs: t.TempDir()}
			report, err := soak(context.Background(), a, r.seed)
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
