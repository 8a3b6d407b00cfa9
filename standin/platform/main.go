// Command platform runs the platform stand-in (package platformsim) as a process on a loopback
// address. It stops on SIGINT, SIGTERM or after the time of the flag --for.
package main

import (
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/standin/platformsim"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

type args struct {
	Listen       string        `default:"127.0.0.1:7400" help:"loopback IP:port"`
	AppendRate   float64       `arg:"--append-rate" default:"300" help:"limit of appends per second, over all streams"`
	SyncTime     time.Duration `arg:"--sync-time" default:"4ms" help:"time that one synced append takes"`
	Retention    int           `default:"100000" help:"maximum number of records kept in each stream"`
	HostLag      time.Duration `arg:"--host-lag" default:"1s" help:"delay before a change appears in the served host list"`
	HostTTL      time.Duration `arg:"--host-ttl" default:"3s" help:"time after which a host that does not renew its registration is removed"`
	Workers      int           `default:"0" help:"number of workers"`
	Cores        float64       `default:"64" help:"cores of each worker"`
	MemoryMB     int64         `arg:"--memory-mb" default:"131072" help:"memory of each worker, in MB"`
	Accelerators int           `default:"0" help:"accelerators of each worker"`
	Zones        string        `default:"local" help:"availability zones of the workers, separated by commas"`
	Group        string        `default:"estimate" help:"back-end group of the workers"`
	UsageLag     time.Duration `arg:"--usage-lag" default:"2s" help:"minimum age of the reported usage"`
	Seed         uint64        `default:"1" help:"seed of the random choice of lost answers"`
	For          time.Duration `default:"1h" help:"time after which the process stops"`
}

func main() {
	var options args
	arg.MustParse(&options)
	logger := log.With(log.NewLogfmtLogger(os.Stderr), "part", "platform")
	sim := platformsim.New(platformsim.Config{
		Address:    options.Listen,
		AppendRate: options.AppendRate,
		SyncTime:   options.SyncTime,
		Retention:  options.Retention,
		HostLag:    options.HostLag,
		HostTTL:    options.HostTTL,
		Workers:    platformsim.UniformWorkers(options.Workers, options.Cores, options.MemoryMB, options.Accelerators, options.Group, strings.Split(options.Zones, ",")...),
		UsageLag:   options.UsageLag,
		Seed:       options.Seed,
	})
	if err := sim.Start(); err != nil {
		_ = logger.Log("msg", "Cannot start.", "err", err)
		os.Exit(1)
	}
	defer sim.Stop()
	_ = logger.Log("msg", "Serving.", "url", sim.URL())
	simhttp.WaitForSignalOrTimeout(options.For)
}
