package main

import (
	"context"
	"encoding/json"
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
	Findings     []string      `json:"findings"`
}

func (r *Report) find(format string, args ...any) {
	r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
}

// String renders the report as one line.
func (r *Report) String() string {
	return fmt.Sprintf("%s seed=%d: %d jobs, %d complete, %d failed (%d lost with their owner), %d refused, %d without outcome; "+
		"%d starts, %d double; %d requests cut off, %.2f replies per job; slowest outcome %v, of a lost job %v; %d violations",
		r.Scenario, r.Seed, r.Jobs, r.Complete, r.Failed, r.Lost, r.Refused, r.NoOutcome, r.Starts, r.DoubleStarts, r.CutOff,
		r.RepliesPer, r.Slowest.Round(time.Millisecond), r.SlowestLost.Round(time.Millisecond), r.Violations)
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
		if len(counts) > 0 {
			r.find("%s: refused (%v), but %d tasks started", o.name, o.reply.Reason, len(counts))
		}
	default:
		r.Failed++
		r.truthful(o, counts)
		if reason := o.reply.Reason; reason != nil && reason.Code == api.CodeOwnerLost {
			r.Lost++
			r.SlowestLost = max(r.SlowestLost, took)
		}
	}
}

// whole checks that each task started once and that the answer is the caller's own.
func (r *Report) whole(o *outcome, counts map[int]int) {
	if len(o.reply.Tasks) != o.tasks || len(counts) != o.tasks {
		r.find("%s: complete with %d results and %d started tasks of %d", o.name, len(o.reply.Tasks), len(counts), o.tasks)
		return
	}
	for i, task := range o.reply.Tasks {
		var result struct {
			Echo string `json:"echo"`
		}
		want := fmt.Sprintf("%s task %d", o.name, i)
		if err := json.Unmarshal(task.Result, &result); err != nil || result.Echo != want {
			r.find("%s: task %d answered %s", o.name, i, task.Result)
		}
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
