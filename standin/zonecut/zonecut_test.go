package main

import (
	"context"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/standin/testbed"
)

// testCut is longer than a ticket's lifetime, so that final outcomes fall into the cut.
const testCut = 5 * time.Second

// TestZoneCutOff guards against a part of a partitioned deployment that stops serving,
// double starts across the cut, tickets of unreachable owners without one final outcome,
// and configuration that reverts or comes late.
func TestZoneCutOff(t *testing.T) {
	bin := t.TempDir()
	if err := testbed.Build(bin); err != nil {
		t.Fatal(err)
	}
	for name, silent := range map[string]bool{"reset": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testCutOff(t, bin, silent)
		})
	}
}

func testCutOff(t *testing.T, bin string, silent bool) {
	ctx, cancel := context.WithTimeout(context.Background(), testCut+overhead)
	defer cancel()
	r, err := measure(ctx, bin, t.TempDir(), testCut, silent, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	for _, f := range r.findings {
		t.Error(f)
	}
}
