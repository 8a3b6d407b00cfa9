// Command zonecut tests a network partition of a deployment of separate processes. It cuts one
// availability zone off from the other zones and the platform, heals the cut, and compares the replies
// that callers received with the task starts that the minions counted. Connections between hosts, from
// hosts to minions and from hosts to the platform pass through fault proxies. Registrations of minions
// with the platform do not, so the host list still shows minions that one side of the cut cannot reach.
// Package testbed starts the deployment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

type args struct {
	Bin    string        `default:"bin" help:"directory of the built programs"`
	Cut    time.Duration `default:"60s" help:"length of the cut; over 4s, so that tickets end within it"`
	Silent bool          `help:"connections that are open at the cut go silent for good, instead of being reset"`
	Seed   uint64        `default:"1" help:"seeds the callers and the stand-ins"`
}

// maxOverhead limits the time that a run takes in addition to the cut.
const maxOverhead = 90 * time.Second

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if !runOnce(ctx, a) {
		os.Exit(1)
	}
}

// runOnce runs the test, prints the measurements and findings, and reports whether there were no findings.
// It keeps the directory of the logs after a finding or an error.
func runOnce(ctx context.Context, a args) bool {
	ctx, cancel := context.WithTimeout(ctx, a.Cut+maxOverhead)
	defer cancel()
	dir, err := os.MkdirTemp("", "sesameledge-zonecut-")
	if err != nil {
		fmt.Println(err)
		return false
	}
	r, err := measure(ctx, a.Bin, dir, a.Cut, a.Silent, a.Seed)
	if err != nil {
		fmt.Printf("%v (logs in %s)\n", err, filepath.Base(dir))
		return false
	}
	fmt.Println(r)
	for _, f := range r.findings {
		fmt.Println("FINDING:", f)
	}
	if len(r.findings) > 0 {
		fmt.Println("logs in", filepath.Base(dir))
		return false
	}
	return os.RemoveAll(dir) == nil
}
