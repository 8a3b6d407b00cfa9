// Package minionsim is a stand-in for minions: many in one process, each on its own
// loopback port, with slots, a connection limit, a speed of its own and faults that can
// be switched at run time. It serves the protocol that package backend of the product
// defines. It counts the starts of every task, so that tests can check at-most-once execution.
package minionsim

import (
	"time"

	"sesameledge.dev/sesameledge/internal/defaults"
)

// Defaults of Config.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultSpread      = 0.6
	DefaultRenew       = time.Second // a third of the platform's default TTL
)

// Config sets up a Fleet. Zero fields take the defaults.
type Config struct {
	Count       int           // minions; default 1
	Prefix      string        // of the identifiers; default "minion"
	Address     string        // loopback IP of the minions; default 127.0.0.1
	Admin       string        // loopback IP:port of the admin interface; default 127.0.0.1:0
	Platform    string        // base URL of the platform; empty means not to register
	Zones       []string      // assigned in turn; default one zone "local"
	Group       string        // back-end group
	Slots       int           // tasks that a minion runs at a time
	Connections int           // open connections of a minion; one above is closed at once
	Queue       int           // tasks that wait for a slot; default Connections
	Spread      float64       // standard deviation of ln(speed); negative for equal speeds
	Renew       time.Duration // interval of renewing the registration
	ZoneDelay   time.Duration // one way, to and from hosts in other availability zones; 0 for none
	Seed        uint64        // seeds speeds, identities and fault probabilities
}

func (c Config) withDefaults() Config {
	defaults.SetIfZero(&c.Count, 1)
	defaults.SetIfZero(&c.Prefix, "minion")
	defaults.SetIfZero(&c.Address, "127.0.0.1")
	defaults.SetIfZero(&c.Admin, "127.0.0.1:0")
	defaults.SetIfZero(&c.Slots, DefaultSlots)
	defaults.SetIfZero(&c.Connections, DefaultConnections)
	defaults.SetIfZero(&c.Queue, c.Connections)
	defaults.SetIfZero(&c.Spread, DefaultSpread)
	defaults.SetIfZero(&c.Renew, DefaultRenew)
	if len(c.Zones) == 0 {
		c.Zones = []string{"local"}
	}
	return c
}
