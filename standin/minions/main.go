// Command minions runs stand-ins for minions on loopback ports in one process, with an admin interface for tests.
// It only reads the flags; package minionsim implements the minions.
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

// args holds the command-line flags; go-arg derives flag names from the field names.
type args struct {
	Count       int           `default:"50" help:"number of minions"`
	Prefix      string        `default:"minion" help:"prefix of the minion identifiers"`
	Address     string        `default:"127.0.0.1" help:"loopback IP of the minions"`
	Admin       string        `default:"127.0.0.1:7410" help:"loopback IP:port of the admin interface"`
	Platform    string        `help:"base URL of the platform that the minions register with; empty for no registration"`
	Zones       string        `default:"local" help:"availability zones, separated by commas; minions are assigned to them in turn"`
	Group       string        `default:"quote" help:"back-end group"`
	Slots       int           `default:"8" help:"number of tasks that a minion runs at a time"`
	Connections int           `default:"64" help:"maximum number of open connections to a minion"`
	Queue       int           `help:"maximum number of tasks that wait for a slot of a minion; defaults to the connections"`
	Spread      float64       `default:"0.6" help:"standard deviation of ln(speed) over the minions; negative for equal speeds"`
	ZoneDelay   time.Duration `arg:"--zone-delay" help:"one-way delay to and from hosts of other zones; hosts are named ZONE-NUMBER"`
	Seed        uint64        `default:"1" help:"seeds speeds, identities and faults"`
	For         time.Duration `default:"1h" help:"stop after this time"`
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
	simhttp.WaitForSignalOrTimeout(a.For)
}
