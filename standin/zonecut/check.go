package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/standin/minionsim"
	"sesameledge.dev/sesameledge/standin/testbed"
)

const (
	// inForceWithin is the promise for configuration.
	inForceWithin = 3 * time.Second
	// liveWithin bounds the time from healing until all hosts see each other live.
	liveWithin = 10 * time.Second
	// finalMargin is how long after a ticket's lifetime a final reply may come.
	finalMargin = 2 * time.Second
	// settled is the time after the cut began from which a part must complete its jobs.
	// Tasks on connections that the cut resets may have run, and their jobs fail.
	settled = jobDeadline
	// settle is how long tasks may still start after the last outcome.
	settle = jobDeadline
)

// tally counts the jobs of one part.
type tally struct {
	Jobs, Complete, Failed, Refused, None int
	SettledJobs, SettledFailed            int // begun after the cut had settled, ended before the heal
}

// report is what a run measured.
type report struct {
	cutFrom, cutTill time.Time
	parts            map[part]*tally
	crossed          int64 // connections to minions across the cut's border, before the cut
	roamers          int
	ranAtOwner       map[part]int // of the jobs submitted across the cut, those started whole
	silent           bool
	finals           []time.Duration // from the first submission across the cut
	starts, doubles  int
	published        uint64          // revisions during the cut
	healed           []time.Duration // from healing to configuration in force, per inside host
	byPeers          []time.Duration // from acceptance, with only the platform link cut
	stepsBack        int
	live             time.Duration
	findings         []string
}

func newReport(silent bool) *report {
	return &report{silent: silent, parts: map[part]*tally{inside: {}, outside: {}}, ranAtOwner: make(map[part]int)}
}

func (r *report) find(format string, args ...any) {
	r.findings = append(r.findings, fmt.Sprintf(format, args...))
}

// String renders the figures, one line for each subject.
func (r *report) String() string {
	out := fmt.Sprintf("cut %v; %d connections to minions crossed its border before\n",
		r.cutTill.Sub(r.cutFrom).Round(time.Millisecond), r.crossed)
	for _, p := range []part{inside, outside} {
		t := r.parts[p]
		out += fmt.Sprintf("%s: %d jobs, %d complete, %d failed, %d refused, %d without outcome; %d during the settled cut, %d of them not complete\n",
			p, t.Jobs, t.Complete, t.Failed, t.Refused, t.None, t.SettledJobs, t.SettledFailed)
	}
	out += fmt.Sprintf("%d jobs submitted across the cut; time to final outcome %s\n", r.roamers, spread(r.finals))
	out += fmt.Sprintf("%d starts, %d double\n", r.starts, r.doubles)
	out += fmt.Sprintf("%d revisions during the cut; in force after healing %s; %d steps back\n", r.published, spread(r.healed), r.stepsBack)
	out += fmt.Sprintf("platform link cut only: in force after acceptance %s\n", spread(r.byPeers))
	return out + fmt.Sprintf("all hosts live to each other %v after healing", r.live.Round(time.Millisecond))
}

// spread renders the median and the worst of the durations.
func spread(list []time.Duration) string {
	if len(list) == 0 {
		return "not measured"
	}
	list = slices.Sorted(slices.Values(list))
	return fmt.Sprintf("median %v, worst %v (n=%d)",
		list[len(list)/2].Round(time.Millisecond), list[len(list)-1].Round(time.Millisecond), len(list))
}

// checkJobs holds the outcomes that callers accepted against the counted starts.
func (r *report) checkJobs(ctx context.Context, bed *testbed.Bed, jobs []outcome, roamers []*roamer) error {
	time.Sleep(settle)
	starts, err := bed.Starts(ctx)
	if err != nil {
		return err
	}
	r.starts, r.doubles = starts.Totals.Starts, starts.Totals.DoubleStarts
	if r.doubles > 0 {
		r.find("%d tasks started twice", r.doubles)
	}
	for i := range jobs {
		r.count(&jobs[i])
		r.hold(&jobs[i], starts)
	}
	for _, p := range []part{inside, outside} {
		r.goesOn(p)
	}
	for _, o := range roamers {
		r.roamed(ctx, o, starts)
	}
	r.ranAtOwners()
	return nil
}

