package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/client"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

var binDir string // directory of the built programs

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sesameledge-bin-")
	if err == nil {
		err = testbed.Build(dir)
	}
	if err != nil {
		panic(err)
	}
	binDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// testArgs returns a light load of 5 s without faults.
func testArgs() args {
	return args{
		Bin: binDir, Workers: 50, Cores: 64, MemoryMB: 131072, Hosts: 2, Load: 0.02, Tasks: 24, Off: 4, Bias: 1, TaskMemoryMB: 512,
		ShortestRun: 50 * time.Millisecond, LongestRun: time.Second, ResultGather: 10 * time.Millisecond, For: 5 * time.Second, Seed: 1,
	}
}

// Guards against a task that starts twice, and a job with wrong or missing results, when answers of the platform
// are lost and its worker interface has outages.
func TestLostAnswersAndOutagesStartNoTaskTwice(t *testing.T) {
	a := testArgs()
	a.LostAnswer, a.Outages = 0.2, true
	s, err := run(context.Background(), a)
	if err != nil {
		t.Fatal(err)
	}
	if s.RepeatedTasks > 0 || s.Incorrect > 0 {
		t.Errorf("%d tasks started more than once, %d complete jobs have missing or wrong results", s.RepeatedTasks, s.Incorrect)
	}
	if s.Starts < 500 || s.Outcomes["complete"] < s.Jobs*9/10 {
		t.Errorf("%d starts; jobs by outcome: %v", s.Starts, s.Outcomes)
	}
	if s.MessagesPerTask > 1.5 {
		t.Errorf("%.2f messages per task: %v", s.MessagesPerTask, s.MessagesPerTaskByPath)
	}
}

// Guards against a host that is paused for longer than its lease and then starts its tasks again, reports them
// complete or can't start new ones. Also guards against a job that waits although no worker is large enough for
// its tasks.
func TestHostPausedBeyondItsLease(t *testing.T) {
	a := testArgs()
	spec := a.spec(t.TempDir())
	spec.AdjustSettings = func(_ int, s *settings.Settings) { s.Workers.LeaseTTL = 1500 * time.Millisecond }
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	bed, err := testbed.Start(ctx, spec)
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Stop()
	c := client.New(client.Options{Hosts: []string{bed.Hosts[0].CallersURL()}})
	replies := make(chan *api.Reply, 1)
	go func() {
		reply, err := c.Run(ctx, threeTaskJob(4000, 1))
		if err != nil {
			t.Error(err)
		}
		replies <- reply
	}()
	waitForStarts(ctx, t, bed, 3)
	bed.Hosts[0].Signal(syscall.SIGSTOP)
	time.Sleep(2500 * time.Millisecond)
	bed.Hosts[0].Signal(syscall.SIGCONT)
	if r := <-replies; r == nil || r.Outcome != api.Failed || !strings.Contains(r.Reason.Message, "lease lapsed") {
		t.Errorf("reply after the pause: %+v", r)
	}
	if r, err := c.Run(ctx, threeTaskJob(50, 1)); err != nil || r.Outcome != api.Complete {
		t.Errorf("reply to a new job: %+v, %v", r, err)
	}
	if r, err := c.Run(ctx, threeTaskJob(50, 65)); err != nil || r.Outcome != api.Refused || r.Reason.Code != api.CodeNeverFits {
		t.Errorf("reply to a job with tasks of 65 cores: %+v, %v", r, err)
	}
	if got, err := fetchTotals(ctx, bed); err != nil || got.RepeatedTasks > 0 || got.Starts != 6 {
		t.Errorf("totals %+v, %v; want 6 starts and none repeated", got, err)
	}
}

// threeTaskJob returns a job of 3 tasks that each run for runMS milliseconds and declare the given cores.
func threeTaskJob(runMS, cores float64) api.Job {
	payload, _ := json.Marshal(platformsim.TaskPayload{RunMS: runMS, Cores: 1})
	job := api.Job{Schema: api.Schema, Team: "team", Kind: "estimate"}
	for range 3 {
		job.Tasks = append(job.Tasks, api.Task{Payload: payload, RunMS: int64(runMS), Cores: cores, MemoryMB: 10})
	}
	return job
}

// waitForStarts waits until the platform has counted at least n task starts.
func waitForStarts(ctx context.Context, t *testing.T, bed *testbed.Deployment, n int) {
	for pause.For(ctx, 20*time.Millisecond) {
		if got, err := fetchTotals(ctx, bed); err == nil && got.Starts >= n {
			return
		}
	}
	t.Fatal("the tasks did not start")
}
