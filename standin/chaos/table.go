package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// runPairs runs pairs on up to parallel deployments at a time and prints a table. It reports whether all
// passed.
func runPairs(ctx context.Context, pairs []pair, bin string, seed uint64, parallel int) bool {
	reports := make([]*Report, len(pairs))
	slots := make(chan struct{}, max(parallel, 1))
	ok := true
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, pr := range pairs {
		slots <- struct{}{}
		if ctx.Err() != nil {
			ok = false
			break
		}
		group.Go(func() {
			defer func() { <-slots }()
			run := func(ctx context.Context, dir string) (*Report, error) {
				return pr.run(ctx, bin, dir, seed, pairOptions{maxOverlap: defaultMaxOverlap, checkTimes: true})
			}
			r, passed := runInTempDir(ctx, pr.name(), seed, pairTimeout, run)
			mu.Lock()
			defer mu.Unlock()
			reports[i], ok = r, ok && passed
		})
	}
	group.Wait()
	printTable(reports)
	return ok
}

// runInTempDir runs a scenario or pair in a temporary directory and prints its report. It keeps the
// directory after a finding or an error.
func runInTempDir(ctx context.Context, name string, seed uint64, timeout time.Duration, run func(context.Context, string) (*Report, error)) (*Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "sesameledge-chaos-")
	if err != nil {
		fmt.Println(err)
		return nil, false
	}
	r, err := run(ctx, dir)
	if err != nil {
		fmt.Printf("%s seed=%d: %v (logs in %s)\n", name, seed, err, filepath.Base(dir))
		return nil, false
	}
	text := r.String()
	for _, f := range r.Findings {
		text += "\n  FINDING: " + f
	}
	if len(r.Findings) > 0 {
		fmt.Printf("%s\n  logs in %s\n", text, filepath.Base(dir))
		return r, false
	}
	fmt.Println(text)
	return r, os.RemoveAll(dir) == nil
}

// printTable prints the reports as a Markdown table.
func printTable(reports []*Report) {
	fmt.Println("\n| pair | jobs | complete | failed | refused | lost | no outcome | \"not run\" checked | keys | double starts | slowest verdict | findings |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range reports {
		if r == nil {
			continue
		}
		fmt.Printf("| %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %.2f s | %d |\n", r.Scenario, r.Jobs, r.Complete, r.Failed,
			r.Refused, r.Lost, r.NoOutcome, r.NotRun, r.Keys, r.DoubleStarts, r.Slowest.Seconds(), len(r.Findings))
	}
}

// randomPairs returns up to n different pairs in random order.
func randomPairs(n int, seed uint64) []pair {
	all, random := allPairs(), rand.New(rand.NewPCG(seed, 0))
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// findPairs returns the pair with this name, its faults in either order, or every pair for "all".
func findPairs(name string) []pair {
	var out []pair
	for _, pr := range allPairs() {
		if name == "all" || name == pr.name() || name == (pair{pr.second, pr.first}).name() {
			out = append(out, pr)
		}
	}
	return out
}
