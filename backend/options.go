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
	// A shorter idle period leaves fewer connections on which silence is inconclusive.
	// The proof costs one round trip, under 1 ms, against tasks of 50 ms and more. A new
	// connection instead costs a round trip too and about four times the processing.
	DefaultProveIdleAfter = 250 * time.Millisecond
	// Leaves time to run the task elsewhere within a deadline of about a second.
	DefaultProofTimeout  = 250 * time.Millisecond
	DefaultKeepAlive     = 5 * time.Second
	DefaultUserTimeout   = 10 * time.Second
	DefaultCancelTimeout = 2 * time.Second
	// A job has up to 1,800 results in memory at once.
	DefaultMaxResultBytes = 4 << 20
)

// Options configures a Client. A zero field takes its default.
type Options struct {
	// ConnsPerMinion bounds the connections to one minion that carry tasks.
	ConnsPerMinion int
	// DialTimeout bounds connection setup.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
	// ProveIdleAfter is the idle time after which a connection has to answer
	// Expect: 100-continue before the body is sent. A negative value disables the
	// proof: silence on an idle connection is then unknown.
	ProveIdleAfter time.Duration
	// ProofTimeout bounds the wait for that answer.
	ProofTimeout time.Duration
	// KeepAlive is the idle time before the first TCP keepalive probe and the
	// interval between probes.
	KeepAlive time.Duration
	// UserTimeout bounds how long sent data may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT; Linux only).
	UserTimeout time.Duration
	// CancelTimeout bounds one cancel message.
	CancelTimeout time.Duration
	// MaxResultBytes bounds the size of a result.
	MaxResultBytes int64

	faults faults
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.ConnsPerMinion, DefaultConnsPerMinion)
	defaults.Set(&o.DialTimeout, DefaultDialTimeout)
	defaults.Set(&o.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&o.ProveIdleAfter, DefaultProveIdleAfter)
	defaults.Set(&o.ProofTimeout, DefaultProofTimeout)
	defaults.Set(&o.KeepAlive, DefaultKeepAlive)
	defaults.Set(&o.UserTimeout, DefaultUserTimeout)
	defaults.Set(&o.CancelTimeout, DefaultCancelTimeout)
	defaults.Set(&o.MaxResultBytes, DefaultMaxResultBytes)
	return o
}
