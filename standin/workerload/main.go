// Command workerload starts a deployment whose jobs run on the platform's workers,
// submits jobs with sizes that are declared wrongly, and prints the figures of
// docs/workers.md: messages per task, response times beyond the longest task,
// utilisation and over-commitment, and the tasks that started more than once.
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

type args struct {
	Bin          string        `default:"bin" help:"directory of the built programs"`
	Workers      int           `default:"50" help:"workers, 8 to a rack"`
	Cores        float64       `default:"64" help:"of each worker"`
	MemoryMB     int64         `arg:"--memory-mb" default:"131072" help:"of each worker"`
	Accelerators int           `default:"0" help:"of each worker"`
	Hosts        int           `default:"3" help:"entry hosts"`
	Load         float64       `default:"0.5" help:"share of all cores that the tasks use"`
	Tasks        int           `default:"24" help:"tasks of a job"`
	Off          float64       `default:"4" help:"declared sizes are off by up to this factor"`
	Bias         float64       `default:"1" help:"used size relative to the declared one, apart from that"`
	LostAnswer   float64       `arg:"--lost-answer" help:"share of the platform's answers that are lost"`
	Outages      bool          `help:"let the worker interface fail for 1 s in every 4"`
	ResultGather time.Duration `arg:"--result-gather" default:"10ms" help:"pause between two reads of results"`
	ShortestRun  time.Duration `arg:"--shortest-run" default:"50ms" help:"of a task"`
	LongestRun   time.Duration `arg:"--longest-run" default:"1s" help:"of a task; run times are even by their logarithm"`
	TaskMemoryMB int64         `arg:"--task-memory-mb" default:"512" help:"declared memory of a task"`
	Failing      int           `help:"workers that fail every task"`
	For          time.Duration `default:"20s" help:"length of the load"`
	Seed         uint64        `default:"1"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f, err := run(ctx, a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "workerload:", err)
		os.Exit(1)
	}
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		fmt.Fprintln(os.Stderr, "workerload:", err)
		os.Exit(1)
	}
	fmt.Println(string(text))
}
