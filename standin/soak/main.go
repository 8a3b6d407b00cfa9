// Command soak runs entry hosts as separate processes on one machine and injects faults from outside:
// a loopback proxy delays, resets, black-holes or holds back connections; signals stop, pause and
// kill processes, which then restart; and the simulated store and workers of the platform misbehave.
// It compares the answers that callers got with what the workers ran. Each run draws its faults, some
// of which overlap, from a seed. Package fleetsim simulates the store and the workers, proxysim is the
// proxy, and testbed starts the processes.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

// args are the command's flags.
type args struct {
	Bin      string        `default:"bin" help:"directory of the built programs"`
	Seed     uint64        `help:"first seed; default a fresh one"`
	Seeds    int           `default:"1" help:"number of seeds to run, one after the other"`
	Length   time.Duration `default:"20s" help:"time with faults, of each seed"`
	Zones    int           `default:"2" help:"availability zones"`
	Hosts    int           `default:"3" help:"entry hosts of each zone"`
	Workers  int           `default:"5" help:"workers of each zone"`
	Callers  int           `default:"24" help:"callers"`
	Parallel int           `default:"1" help:"seeds at a time"`
	Logs     string        `help:"directory that keeps the logs of runs with findings"`

	NoEvacuations bool `arg:"--no-evacuations" help:"evacuate no zones, for builds that do not know evacuations"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if a.Seed == 0 {
		a.Seed = rand.Uint64()
	}
	failed := runSeeds(ctx, a)
	fmt.Printf("%d of %d seeds with findings\n", failed, a.Seeds)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeeds runs a.Seeds seeds from a.Seed on, at most a.Parallel at a time. It prints their reports and
// returns how many have failed.
func runSeeds(ctx context.Context, a args) int {
	var failed atomic.Int64
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, a.Parallel))
	for seed := a.Seed; seed < a.Seed+uint64(a.Seeds); seed++ {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			r, err := runSeed(ctx, a, seed)
			switch {
			case err != nil:
				fmt.Printf("seed %d: %v\n", seed, err)
				failed.Add(1)
			case len(r.findings) > 0:
				failed.Add(1)
				fallthrough
			default:
				fmt.Println(r)
			}
		}()
	}
	wg.Wait()
	return int(failed.Load())
}
