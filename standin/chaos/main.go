// Command chaos disturbs deployments of separate processes under load and holds what
// callers were told against the starts that the minions counted. It prints its seed.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

type args struct {
	Bin      string        `default:"bin" help:"directory of the built programs"`
	Seed     uint64        `help:"seed; default a fresh one"`
	For      time.Duration `default:"5m" help:"start no further scenario after this time"`
	Scenario string        `help:"run only this scenario"`
}

// scenarioTimeout bounds one scenario.
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
	if !runAll(ctx, a) {
		os.Exit(1)
	}
}

// runAll runs the scenarios in rounds, each with the next seed, and reports success.
func runAll(ctx context.Context, a args) bool {
	ok := true
	end := time.Now().Add(a.For)
	for seed := a.Seed; time.Now().Before(end) && ctx.Err() == nil; seed++ {
		for i := range scenarios {
			s := &scenarios[i]
			if (a.Scenario != "" && a.Scenario != s.name) || time.Now().After(end) || ctx.Err() != nil {
				continue
			}
			ok = runOne(ctx, s, a.Bin, seed) && ok
		}
	}
	return ok
}

func runOne(ctx context.Context, s *scenario, bin string, seed uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "sesameledge-chaos-")
	if err != nil {
		fmt.Println(err)
		return false
	}
	r, err := s.run(ctx, bin, dir, seed)
	if err != nil {
		fmt.Printf("%s seed=%d: %v (logs in %s)\n", s.name, seed, err, filepath.Base(dir))
		return false
	}
	fmt.Println(r)
	for _, f := range r.Findings {
		fmt.Println("  FINDING:", f)
	}
	if len(r.Findings) > 0 {
		fmt.Println("  logs in", filepath.Base(dir))
		return false
	}
	return os.RemoveAll(dir) == nil
}
