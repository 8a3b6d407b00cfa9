package main

import (
	"context"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/standin/testbed"
)

const testTasks = 2

// startComparison starts the smallest deployment that can forward.
func startComparison(ctx context.Context, t *testing.T) *comparison {
	t.Helper()
	bin := t.TempDir()
	if err := testbed.Build(bin); err != nil {
		t.Fatal(err)
	}
	bed, err := testbed.Start(ctx, testbed.Spec{
		BinDir: bin, Dir: t.TempDir(), Zones: []string{"local"}, Hosts: 2, Minions: 4,
		Group: "owner", Spread: -1, Seed: 1, Config: comparisonConfig,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Stop)
	return newComparison(bed, 1)
}

// TestMessageAndAppendCounts guards against appends, forwards and minion messages that are missed,
// counted twice, or counted for another ownership mode.
func TestMessageAndAppendCounts(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	b := startComparison(ctx, t)
	l := load{Tasks: testTasks, Rate: 40}
	for _, w := range ownershipModes {
		c := &measurement{stats: newJobStats()}
		if err := b.slice(ctx, w, l, 500*time.Millisecond, c); err != nil {
			t.Fatal(err)
		}
		checkMeasurement(t, w, c)
	}
}

func checkMeasurement(t *testing.T, w ownershipMode, c *measurement) {
	t.Helper()
	jobs := uint64(c.stats.jobs)
	if jobs == 0 || c.stats.answers[string(api.Complete)] != c.stats.jobs {
		t.Fatalf("%s: %d jobs, answers %v", w, jobs, c.stats.answers)
	}
	if c.used.Starts != testTasks*jobs || c.used.Minions < 2*testTasks*jobs {
		t.Errorf("%s: %d starts, %d messages with minions for %d jobs", w, c.used.Starts, c.used.Minions, jobs)
	}
	if c.used.Callers < 2*jobs {
		t.Errorf("%s: %d messages with callers for %d jobs", w, c.used.Callers, jobs)
	}
	// A group commit holds at least one claim and at most all of them.
	least, most := uint64(0), uint64(0)
	if w == modeKeys {
		least, most = 1, jobs
	}
	if c.used.Appends < least || c.used.Appends > most {
		t.Errorf("%s: %d appends for %d jobs", w, c.used.Appends, jobs)
	}
	wantPeers := uint64(0)
	if w == modeForwarded {
		wantPeers = 2 * jobs
	}
	if c.used.Peers != wantPeers {
		t.Errorf("%s: %d messages between hosts for %d jobs, want %d", w, c.used.Peers, jobs, wantPeers)
	}
}

// TestJobStats guards against response times of jobs that did not complete, and against
// answers that are lost or named wrongly.
func TestJobStats(t *testing.T) {
	c := newJobStats()
	c.record(30*time.Millisecond, &api.Reply{Outcome: api.Complete}, nil)
	c.record(time.Second, &api.Reply{Outcome: api.Unknown, Reason: api.Errorf(api.CodeLogUnavailable, "", "down")}, nil)
	if got := c.quantileMS(99); got < 29.9 || got > 30.1 {
		t.Errorf("p99 %v ms includes a job that did not complete", got)
	}
	if c.answers["complete"] != 1 || c.answers["unknown log_unavailable"] != 1 || c.jobs != 2 {
		t.Errorf("answers %v of %d jobs", c.answers, c.jobs)
	}
}
