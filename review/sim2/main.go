// Command sim2 plays a case of the second review: it starts the daemons of the project as separate processes against
// stand-ins of the platform, the minions and the clients, which behave as the users' pages say.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// limit ends a case that hangs.
const limit = 115 * time.Second

var cases = map[string]func(d *deployment, trouble bool) (int, error){
	"cancel-kill":    cancelThenKill,
	"cancel-removed": cancelRemovedQueue,
	"cancel-zone":    cancelZone,
	"lapse":          lapse,
	"wide":           wide,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file to write")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(cannot)
	}
	os.Exit(run(play, *root, *record))
}

func run(play func(*deployment, bool) (int, error), root, record string) int {
	j, err := newJournal(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	dir, err := os.MkdirTemp("", "sim2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer os.RemoveAll(dir)
	root, _ = filepath.Abs(root)
	d, err := newDeployment(root, dir, j)
	if err != nil {
		j.log("cannot run: %v", err)
		return cannot
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := play(d, trouble)
		done <- result{code, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
		return cannot
	case r := <-done:
		if r.err != nil {
			j.log("cannot run: %v", r.err)
			return cannot
		}
		j.log("verdict: %s", map[int]string{held: "the rule held", broken: "the rule was broken"}[r.code])
		return r.code
	case <-time.After(limit):
		j.log("cannot run: the case takes too long")
		return cannot
	}
}
