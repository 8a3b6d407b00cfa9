// Command workerload is a load test of the dispatch to workers. It starts a deployment whose jobs run on the
// workers of the platform stand-in, submits jobs whose tasks declare wrong sizes, and prints as JSON the
// measurements that docs/workers.md quotes: messages per task, response times minus the run time of the longest
// task, utilisation, over-commitment, and the number of tasks that started more than once. Package testbed starts
// the deployment; package platformsim runs the workers and counts the starts.
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
)

// args holds the command-line flags; go-arg derives flag names from the field names.
type args struct {
	Bin          string        `default:"bin" help:"directory of the built programs"`
	Workers      int           `default:"50" help:"number of workers, 8 to a rack"`
	Cores        float64       `default:"64" help:"cores of each worker"`
	MemoryMB     int64         `arg:"--memory-mb" default:"131072" help:"memory of each worker in MB"`
	Accelerators int           `default:"0" help:"accelerators of each worker"`
	Hosts        int           `default:"3" help:"number of entry hosts"`
	Load         float64       `default:"0.5" help:"share of all cores that the tasks use"`
	Tasks        int           `default:"24" help:"number of tasks of a job"`
	Off          float64       `default:"4" help:"used sizes differ from the declared ones by up to this factor, up or down"`
	Bias         float64       `default:"1" help:"factor that multiplies all used sizes in addition"`
	LostAnswer   float64       `arg:"--lost-answer" help:"share of the platform's answers that are lost"`
	Outages      bool          `help:"let the worker interface fail for 1 s in every 4 s"`
	ResultGather time.Duration `arg:"--result-gather" default:"10ms" help:"pause between two reads of results"`
	ShortestRun  time.Duration `arg:"--shortest-run" default:"50ms" help:"shortest run time of a task"`
	LongestRun   time.Duration `arg:"--longest-run" default:"1s" help:"longest run time of a task; run times are log-uniform"`
	TaskMemoryMB int64         `arg:"--task-memory-mb" default:"512" help:"declared memory of a task in MB"`
	Failing      int           `help:"number of workers that fail every task"`
	For          time.Duration `default:"20s" help:"duration of the load"`
	Seed         uint64        `default:"1"` // seed of the deployment and of the drawn jobs
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := run(ctx, a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "workerload:", err)
		os.Exit(1)
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		fmt.Fprintln(os.Stderr, "workerload:", err)
		os.Exit(1)
	}
	fmt.Println(string(text))
}
