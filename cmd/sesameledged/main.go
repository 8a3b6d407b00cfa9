// Command sesameledged is the daemon that runs on every entry host.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/entry"
	"sesameledge.dev/sesameledge/platform"
	"sesameledge.dev/sesameledge/settings"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

type arguments struct {
	Settings string `arg:"positional" help:"settings file in YAML; with --entry, by default the one that the platform names"`
	Entry    bool   `arg:"--entry" help:"run as an entry host on the platform"`
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
	parser := arg.MustParse(&args)
	if args.Settings == "" && args.Entry {
		args.Settings = os.Getenv(platform.SettingsVariable)
	}
	if args.Settings == "" {
		parser.Fail("no settings file")
	}
	if args.Entry {
		os.Exit(runEntry(args))
	}
	os.Exit(run(args))
}

// process is a daemon that can be drained.
type process interface {
	Drain()
	Drained() <-chan struct{}
}

// runEntry runs an entry host on the platform.
func runEntry(args arguments) int {
	s, err := entry.LoadSettings(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if args.Check {
		fmt.Printf("%s: ok\n", args.Settings)
		return 0
	}
	h, err := entry.Start(s, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	go reload(h, args.Settings)
	return wait(h)
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

// reload reads the settings again on each SIGHUP.
func reload(h *entry.Host, path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		h.Reload(path)
	}
}

// wait drains on the first SIGTERM or interrupt and gives up on the second.
func wait(d process) int {
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
