// Command soak disturbs entry hosts that run as separate processes on one machine, by faults
// from outside them: connections that a loopback proxy delays, resets, silences or holds one
// way, signals that stop, pause, kill and restart processes, and stand-ins of the platform's
// store and workers that misbehave. It holds what callers were told against what the workers
// ran. Each run draws its faults from a seed, in series and overlapping.
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
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if a.Seed == 0 {
		a.Seed = rand.Uint64()
	}
	failed := soakAll(ctx, a)
	fmt.Printf("%d of %d seeds with findings\n", failed, a.Seeds)
	if failed > 0 {
		os.Exit(1)
	}
}

// soakAll runs the seeds, some at a time, prints their reports, and returns how many have failed.
func soakAll(ctx context.Context, a args) int {
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
			r, err := soak(ctx, a, seed)
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
