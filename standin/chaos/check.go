package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/daemon"
	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

// settleTime is the wait between the last outcome and the count of starts, during which tasks may still
// start.
const settleTime = 500 * time.Millisecond

// Report holds the measurements and findings of one scenario or pair.
type Report struct {
	Scenario      string        `json:"scenario"`
	Seed          uint64        `json:"seed"`
	Jobs          int           `json:"jobs"`
	Complete      int           `json:"complete"`
	Failed        int           `json:"failed"`
	Refused       int           `json:"refused"`
	Lost          int           `json:"lost_with_owner"` // failed because the owner has ended or is unreachable
	NoOutcome     int           `json:"no_outcome"`
	Starts        int           `json:"starts"`
	DoubleStarts  int           `json:"double_starts"`
	CutOff        int64         `json:"requests_cut_off"`
	RepliesPerJob float64       `json:"replies_per_job"`
	Slowest       time.Duration `json:"slowest_outcome_ns"`
	SlowestLost   time.Duration `json:"slowest_outcome_of_lost_job_ns"`
	Violations    uint64        `json:"invariant_violations"`
	// NotRun counts the checked statements of hosts that a job or task has not run. Keys counts the
	// idempotency keys. Only pairs set them.
	NotRun int `json:"not_run_checked,omitempty"`
	Keys   int `json:"keys,omitempty"`
	// Unfetched counts the jobs whose answer nobody had fetched when their owner drained,
	// UnfetchedLost those of them that were not complete afterwards.
	Unfetched     int `json:"unfetched,omitempty"`
	UnfetchedLost int `json:"unfetched_lost,omitempty"`
	// Notes lists the random choices of a pair: the order of the faults, the hosts and the kinds.
	Notes string `json:"notes,omitempty"`
	// Stall is the longest time for which the callers' process was not scheduled.
	Stall time.Duration `json:"longest_stall_ns,omitempty"`
	// Refusals and Failures count the jobs by their reason's code.
	Refusals map[api.Code]int `json:"refusals,omitempty"`
	Failures map[api.Code]int `json:"failures,omitempty"`
	Findings []string         `json:"findings"`

	// expectedRefusals counts refused jobs that keep their ticket and whose owner drains or whose window
	// has ended. Package client would run such a job with a new ticket; a wave does not.
	expectedRefusals int
}

func (r *Report) addFinding(format string, args ...any) {
	r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
}

// String renders the report as one line.
func (r *Report) String() string {
	return fmt.Sprintf("%s seed=%d: %d jobs, %d complete, %d failed (%d lost with their owner), %d refused, %d without outcome; "+
		"%d starts, %d double; %d requests cut off, %.2f replies per job; slowest outcome %v, of a lost job %v; %d violations%s",
		r.Scenario, r.Seed, r.Jobs, r.Complete, r.Failed, r.Lost, r.Refused, r.NoOutcome, r.Starts, r.DoubleStarts, r.CutOff,
		r.RepliesPerJob, r.Slowest.Round(time.Millisecond), r.SlowestLost.Round(time.Millisecond), r.Violations, r.pairText())
}

// pairText renders the fields that only pairs set.
func (r *Report) pairText() string {
	if r.Notes == "" {
		return ""
	}
	return fmt.Sprintf("; %d statements of \"not run\" checked, %d keys, %d of %d unfetched answers lost, longest stall %v; %s", r.NotRun, r.Keys, r.UnfetchedLost, r.Unfetched, r.Stall.Round(time.Millisecond), r.Notes)
}

// check compares the outcomes that callers accepted with the starts that the minions counted.
func (r *Report) check(ctx context.Context, bed *testbed.Deployment, outcomes []outcome) error {
	time.Sleep(settleTime)
	starts, err := bed.Starts(ctx)
	if err != nil {
		return errors.Wrap(err, "counting starts")
	}
	r.Starts, r.DoubleStarts = starts.Totals.Starts, starts.Totals.DoubleStarts
	if r.DoubleStarts > 0 {
		r.addFinding("%d tasks started twice", r.DoubleStarts)
	}
	for i := range outcomes {
		r.addOutcome(&outcomes[i], starts)
	}
	r.addViolations(ctx, bed)
	return nil
}

func (r *Report) addOutcome(o *outcome, starts *minionsim.Starts) {
	r.Jobs++
	took := o.ended.Sub(o.began)
	r.Slowest = max(r.Slowest, took)
	if o.unfetched {
		r.Unfetched++
		if o.reply == nil || o.reply.Outcome != api.Complete {
			r.UnfetchedLost++
		}
	}
	if o.err != nil || o.reply == nil {
		r.NoOutcome++
		return
	}
	counts := starts.Tickets[string(o.ticket)]
	switch o.reply.Outcome {
	case api.Complete:
		r.Complete++
		r.checkComplete(o, counts)
	case api.Refused:
		r.Refused++
		if r.Refusals == nil {
			r.Refusals = make(map[api.Code]int)
		}
		r.Refusals[o.reply.Reason.Code]++
		if code := o.reply.Reason.Code; o.fixedTicket && (code == api.CodeDraining || code == api.CodeTicketExpired) {
			r.expectedRefusals++
		}
		if len(counts) > 0 {
			r.addFinding("%s: refused (%v), but %d tasks started", o.name, o.reply.Reason, len(counts))
		}
	default:
		r.Failed++
		r.checkNotRun(o, counts)
		r.countFailedReason(o.reply.Reason, took)
	}
}

func (r *Report) countFailedReason(reason *api.Error, took time.Duration) {
	if reason == nil {
		return
	}
	if r.Failures == nil {
		r.Failures = make(map[api.Code]int)
	}
	r.Failures[reason.Code]++
	if reason.Code == api.CodeOwnerLost {
		r.Lost++
		r.SlowestLost = max(r.SlowestLost, took)
	}
}

// checkComplete checks that each task started once and that the answer belongs to the caller's job.
func (r *Report) checkComplete(o *outcome, counts map[int]int) {
	for _, f := range testbed.CheckCompleteReply(o.name, o.tasks, o.reply, counts) {
		r.addFinding("%s", f)
	}
}

// checkNotRun checks that no task started that the reply to a failed job reports as not run.
func (r *Report) checkNotRun(o *outcome, counts map[int]int) {
	for _, task := range o.reply.Tasks {
		if task.State == api.TaskNotRun && counts[task.Index] > 0 {
			r.addFinding("%s: task %d is said not to have run, but started", o.name, task.Index)
		}
	}
}

// addViolations adds up the invariant violations that the running hosts report.
func (r *Report) addViolations(ctx context.Context, bed *testbed.Deployment) {
	for _, h := range bed.Hosts {
		var st daemon.Status
		if testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/status", &st) == nil {
			r.Violations += st.Counters.Violations
		}
	}
	if r.Violations > 0 {
		r.addFinding("%d invariant violations", r.Violations)
	}
}
