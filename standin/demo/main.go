// Command demo starts a deployment of separate processes on loopback, submits real jobs
// through two entry hosts with the command line, and checks that each reply is complete and
// correct and that each task started exactly once. Package testbed runs the processes.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/standin/testbed"
)

type args struct {
	Bin  string `default:"bin" help:"directory of the built programs"`
	Keep bool   `help:"leave everything running and print the addresses"`
}

// demoTimeout limits the time to start the deployment and run the jobs.
const demoTimeout = 40 * time.Second

// demoConfig is the configuration that the demo publishes.
// The examples in docs/api.md use its teams and kinds.
const demoConfig = `schema: 1
teams:
  association: {weight: 1}
  abzeichenwerk: {weight: 1}
kinds:
  price-check: {group: demo, idempotent: true, default_deadline: 10s}
  badge-award: {group: demo, idempotent: false, default_deadline: 20s}
groups:
  demo: {endpoints: minion}
`

// demoJob describes one job that the demo submits.
type demoJob struct {
	name, team, kind string
	tasks            int
	runMS            int64 // run time of a task at speed 1, in ms
	host             int   // index of the entry host
}

var demoJobs = []demoJob{
	{name: "quote-desk price check", team: "association", kind: "price-check", tasks: 24, runMS: 120, host: 0},
	{name: "badge awards", team: "abzeichenwerk", kind: "badge-award", tasks: 400, runMS: 150, host: 1},
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, a args) error {
	dir, err := os.MkdirTemp("", "sesameledge-demo-")
	if err != nil {
		return err
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	bed, err := testbed.Start(timeoutCtx, testbed.Spec{
		BinDir: a.Bin, Dir: dir,
		Zones: []string{"ernakulam", "malabar", "tvm-south"},
		Hosts: 5, Minions: 12, Group: "demo", Spread: 0.3, Seed: 1,
		Config: demoConfig,
	})
	if err != nil {
		return errors.Wrapf(err, "starting the deployment (logs in %s)", dir)
	}
	defer os.RemoveAll(dir)
	defer bed.Stop()
	printProcesses(bed)
	if err := runJobs(timeoutCtx, a.Bin, dir, bed); err != nil {
		return err
	}
	if a.Keep {
		fmt.Printf("\nexport HOST=%s\nexport OPERATOR=%s\nrunning; interrupt to stop\n",
			bed.Hosts[0].CallersURL(), bed.Hosts[0].OperatorsURL())
		<-ctx.Done()
	}
	return nil
}

func printProcesses(bed *testbed.Deployment) {
	fmt.Printf("platform %s, minions' admin %s\n", bed.PlatformURL, bed.MinionAdmin)
	for _, h := range bed.Hosts {
		fmt.Printf("host %-12s zone %-10s callers %s operators %s pid %d\n",
			h.Settings.Host, h.Settings.Zone, h.CallersURL(), h.OperatorsURL(), h.PID())
	}
}

func runJobs(ctx context.Context, bin, dir string, bed *testbed.Deployment) error {
	speeds, err := fetchSlotSpeeds(ctx, bed)
	if err != nil {
		return err
	}
	var failures int
	for n, j := range demoJobs {
		file := filepath.Join(dir, fmt.Sprintf("job-%d.json", n))
		if err := writeJob(file, j); err != nil {
			return err
		}
		ok, err := submitAndCheck(ctx, bin, file, j, bed, speeds)
		if err != nil {
			return err
		}
		if !ok {
			failures++
		}
	}
	if failures > 0 {
		return errors.Newf("%d of %d jobs were not whole with each task started exactly once", failures, len(demoJobs))
	}
	fmt.Println("\nevery job was whole and every task started exactly once")
	return nil
}

func writeJob(file string, j demoJob) error {
	job := api.Job{Schema: api.Schema, Team: j.team, Kind: j.kind, Tasks: make([]api.Task, j.tasks)}
	for i := range job.Tasks {
		job.Tasks[i] = api.Task{
			RunMS:   j.runMS,
			Payload: json.RawMessage(fmt.Sprintf(`{"run_ms":%d,"echo":"%s %d"}`, j.runMS, j.kind, i)),
		}
	}
	text, err := json.Marshal(job)
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o644)
}

// submitAndCheck submits one job with the command line and prints a summary of the reply. It
// reports whether the reply was complete and correct and each task started exactly once.
func submitAndCheck(ctx context.Context, bin, file string, j demoJob, bed *testbed.Deployment, speeds slotSpeeds) (bool, error) {
	host := bed.Hosts[j.host]
	cmd := exec.CommandContext(ctx, filepath.Join(bin, "sesameledge"), "--json", "--host", host.CallersURL(), "job", "submit", file)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	began := time.Now()
	runErr := cmd.Run()
	commandTime := time.Since(began)
	var reply api.Reply
	if err := json.Unmarshal(out.Bytes(), &reply); err != nil {
		return false, errors.Newf("%s: no reply: %v %s", j.name, runErr, errOut.String())
	}
	starts, err := bed.Starts(ctx)
	if err != nil {
		return false, err
	}
	startsByTask := starts.Tickets[string(reply.Ticket)]
	total, repeated := 0, 0
	for _, n := range startsByTask {
		total += n
		if n > 1 {
			repeated++
		}
	}
	complete := reply.Outcome == api.Complete && countCorrectResults(&reply, j) == j.tasks
	idealTime := speeds.minMakespan(j.tasks, time.Duration(j.runMS)*time.Millisecond)
	fmt.Printf("\n%s through %s: %s\n", j.name, host.Settings.Host, reply.Outcome)
	fmt.Printf("  first result      %s\n", firstResult(&reply))
	fmt.Printf("  tasks             %d, results %d\n", j.tasks, countCorrectResults(&reply, j))
	fmt.Printf("  starts counted    %d on %d tasks, started twice %d\n", total, len(startsByTask), repeated)
	fmt.Printf("  response time     %.0f ms at the host, %.0f ms with the command line\n", reply.ElapsedMS, float64(commandTime.Milliseconds()))
	fmt.Printf("  ideal             %.0f ms, response over ideal %.2f\n", float64(idealTime.Milliseconds()), reply.ElapsedMS/(float64(idealTime.Microseconds())/1000))
	return complete && total == j.tasks && len(startsByTask) == j.tasks && repeated == 0, nil
}

// countCorrectResults counts the tasks whose result echoes the text in their payload.
func countCorrectResults(r *api.Reply, j demoJob) int {
	n := 0
	for i, t := range r.Tasks {
		var result struct {
			Echo string `json:"echo"`
		}
		if json.Unmarshal(t.Result, &result) == nil && t.Index == i && result.Echo == fmt.Sprintf("%s %d", j.kind, i) {
			n++
		}
	}
	return n
}

func firstResult(r *api.Reply) string {
	if len(r.Tasks) == 0 {
		return "none"
	}
	var line bytes.Buffer
	if err := json.Compact(&line, r.Tasks[0].Result); err != nil {
		return err.Error()
	}
	return line.String()
}
