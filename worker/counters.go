package worker

import (
	"sync/atomic"

	"sesameledge.dev/sesameledge/dispatch"
)

// Counters are totals since New.
type Counters struct {
	Tasks          uint64 `json:"tasks"` // starts sent, in any number of messages
	StartMessages  uint64 `json:"start_messages"`
	PollMessages   uint64 `json:"poll_messages"`
	ReadMessages   uint64 `json:"read_messages"`
	StopMessages   uint64 `json:"stop_messages"`
	LeaseMessages  uint64 `json:"lease_messages"`
	UsageMessages  uint64 `json:"usage_messages"`
	ReliefMessages uint64 `json:"relief_messages"`
	Checkpoints    uint64 `json:"checkpoints"`  // tasks asked to be checkpointed and stopped
	LostAnswers    uint64 `json:"lost_answers"` // starts whose answer was lost
	Lapses         uint64 `json:"lapses"`       // leases that lapsed
	Mismatched     uint64 `json:"mismatched"`   // answers about another task, which were dropped
	Completed      uint64 `json:"completed"`
	Failed         uint64 `json:"failed"`
	NotStarted     uint64 `json:"not_started"`
	Unknown        uint64 `json:"unknown"`
}

type counters struct {
	tasks, starts, polls, reads, stops, leases, usages, reliefs, checkpoints atomic.Uint64
	lost, lapses, mismatched                                                 atomic.Uint64
	completed, failed, notStarted, unknownCount                              atomic.Uint64
}

func (c *counters) outcome(o dispatch.AttemptOutcome) {
	switch o {
	case dispatch.AttemptCompleted:
		c.completed.Add(1)
	case dispatch.AttemptFailed:
		c.failed.Add(1)
	case dispatch.AttemptNotStarted:
		c.notStarted.Add(1)
	default:
		c.unknownCount.Add(1)
	}
}

// Counters returns the totals so far.
func (r *Runner) Counters() Counters {
	c := &r.counters
	return Counters{
		Tasks:          c.tasks.Load(),
		StartMessages:  c.starts.Load(),
		PollMessages:   c.polls.Load(),
		ReadMessages:   c.reads.Load(),
		StopMessages:   c.stops.Load(),
		LeaseMessages:  c.leases.Load(),
		UsageMessages:  c.usages.Load(),
		ReliefMessages: c.reliefs.Load(),
		Checkpoints:    c.checkpoints.Load(),
		LostAnswers:    c.lost.Load(),
		Lapses:         c.lapses.Load(),
		Mismatched:     c.mismatched.Load(),
		Completed:      c.completed.Load(),
		Failed:         c.failed.Load(),
		NotStarted:     c.notStarted.Load(),
		Unknown:        c.unknownCount.Load(),
	}
}
