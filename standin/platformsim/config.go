// Package platformsim simulates the platform for tests: the append-only log service, the host list,
// which is served with a delay, and the workers. Faults can be injected at run time. It serves the
// HTTP protocol that package logapi defines. Package simhttp provides the HTTP server; command
// platform runs a Sim as a process.
package platformsim

import (
	"time"

	"sesameledge.dev/sesameledge/internal/defaults"
	"sesameledge.dev/sesameledge/logapi"
)

// Default values of Config.
const (
	DefaultAppendRate = 300 // appends per second; the real platform sustains "several hundred"
	DefaultSyncTime   = 4 * time.Millisecond
	DefaultRetention  = 100_000 // records kept in each stream
	DefaultHostLag    = time.Second
	DefaultHostTTL    = 3 * time.Second
	DefaultUsageLag   = 2 * time.Second
)

// Config configures a Sim. Fields with the value zero take the defaults.
type Config struct {
	Address    string        // loopback IP:port; default 127.0.0.1:0
	AppendRate float64       // limit of appends per second, over all streams
	SyncTime   time.Duration // time that one synced append takes
	Retention  int           // maximum number of records kept in each stream
	HostLag    time.Duration // delay before a change appears in the served host list; negative for none
	HostTTL    time.Duration // time after which a host that does not renew its registration is removed
	Workers    []logapi.Host // workers of the platform; UniformWorkers creates equal ones
	UsageLag   time.Duration // minimum age of the reported usage
	Seed       uint64        // seed of the random choice of lost answers
}

func (c Config) withDefaults() Config {
	defaults.SetIfZero(&c.Address, "127.0.0.1:0")
	defaults.SetIfZero(&c.AppendRate, DefaultAppendRate)
	defaults.SetIfZero(&c.SyncTime, DefaultSyncTime)
	defaults.SetIfZero(&c.Retention, DefaultRetention)
	defaults.SetIfZero(&c.HostLag, DefaultHostLag)
	defaults.SetIfZero(&c.HostTTL, DefaultHostTTL)
	defaults.SetIfZero(&c.UsageLag, DefaultUsageLag)
	return c
}
