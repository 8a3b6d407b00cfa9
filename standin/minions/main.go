// Command minions runs stand-ins for minions on loopback ports.
package main

import (
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/standin/simhttp"
)

type args struct {
	Count       int           `default:"50" help:"minions"`
	Prefix      string        `default:"minion" help:"prefix of the identifiers"`
	Address     string        `default:"127.0.0.1" help:"loopback IP of the minions"`
	Admin       string        `default:"127.0.0.1:7410" help:"loopback IP:port of the admin interface"`
	Platform    string        `help:"base URL of the platform; empty means not to register"`
	Zones       string        `default:"local" help:"availability zones, separated by commas"`
	Group       string        `default:"quote" help:"back-end group"`
	Slots       int           `default:"8" help:"tasks that a minion runs at a time"`
	Connections int           `default:"64" help:"open connections of a minion"`
	Queue       int           `help:"tasks that wait for a slot; default as many as connections"`
	Spread      float64       `default:"0.6" help:"standard deviation of ln(speed); negative for equal speeds"`
	ZoneDelay   time.Duration `arg:"--zone-delay" help:"one-way delay to and from hosts of other zones; hosts are named ZONE-NUMBER"`
	Seed        uint64        `default:"1" help:"seeds speeds, identities and faults"`
	For         time.Duration `default:"1h" help:"stop by itself after this time"`
}

func main() {
	var a args
	arg.MustParse(&a)
	logger := log.With(log.NewLogfmtLogger(os.Stderr), "part", "minions")
	fleet := minionsim.New(minionsim.Config{
		Count:       a.Count,
		Prefix:      a.Prefix,
		Address:     a.Address,
		Admin:       a.Admin,
		Platform:    a.Platform,
		Zones:       strings.Split(a.Zones, ","),
		Group:       a.Group,
		Slots:       a.Slots,
		Connections: a.Connections,
		Queue:       a.Queue,
		Spread:      a.Spread,
		ZoneDelay:   a.ZoneDelay,
		Seed:        a.Seed,
	})
	if err := fleet.Start(); err != nil {
		_ = logger.Log("msg", "Cannot start.", "err", err)
		os.Exit(1)
	}
	defer fleet.Stop()
	_ = logger.Log("msg", "Serving.", "minions", len(fleet.Minions), "admin", fleet.AdminURL())
	simhttp.RunFor(a.For)
}
