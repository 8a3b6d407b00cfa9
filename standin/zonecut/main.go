// Command zonecut cuts an availability zone of a deployment of separate processes off
// from the other zones and the platform, heals the cut, and holds what callers were told
// against the starts that the minions counted. Links between hosts, from hosts to minions
// and from hosts to the platform pass through fault proxies. Registrations of minions
// with the platform do not: the list still shows the minions that a part cannot reach.
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

// overhead bounds the time of a run beyond the cut.
const overhead = 90 * time.Second

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if !runOnce(ctx, a) {
		os.Exit(1)
	}
}

// runOnce prints the figures and findings and reports whether there were no findings.
func runOnce(ctx context.Context, a args) bool {
	ctx, cancel := context.WithTimeout(ctx, a.Cut+overhead)
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
