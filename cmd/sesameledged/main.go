// Command sesameledged is the daemon that runs on every entry host.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/settings"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

type arguments struct {
	Settings string `arg:"positional,required" help:"settings file in YAML"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "sesameledged " + daemon.Version }

// Description implements arg.Described.
func (arguments) Description() string {
	return "Serves callers, dispatches their tasks to back ends, and answers operators."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	os.Exit(run(args))
}

func run(args arguments) int {
	s, err := settings.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if args.Check {
		fmt.Printf("%s: ok\n", args.Settings)
		return 0
	}
	d, err := daemon.New(s, os.Stderr)
	if err == nil {
		err = d.Start()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return wait(d)
}

// wait drains on the first SIGTERM or interrupt and gives up on the second.
func wait(d *daemon.Daemon) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
		go d.Drain()
	case <-d.Drained():
		return 0
	}
	select {
	case <-signals:
		return exitFailure
	case <-d.Drained():
		return 0
	}
}
