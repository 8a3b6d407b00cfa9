// Command chaos injects faults into deployments of separate processes under load. It compares the
// replies that callers received with the task starts that the minions counted. It runs scenarios of
// one fault and pairs of faults that overlap in time, and prints its seed. Package testbed starts the
// deployments and signals their processes; the stand-ins inject faults of the platform and the minions.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

type args struct {
	Bin      string        `default:"bin" help:"directory of the built programs"`
	Seed     uint64        `help:"seed; default a fresh one"`
	For      time.Duration `default:"5m" help:"start no further scenario after this time"`
	Scenario string        `help:"run only this scenario"`
	Pairs    string        `help:"run this pair of faults, such as pause+outage, or all of them once, and print a table"`
	Parallel int           `default:"4" help:"deployments at a time for pairs"`
}

// scenarioTimeout limits the run of one scenario.
const scenarioTimeout = 90 * time.Second

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if a.Seed == 0 {
		a.Seed = rand.Uint64()
	}
	fmt.Printf("seed %d\n", a.Seed)
	run := runRounds
	if a.Pairs != "" {
		run = runNamedPairs
	}
	if !run(ctx, a) {
		os.Exit(1)
	}
}

func runNamedPairs(ctx context.Context, a args) bool {
	pairs := findPairs(a.Pairs)
	if len(pairs) == 0 {
		fmt.Printf("no pair is named %q\n", a.Pairs)
		return false
	}
	return runPairs(ctx, pairs, a.Bin, a.Seed, a.Parallel)
}

// pairsPerRound is the number of random pairs that each round runs after its scenarios.
const pairsPerRound = 8

// runRounds runs the scenarios and some random pairs in rounds. Each round uses the next seed.
// It reports whether all runs passed.
func runRounds(ctx context.Context, a args) bool {
	ok := true
	end := time.Now().Add(a.For)
	for seed := a.Seed; time.Now().Before(end) && ctx.Err() == nil; seed++ {
		for i := range scenarios {
			s := &scenarios[i]
			if (a.Scenario != "" && a.Scenario != s.name) || time.Now().After(end) || ctx.Err() != nil {
				continue
			}
			ok = runScenario(ctx, s, a.Bin, seed) && ok
		}
		if a.Scenario == "" && time.Now().Before(end) && ctx.Err() == nil {
			ok = runPairs(ctx, randomPairs(pairsPerRound, seed), a.Bin, seed, a.Parallel) && ok
		}
	}
	return ok
}

func runScenario(ctx context.Context, s *scenario, bin string, seed uint64) bool {
	_, ok := runInTempDir(ctx, s.name, seed, scenarioTimeout, func(ctx context.Context, dir string) (*Report, error) {
		return s.run(ctx, bin, dir, seed)
	})
	return ok
}
