// Package platformsim is a stand-in for the platform: the append-only log service, the
// lagging list of hosts and the workers, with faults that can be switched at run time.
// It serves the protocol that package platform of the product defines.
package platformsim

import (
	"time"

	"sesameledge.dev/sesameledge/internal/defaults"
	"sesameledge.dev/sesameledge/logapi"
)

// Defaults of Config.
const (
	DefaultAppendRate = 300 // appends a second, the platform's "several hundred"
	DefaultSyncTime   = 4 * time.Millisecond
	DefaultRetention  = 100_000 // records of a stream
	DefaultHostLag    = time.Second
	DefaultHostTTL    = 3 * time.Second
	DefaultUsageLag   = 2 * time.Second
)

// Config sets up a Sim. Zero fields take the defaults.
type Config struct {
	Address    string        // loopback IP:port; default 127.0.0.1:0
	AppendRate float64       // appends a second over all streams
	SyncTime   time.Duration // time that one synced append takes
	Retention  int           // records kept of each stream
	HostLag    time.Duration // age of the served host list; negative for no lag
	HostTTL    time.Duration // a host that does not renew within it disappears
	Workers    []logapi.Host // workers of the platform; see the function Workers
	UsageLag   time.Duration // least age of the reported usage
	Seed       uint64        // seeds the choice of lost answers
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Address, "127.0.0.1:0")
	defaults.Set(&c.AppendRate, DefaultAppendRate)
	defaults.Set(&c.SyncTime, DefaultSyncTime)
	defaults.Set(&c.Retention, DefaultRetention)
	defaults.Set(&c.HostLag, DefaultHostLag)
	defaults.Set(&c.HostTTL, DefaultHostTTL)
	defaults.Set(&c.UsageLag, DefaultUsageLag)
	return c
}
