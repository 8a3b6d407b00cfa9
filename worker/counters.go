package worker

import (
	"sync/atomic"

	"sesameledge.dev/sesameledge/dispatch"
)

// Counters are totals since New, as shown in the metrics.
type Counters struct {
	// Tasks counts the task starts that were sent. A start message carries several.
	Tasks                 uint64 `json:"tasks"`
	StartMessages         uint64 `json:"start_messages"`
	PollMessages          uint64 `json:"poll_messages"`
	ReadMessages          uint64 `json:"read_messages"`
	StopMessages          uint64 `json:"stop_messages"`
	LeaseMessages         uint64 `json:"lease_messages"`
	UsageMessages         uint64 `json:"usage_messages"`
	LoadReductionMessages uint64 `json:"relief_messages"`
	// Checkpoints counts the tasks that the platform was asked to checkpoint and stop.
	Checkpoints uint64 `json:"checkpoints"`
	// LostAnswers counts the starts whose answer was lost.
	LostAnswers uint64 `json:"lost_answers"`
	// Lapses counts the leases that lapsed at the platform.
	Lapses uint64 `json:"lapses"`
	// Mismatched counts the answers that named another task or worker and were dropped.
	Mismatched uint64 `json:"mismatched"`
	// The following count the ended attempts by outcome.
	Completed  uint64 `json:"completed"`
	Failed     uint64 `json:"failed"`
	NotStarted uint64 `json:"not_started"`
	Unknown    uint64 `json:"unknown"`
}

// counters holds the values of Counters while the Runner updates them.
type counters struct {
	tasks, checkpoints                                      atomic.Uint64
	startMessages, pollMessages, readMessages, stopMessages atomic.Uint64
	leaseMessages, usageMessages, loadReductionMessages     atomic.Uint64
	lostAnswers, lapses, mismatched                         atomic.Uint64
	completed, failed, notStarted, unknown                  atomic.Uint64
}

func (c *counters) countOutcome(o dispatch.AttemptOutcome) {
	switch o {
	case dispatch.AttemptCompleted:
		c.completed.Add(1)
	case dispatch.AttemptFailed:
		c.failed.Add(1)
	case dispatch.AttemptNotStarted:
		c.notStarted.Add(1)
	default:
		c.unknown.Add(1)
	}
}

// Counters returns the current totals.
func (r *Runner) Counters() Counters {
	c := &r.counters
	return Counters{
		Tasks:                 c.tasks.Load(),
		StartMessages:         c.startMessages.Load(),
		PollMessages:          c.pollMessages.Load(),
		ReadMessages:          c.readMessages.Load(),
		StopMessages:          c.stopMessages.Load(),
		LeaseMessages:         c.leaseMessages.Load(),
		UsageMessages:         c.usageMessages.Load(),
		LoadReductionMessages: c.loadReductionMessages.Load(),
		Checkpoints:           c.checkpoints.Load(),
		LostAnswers:           c.lostAnswers.Load(),
		Lapses:                c.lapses.Load(),
		Mismatched:            c.mismatched.Load(),
		Completed:             c.completed.Load(),
		Failed:                c.failed.Load(),
		NotStarted:            c.notStarted.Load(),
		Unknown:               c.unknown.Load(),
	}
}
