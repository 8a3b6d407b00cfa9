// Command cost measures the resources that one daemon uses: processor time and memory at
// rest, processor time per task under load, and memory per open job and open task. It also
// measures the latency that the daemon adds to a task, compared with direct calls to a
// minion in the same run. Package testbed starts the deployment as separate processes.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/standin/testbed"
)

type args struct {
	Bin     string        `default:"bin" help:"directory of the built programs"`
	Tasks   int           `default:"100" help:"tasks of a job"`
	Callers int           `default:"8" help:"jobs submitted at a time"`
	For     time.Duration `default:"5s" help:"length of each measurement"`
	Profile string        `help:"write a processor profile of the daemon under load to this file"`
	JSON    bool          `arg:"--json" help:"print JSON"`
}

// benchConfig is the configuration of the deployment.
const benchConfig = `schema: 1
teams: {team: {weight: 1}}
kinds: {short: {group: cost, idempotent: true, default_deadline: 60s}}
groups: {cost: {endpoints: minion}}
policy: {max_wait: 24h}
`

// The minions have so many slots that the daemon is the bottleneck.
const (
	minionCount    = 8
	slotsPerMinion = 32
)

// report holds the results of one run.
type report struct {
	IdleCPUPercent          float64 `json:"idle_cpu_percent_of_a_core"`
	IdleMemoryMB            float64 `json:"idle_memory_mb"`
	TasksPerSecond          float64 `json:"tasks_per_second"`
	CPUMicrosPerTask        float64 `json:"cpu_us_per_task"`
	TaskStartsPerCoreSecond float64 `json:"task_starts_per_core_second"`
	OpenJobBytes            float64 `json:"memory_bytes_per_open_job"`
	OpenTaskBytes           float64 `json:"memory_bytes_per_open_task"`
	DirectMedianUs          float64 `json:"direct_call_us_p50"`
	DispatchMedianUs        float64 `json:"one_task_job_us_p50"`
	AddedMedianUs           float64 `json:"added_us_p50"`
	DirectP99Us             float64 `json:"direct_call_us_p99"`
	DispatchP99Us           float64 `json:"one_task_job_us_p99"`
	TasksPerJob             int     `json:"tasks_per_job"`
}

func main() {
	var opts args
	arg.MustParse(&opts)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := run(ctx, opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cost:", err)
		os.Exit(1)
	}
	if err := r.print(opts.JSON); err != nil {
		fmt.Fprintln(os.Stderr, "cost:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, opts args) (*report, error) {
	dir, err := os.MkdirTemp("", "sesameledge-cost-")
	if err != nil {
		return nil, err
	}
	bed, err := testbed.Start(ctx, testbed.Spec{
		BinDir: opts.Bin, Dir: dir, Zones: []string{"local"}, Hosts: 1, Minions: minionCount,
		Group: "cost", SlotsPerMinion: slotsPerMinion, Spread: -1, Seed: 1, Config: benchConfig,
		MinionArgs:     []string{"--connections", "256"},
		AdjustSettings: raiseConnectionLimit,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "starting the deployment (logs in %s)", dir)
	}
	defer os.RemoveAll(dir)
	defer bed.Stop()
	r := &report{TasksPerJob: opts.Tasks}
	// Open jobs are measured before the load: once the heap has grown under load, the memory
	// that open jobs add no longer shows in the resident set.
	steps := []func(context.Context, args, *testbed.Deployment, *report) error{measureIdle, measureOpenJobs, measureLatency, measureLoad}
	for _, step := range steps {
		if err := step(ctx, opts, bed, r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *report) print(asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("at rest              %.2f%% of a core, %.1f MB\n", r.IdleCPUPercent, r.IdleMemoryMB)
	fmt.Printf("under load           %.0f tasks/s, %.1f us of processor time a task, %.0f task starts per core and second\n",
		r.TasksPerSecond, r.CPUMicrosPerTask, r.TaskStartsPerCoreSecond)
	fmt.Printf("memory               %.0f bytes an open job, %.0f bytes an open task (jobs of %d tasks)\n",
		r.OpenJobBytes, r.OpenTaskBytes, r.TasksPerJob)
	fmt.Printf("latency, median      direct %.0f us, through the daemon %.0f us, added %.0f us\n",
		r.DirectMedianUs, r.DispatchMedianUs, r.AddedMedianUs)
	fmt.Printf("latency, 99th        direct %.0f us, through the daemon %.0f us\n", r.DirectP99Us, r.DispatchP99Us)
	return nil
}
