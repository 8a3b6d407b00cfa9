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

// settle is how long tasks may still start after the last outcome, before starts are
// counted. It exceeds the deadline of a job.
const settle = 500 * time.Millisecond

// Report is what one scenario measured.
type Report struct {
	Scenario     string        `json:"scenario"`
	Seed         uint64        `json:"seed"`
	Jobs         int           `json:"jobs"`
	Complete     int           `json:"complete"`
	Failed       int           `json:"failed"`
	Refused      int           `json:"refused"`
	Lost         int           `json:"lost_with_owner"` // failed because the owner is gone or away
	NoOutcome    int           `json:"no_outcome"`
	Starts       int           `json:"starts"`
	DoubleStarts int           `json:"double_starts"`
	CutOff       int64         `json:"requests_cut_off"`
	RepliesPer   float64       `json:"replies_per_job"`
	Slowest      time.Duration `json:"slowest_outcome_ns"`
	SlowestLost  time.Duration `json:"slowest_outcome_of_lost_job_ns"`
	Violations   uint64        `json:"invariant_violations"`
	// NotRun counts the checked statements of hosts that something has not run, Keys the
	// idempotency keys; both are for pairs only.
	NotRun int `json:"not_run_checked,omitempty"`
	Keys   int `json:"keys,omitempty"`
	// Unfetched counts the jobs whose answer nobody had fetched when their owner drained,
	// UnfetchedLost those of them that were not complete afterwards.
	Unfetched     int `json:"unfetched,omitempty"`
	UnfetchedLost int `json:"unfetched_lost,omitempty"`
	// Notes are what a pair drew: the order of the faults, hosts and kinds.
	Notes string `json:"notes,omitempty"`
	// Stall is the longest time for which the callers' process was not scheduled.
	Stall time.Duration `json:"longest_stall_ns,omitempty"`
	// Refusals and Failures count the jobs by their reason's code.
	Refusals map[api.Code]int `json:"refusals,omitempty"`
	Failures map[api.Code]int `json:"failures,omitempty"`
	Findings []string         `json:"findings"`

	// outlived counts refusals of held tickets whose owner drains or whose window has
	// ended. Package client runs such a job with a new ticket; a wave does not.
	outlived int
}

func (r *Report) find(format string, args ...any) {
	r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
}

// String renders the report as one line.
func (r *Report) String() string {
	return fmt.Sprintf("%s seed=%d: %d jobs, %d complete, %d failed (%d lost with their owner), %d refused, %d without outcome; "+
		"%d starts, %d double; %d requests cut off, %.2f replies per job; slowest outcome %v, of a lost job %v; %d violations%s",
		r.Scenario, r.Seed, r.Jobs, r.Complete, r.Failed, r.Lost, r.Refused, r.NoOutcome, r.Starts, r.DoubleStarts, r.CutOff,
		r.RepliesPer, r.Slowest.Round(time.Millisecond), r.SlowestLost.Round(time.Millisecond), r.Violations, r.pairText())
}

// pairText renders what only pairs measure.
func (r *Report) pairText() string {
	if r.Notes == "" {
		return ""
	}
	return fmt.Sprintf("; %d statements of \"not run\" checked, %d keys, %d of %d unfetched answers lost, longest stall %v; %s", r.NotRun, r.Keys, r.UnfetchedLost, r.Unfetched, r.Stall.Round(time.Millisecond), r.Notes)
}

// check holds the outcomes that callers accepted against the starts at the minions.
func (r *Report) check(ctx context.Context, bed *testbed.Bed, outcomes []outcome) error {
	time.Sleep(settle)
	starts, err := bed.Starts(ctx)
	if err != nil {
		return errors.Wrap(err, "counting starts")
	}
	r.Starts, r.DoubleStarts = starts.Totals.Starts, starts.Totals.DoubleStarts
	if r.DoubleStarts > 0 {
		r.find("%d tasks started twice", r.DoubleStarts)
	}
	for i := range outcomes {
		r.add(&outcomes[i], starts)
	}
	r.violations(ctx, bed)
	return nil
}

func (r *Report) add(o *outcome, starts *minionsim.Starts) {
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
		r.whole(o, counts)
	case api.Refused:
		r.Refused++
		if r.Refusals == nil {
			r.Refusals = make(map[api.Code]int)
		}
		r.Refusals[o.reply.Reason.Code]++
		if code := o.reply.Reason.Code; o.held && (code == api.CodeDraining || code == api.CodeTicketExpired) {
			r.outlived++
		}
		if len(counts) > 0 {
			r.find("%s: refused (%v), but %d tasks started", o.name, o.reply.Reason, len(counts))
		}
	default:
		r.Failed++
		r.truthful(o, counts)
		r.failedFor(o.reply.Reason, took)
	}
}

func (r *Report) failedFor(reason *api.Error, took time.Duration) {
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

// whole checks that each task started once and that the answer is the caller's own.
func (r *Report) whole(o *outcome, counts map[int]int) {
	for _, f := range testbed.CheckWhole(o.name, o.tasks, o.reply, counts) {
		r.find("%s", f)
	}
}

// truthful checks what a failed job says about its tasks.
func (r *Report) truthful(o *outcome, counts map[int]int) {
	for _, task := range o.reply.Tasks {
		if task.State == api.TaskNotRun && counts[task.Index] > 0 {
			r.find("%s: task %d is said not to have run, but started", o.name, task.Index)
		}
	}
}

// violations adds up what the running hosts report.
func (r *Report) violations(ctx context.Context, bed *testbed.Bed) {
	for _, h := range bed.Hosts {
		var st daemon.Status
		if testbed.GetJSON(ctx, h.OperatorsURL()+"/v1/status", &st) == nil {
			r.Violations += st.Counters.Violations
		}
	}
	if r.Violations > 0 {
		r.find("%d invariant violations", r.Violations)
	}
}
