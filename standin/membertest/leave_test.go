package membertest

import (
	"context"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// maxLeaveDelay limits the time from when the platform's list marks an endpoint as leaving until
// hosts send it no new tasks.
const maxLeaveDelay = 3 * time.Second

// Guards against hosts that send tasks to a leaving endpoint. An endpoint that only the platform's
// list marks as leaving may get tasks until the list's lag and maxLeaveDelay have passed. One that
// also refuses tasks may get one attempt for each host and connection.
func TestLeavingMinionGetsNoWork(t *testing.T) {
	t.Parallel()
	bed := startTestbed(t, testbed.Spec{Zones: []string{"ernakulam", "malabar"}, Hosts: 4, Minions: 6})
	views, err := bed.MinionViews(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	listedOnly, refusing := views[0].Host.ID, views[1].Host.ID
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	waitCompleted := submitJobs(ctx, bed)
	time.Sleep(time.Second)
	startLeaving(t, bed, listedOnly, false)
	startLeaving(t, bed, refusing, true)
	completedJobs := waitCompleted()
	listedTasks, refusedTasks := lateTasks(t, bed, listedOnly), lateTasks(t, bed, refusing)
	t.Logf("%d jobs; marked in the list only: %d tasks after it began to leave, the last after %d ms; refusing: %d, the last after %d ms",
		completedJobs, listedTasks.Count, listedTasks.LastMS, refusedTasks.Count, refusedTasks.LastMS)
	if completedJobs == 0 || listedTasks.Count == 0 {
		t.Fatalf("%d jobs, %d tasks while leaving: the test did not put the minion under load", completedJobs, listedTasks.Count)
	}
	if limit := platformsim.DefaultHostLag + maxLeaveDelay; listedTasks.LastMS > limit.Milliseconds() {
		t.Errorf("a task arrived %d ms after the minion began to leave, the bound is %v", listedTasks.LastMS, limit)
	}
	if refusedTasks.LastMS > platformsim.DefaultHostLag.Milliseconds() {
		t.Errorf("a refusing minion got a task after %d ms", refusedTasks.LastMS)
	}
}