// ranAtOwners checks that jobs resubmitted across the cut ran in their owner's part. In a
// silent cut a task may be lost on a connection that carried data shortly before, so only
// some jobs of each part need to have run.
func (r *report) ranAtOwners() {
	want := (roamersPerPart + 1) / 2
	if r.silent {
		want = 1
	}
	for _, p := range []part{inside, outside} {
		if r.ranAtOwner[p] < want {
			r.find("%s: %d jobs resubmitted across the cut ran at their owner's part, expected %d", p, r.ranAtOwner[p], want)
		}
	}
}

func (r *report) count(o *outcome) {
	t := r.parts[o.part]
	t.Jobs++
	complete := false
	switch {
	case o.reply == nil:
		t.None++
	case o.reply.Outcome == api.Complete:
		t.Complete++
		complete = true
	case o.reply.Outcome == api.Refused:
		t.Refused++
	default:
		t.Failed++
	}
	if o.began.Before(r.cutFrom.Add(settled)) || o.ended.After(r.cutTill) {
		return
	}
	t.SettledJobs++
	if !complete {
		t.SettledFailed++
		r.find("%s: begun %v after the cut, not complete: %s", o.name, o.began.Sub(r.cutFrom), describe(o.reply))
	}
}

func describe(reply *api.Reply) string {
	if reply == nil {
		return "no outcome"
	}
	return fmt.Sprintf("%s (%v)", reply.Outcome, reply.Reason)
}

// goesOn checks that a part ran jobs during the cut and that each job has an outcome.
func (r *report) goesOn(p part) {
	t := r.parts[p]
	if t.SettledJobs == 0 {
		r.find("%s: no job ran during the cut", p)
	}
	if t.None > 0 {
		r.find("%s: %d jobs without an outcome", p, t.None)
	}
}

// hold checks an accepted reply against the starts of the ticket's tasks.
func (r *report) hold(o *outcome, starts *minionsim.Starts) {
	if o.reply == nil {
		return
	}
	counts := starts.Tickets[string(o.ticket)]
	switch o.reply.Outcome {
	case api.Complete:
		r.whole(o, counts)
	case api.Refused:
		if len(counts) > 0 {
			r.find("%s: refused, but %d tasks started", o.name, len(counts))
		}
	default:
		for _, task := range o.reply.Tasks {
			if task.State == api.TaskNotRun && counts[task.Index] > 0 {
				r.find("%s: task %d is said not to have run, but started", o.name, task.Index)
			}
		}
	}
}

// whole checks that each task started and that the answer is the caller's own.
func (r *report) whole(o *outcome, counts map[int]int) {
	for _, f := range testbed.CheckWhole(o.name, o.tasks, o.reply, counts) {
		r.find("%s", f)
	}
}

// roamed checks the replies about a ticket whose owner was unreachable.
func (r *report) roamed(ctx context.Context, o *roamer, starts *minionsim.Starts) {
	r.roamers++
	if o.reply == nil {
		r.find("%s: no final outcome", o.name)
		return
	}
	took := o.ended.Sub(o.sent)
	r.finals = append(r.finals, took)
	if o.first != api.Unknown || o.reply.Outcome != api.Failed {
		r.find("%s: first reply %s, then %s; expected unknown, then failed", o.name, o.first, describe(o.reply))
	}
	if took > lifetime+finalMargin {
		r.find("%s: final after %v, lifetime %v", o.name, took, lifetime)
	}
	r.hold(&o.outcome, starts)
	counts := starts.Tickets[string(o.ticket)]
	if o.submitted && len(counts) == o.tasks {
		r.ranAtOwner[o.part]++
	}
	if !o.submitted && len(counts) > 0 {
		r.find("%s: %d tasks started without a submission to the owner", o.name, len(counts))
	}
	owner, other := o.askAgain(ctx)
	if owner == api.Complete || other == api.Complete {
		r.find("%s: failed before, now %q at the owner's part and %q at the other", o.name, owner, other)
	}
}
