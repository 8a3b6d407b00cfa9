package worker

import (
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/internal/defaults"
)

// Defaults of Options.
const (
	// Outlasts short outages of the platform; most tasks end by themselves sooner.
	DefaultLeaseTTL = 30 * time.Second
	// Short against the 50 ms of the shortest usual task.
	DefaultStartGather = time.Millisecond
	// Against 50 ms and more of a task, it adds at most a fifth to the response time.
	DefaultResultGather = 10 * time.Millisecond
	// A start that was delayed on its way gets this long to arrive before it is blocked.
	DefaultConfirmDelay = 100 * time.Millisecond
	DefaultMaxBatch     = 500
	// The reports lag by about 2 s, so reading them more often shows little that is new.
	DefaultUsageEvery = time.Second
	DefaultPollWait   = 5 * time.Second
	// DefaultGiveUp is how long after a job's deadline its tasks are still looked up. The
	// lease of a task has lapsed by then unless this process renews it.
	DefaultGiveUp = 60 * time.Second
)

const (
	// maxBatchBytes bounds the payloads in one message.
	maxBatchBytes = 1 << 20
	// maxStartMessages bounds the start messages that wait for their answers.
	maxStartMessages = 16
	// minRetryDelay and maxRetryDelay bound the pause after a message without an answer.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// Options configures a Runner. Zero durations and counts take the defaults.
type Options struct {
	Platform    Platform
	Incarnation string // names the leases
	// Report gets the end of each attempt. It may block, and is never called from Start
	// or Cancel.
	Report func(dispatch.AttemptEnded)
	// ReportUsage gets each usage report; nil for none. It may block.
	ReportUsage func(dispatch.UsageReported)
	// UsageEvery is the pause between reads of the usage.
	UsageEvery time.Duration
	// LeaseTTL is how long tasks go on after the last renewal; a third of it is the
	// renewal interval.
	LeaseTTL time.Duration
	// StartGather is how long starts are collected before they are sent.
	StartGather time.Duration
	// ResultGather is the pause between two reads of results.
	ResultGather time.Duration
	// ConfirmDelay is the pause before a task that the platform does not know is read
	// again, and then stopped.
	ConfirmDelay time.Duration
	// MaxBatch bounds the tasks in one message.
	MaxBatch int
	// PollWait is how long a read of results waits for the first.
	PollWait time.Duration
	// GiveUp is the time after a job's deadline at which an attempt that cannot be
	// looked up ends as unknown.
	GiveUp time.Duration

	faults faults
}

// faults switch mechanisms off, to show that a test depends on them.
type faults struct {
	treatUnansweredAsNotStarted bool // a start without an answer counts as not started
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.LeaseTTL, DefaultLeaseTTL)
	defaults.Set(&o.StartGather, DefaultStartGather)
	defaults.Set(&o.ResultGather, DefaultResultGather)
	defaults.Set(&o.ConfirmDelay, DefaultConfirmDelay)
	defaults.Set(&o.UsageEvery, DefaultUsageEvery)
	defaults.Set(&o.MaxBatch, DefaultMaxBatch)
	defaults.Set(&o.PollWait, DefaultPollWait)
	defaults.Set(&o.GiveUp, DefaultGiveUp)
	return o
}
