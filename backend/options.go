package backend

import (
	"time"

	"sesameledge.dev/sesameledge/internal/defaults"
)

// Default values of Options.
const (
	DefaultConnsPerMinion = 64
	DefaultDialTimeout    = 250 * time.Millisecond
	DefaultIdleTimeout    = 10 * time.Second
	// The shorter this time, the fewer the connections on which a missing answer leaves the outcome unknown.
	// Waiting for 100-continue costs one round trip, under 1 ms, against tasks of 50 ms and more. Opening a
	// new connection instead also costs a round trip, and about four times the processing.
	DefaultExpectContinueAfterIdle = 250 * time.Millisecond
	// Leaves time to run the task on another minion within a deadline of about a second.
	DefaultContinueTimeout = 250 * time.Millisecond
	DefaultKeepAlive       = 5 * time.Second
	DefaultUserTimeout     = 10 * time.Second
	DefaultCancelTimeout   = 2 * time.Second
	// In bytes. A job holds up to 1,800 results in memory at once.
	DefaultMaxResultBytes = 4 << 20
)

// Options configures a Client. A zero field takes its default.
type Options struct {
	// ConnsPerMinion limits the connections to one minion that carry tasks.
	ConnsPerMinion int
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
	// ExpectContinueAfterIdle is the idle time after which a connection has to answer Expect: 100-continue before
	// the body is sent. A negative value disables this check: a task without an answer on an idle connection
	// then has an unknown outcome.
	ExpectContinueAfterIdle time.Duration
	// ContinueTimeout limits the wait for the answer to Expect: 100-continue.
	ContinueTimeout time.Duration
	// KeepAlive is the idle time before the first TCP keepalive probe and the
	// interval between probes.
	KeepAlive time.Duration
	// UserTimeout is how long sent data may stay unacknowledged before the kernel closes the connection
	// (TCP_USER_TIMEOUT; Linux only).
	UserTimeout time.Duration
	// CancelTimeout limits one call of Cancel.
	CancelTimeout time.Duration
	// MaxResultBytes limits the size of a result.
	MaxResultBytes int64

	faults faults
}

// withDefaults returns the options with defaults in place of zero fields.
func (o Options) withDefaults() Options {
	defaults.SetIfZero(&o.ConnsPerMinion, DefaultConnsPerMinion)
	defaults.SetIfZero(&o.DialTimeout, DefaultDialTimeout)
	defaults.SetIfZero(&o.IdleTimeout, DefaultIdleTimeout)
	defaults.SetIfZero(&o.ExpectContinueAfterIdle, DefaultExpectContinueAfterIdle)
	defaults.SetIfZero(&o.ContinueTimeout, DefaultContinueTimeout)
	defaults.SetIfZero(&o.KeepAlive, DefaultKeepAlive)
	defaults.SetIfZero(&o.UserTimeout, DefaultUserTimeout)
	defaults.SetIfZero(&o.CancelTimeout, DefaultCancelTimeout)
	defaults.SetIfZero(&o.MaxResultBytes, DefaultMaxResultBytes)
	return o
}
