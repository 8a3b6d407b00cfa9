package main

import (
	"context"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/standin/testbed"
)

// testCut is longer than a ticket's lifetime, so that jobs reach their final outcome during the cut.
const testCut = 5 * time.Second

// TestZoneCutOff checks a deployment that is partitioned. It guards against a side that stops serving, double
// starts across the cut, tickets of unreachable owners without one final outcome, and configuration that
// reverts or arrives late.
func TestZoneCutOff(t *testing.T) {
	bin := t.TempDir()
	if err := testbed.Build(bin); err != nil {
		t.Fatal(err)
	}
	for name, silent := range map[string]bool{"reset": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runZoneCutTest(t, bin, silent)
		})
	}
}

func runZoneCutTest(t *testing.T, bin string, silent bool) {
	ctx, cancel := context.WithTimeout(context.Background(), testCut+maxOverhead)
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
