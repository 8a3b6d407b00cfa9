// Command sesameledged is the daemon that runs on every entry host. It loads the settings, starts
// the host of package entry (--entry) or the one of package daemon, and drains it on a signal.
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
		// Before anything that takes time: a SIGHUP without a handler ends the process.
		reloads := make(chan os.Signal, 1)
		signal.Notify(reloads, syscall.SIGHUP)
		os.Exit(run(args, entry.LoadSettings, func(args arguments, s *entry.Settings) (process, error) {
			return startEntry(args, s, reloads)
		}))
	}
	os.Exit(run(args, settings.Load, startDaemon))
}

// process is a daemon that can be drained.
type process interface {
	Drain()
	Drained() <-chan struct{}
}

// run loads the settings and returns the exit code. With --check it ends after that; otherwise it
// starts a process and waits until it is drained.
func run[S any](args arguments, load func(path string) (S, error), start func(args arguments, s S) (process, error)) int {
	s, err := load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if args.Check {
		fmt.Printf("%s: ok\n", args.Settings)
		return 0
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt) // before a caller can connect
	p, err := start(args, s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return drainOnSignal(p, signals)
}

// startEntry starts an entry host on the platform.
func startEntry(args arguments, s *entry.Settings, reloads <-chan os.Signal) (process, error) {
	h, err := entry.Start(s, os.Stdout)
	if err != nil {
		return nil, err
	}
	go reloadOnSignal(h, args.Settings, reloads)
	return h, nil
}

// startDaemon starts a daemon of package daemon, which serves the product's own interface.
func startDaemon(_ arguments, s *settings.Settings) (process, error) {
	d, err := daemon.New(s, os.Stderr)
	if err != nil {
		return nil, err
	}
	return d, d.Start()
}

// reloadOnSignal reloads the settings on each signal, also on one that came while the process started.
func reloadOnSignal(h *entry.Host, path string, signals <-chan os.Signal) {
	for range signals {
		h.Reload(path)
	}
}

// drainOnSignal drains the process on the first SIGTERM or interrupt and returns the exit code. An
// interrupt during the drain ends it with exitFailure. Further SIGTERMs have no effect, since two
// overlapping rollouts may each send one.
func drainOnSignal(p process, signals <-chan os.Signal) int {
	select {
	case <-signals:
		go p.Drain()
	case <-p.Drained():
		return 0
	}
	for {
		select {
		case sig := <-signals:
			if sig == os.Interrupt {
				return exitFailure
			}
		case <-p.Drained():
			return 0
		}
	}
}
