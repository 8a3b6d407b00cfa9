package worker

import (
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/internal/defaults"
)

// Default values of Options.
const (
	// DefaultLeaseTTL outlasts short outages of the platform. Most tasks end sooner.
	DefaultLeaseTTL = 30 * time.Second
	// DefaultStartBatchDelay is short against the 50 ms of the shortest usual task.
	DefaultStartBatchDelay = time.Millisecond
	// DefaultResultReadInterval adds at most a fifth to the response time of a task of 50 ms or more.
	DefaultResultReadInterval = 10 * time.Millisecond
	// DefaultConfirmDelay gives a delayed start time to arrive before it is blocked.
	DefaultConfirmDelay  = 100 * time.Millisecond
	DefaultMaxBatchTasks = 500
	// DefaultUsageInterval takes into account that usage reports lag by about 2 s: more frequent
	// reads return little new data.
	DefaultUsageInterval = time.Second
	DefaultPollWait      = 5 * time.Second
	// DefaultResolveTimeout exceeds DefaultLeaseTTL, so that a task's lease has lapsed by then unless
	// this process still renews it.
	DefaultResolveTimeout = 60 * time.Second
)

const (
	// maxBatchBytes limits the total size of the payloads in one start message.
	maxBatchBytes = 1 << 20
	// maxStartMessages limits the start messages that wait for their answers at a time.
	maxStartMessages = 16
	// minRetryDelay and maxRetryDelay limit the delay before a retry after a message without an
	// answer.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// Options configures a Runner. Durations and counts that are zero take their default values.
type Options struct {
	Platform Platform
	// Incarnation identifies this process. It is the prefix of the names of its leases.
	Incarnation string
	// Report receives the end of each attempt. It may block. Start and Cancel never call it.
	Report func(dispatch.AttemptEnded)
	// ReportUsage receives each usage report. It may block. If it is nil, usage is not read.
	ReportUsage func(dispatch.UsageReported)
	// UsageInterval is the delay between two reads of the usage.
	UsageInterval time.Duration
	// LeaseTTL is how long tasks keep running after the last renewal of their lease. Leases are
	// renewed every third of it.
	LeaseTTL time.Duration
	// StartBatchDelay is how long queued starts are collected before they are sent.
	StartBatchDelay time.Duration
	// ResultReadInterval is the delay between two reads of results, so that one read returns several.
	ResultReadInterval time.Duration
	// ConfirmDelay is the delay before the next read or stop of a task that the platform does not
	// know, that is being stopped, or whose lease has lapsed.
	ConfirmDelay time.Duration
	// MaxBatchTasks limits the number of tasks in one message.
	MaxBatchTasks int
	// PollWait is how long a read of results waits at the platform for the first result.
	PollWait time.Duration
	// ResolveTimeout is the time after a job's deadline at which an attempt whose state could not be
	// read ends as unknown.
	ResolveTimeout time.Duration

	faults faults
}

// faults disables safeguards, so that a test can show that it detects their absence.
type faults struct {
	treatUnansweredAsNotStarted bool // a start without an answer counts as not started
}

func (o Options) withDefaults() Options {
	defaults.SetIfZero(&o.LeaseTTL, DefaultLeaseTTL)
	defaults.SetIfZero(&o.StartBatchDelay, DefaultStartBatchDelay)
	defaults.SetIfZero(&o.ResultReadInterval, DefaultResultReadInterval)
	defaults.SetIfZero(&o.ConfirmDelay, DefaultConfirmDelay)
	defaults.SetIfZero(&o.UsageInterval, DefaultUsageInterval)
	defaults.SetIfZero(&o.MaxBatchTasks, DefaultMaxBatchTasks)
	defaults.SetIfZero(&o.PollWait, DefaultPollWait)
	defaults.SetIfZero(&o.ResolveTimeout, DefaultResolveTimeout)
	return o
}
