package membertest

import (
	"context"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// takesEffect is the time from a mark in the platform's list until the endpoint gets no
// new work.
const takesEffect = 3 * time.Second

// Guards against work for an endpoint that leaves: after the bound if it only appears in
// the platform's list, and beyond one attempt of each host and connection if it refuses.
func TestLeavingMinionGetsNoWork(t *testing.T) {
	t.Parallel()
	bed := startBed(t, testbed.Spec{Zones: []string{"ernakulam", "malabar"}, Hosts: 4, Minions: 6})
	views, err := bed.MinionViews(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	silent, refusing := views[0].Host.ID, views[1].Host.ID
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	jobs := submitUntil(ctx, bed)
	time.Sleep(time.Second)
	leave(t, bed, silent, false)
	leave(t, bed, refusing, true)
	done := jobs()
	late, refused := lateTasks(t, bed, silent), lateTasks(t, bed, refusing)
	t.Logf("%d jobs; marked in the list only: %d tasks after it began to leave, the last after %d ms; refusing: %d, the last after %d ms",
		done, late.Count, late.LastMS, refused.Count, refused.LastMS)
	if done == 0 || late.Count == 0 {
		t.Fatalf("%d jobs, %d tasks while leaving: the test did not put the minion under load", done, late.Count)
	}
	if limit := platformsim.DefaultHostLag + takesEffect; late.LastMS > limit.Milliseconds() {
		t.Errorf("a task arrived %d ms after the minion began to leave, the bound is %v", late.LastMS, limit)
	}
	if refused.LastMS > platformsim.DefaultHostLag.Milliseconds() {
		t.Errorf("a refusing minion got a task after %d ms", refused.LastMS)
	}
}
