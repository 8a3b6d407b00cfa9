// Command platform runs the stand-in for the platform on a loopback address.
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
	AppendRate   float64       `arg:"--append-rate" default:"300" help:"appends a second over all streams"`
	SyncTime     time.Duration `arg:"--sync-time" default:"4ms" help:"time that one append takes"`
	Retention    int           `default:"100000" help:"records kept of each stream"`
	HostLag      time.Duration `arg:"--host-lag" default:"1s" help:"age of the served host list"`
	HostTTL      time.Duration `arg:"--host-ttl" default:"3s" help:"a host that does not renew within it disappears"`
	Workers      int           `default:"0" help:"workers"`
	Cores        float64       `default:"64" help:"of each worker"`
	MemoryMB     int64         `arg:"--memory-mb" default:"131072" help:"of each worker"`
	Accelerators int           `default:"0" help:"of each worker"`
	Zones        string        `default:"local" help:"availability zones of the workers, separated by commas"`
	Group        string        `default:"estimate" help:"back-end group of the workers"`
	UsageLag     time.Duration `arg:"--usage-lag" default:"2s" help:"least age of the reported usage"`
	Seed         uint64        `default:"1" help:"seeds the choice of lost answers"`
	For          time.Duration `default:"1h" help:"stop by itself after this time"`
}

func main() {
	var a args
	arg.MustParse(&a)
	logger := log.With(log.NewLogfmtLogger(os.Stderr), "part", "platform")
	sim := platformsim.New(platformsim.Config{
		Address:    a.Listen,
		AppendRate: a.AppendRate,
		SyncTime:   a.SyncTime,
		Retention:  a.Retention,
		HostLag:    a.HostLag,
		HostTTL:    a.HostTTL,
		Workers:    platformsim.Workers(a.Workers, a.Cores, a.MemoryMB, a.Accelerators, a.Group, strings.Split(a.Zones, ",")...),
		UsageLag:   a.UsageLag,
		Seed:       a.Seed,
	})
	if err := sim.Start(); err != nil {
		_ = logger.Log("msg", "Cannot start.", "err", err)
		os.Exit(1)
	}
	defer sim.Stop()
	_ = logger.Log("msg", "Serving.", "url", sim.URL())
	simhttp.RunFor(a.For)
}
