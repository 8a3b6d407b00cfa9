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
	// maxConfigDelay is the guaranteed time until a host has a new configuration in force.
	maxConfigDelay = 3 * time.Second
	// maxLiveDelay limits the time from healing until all hosts see each other live.
	maxLiveDelay = 10 * time.Second
	// maxFinalDelay limits how long after the end of a ticket's lifetime the final reply may come.
	maxFinalDelay = 2 * time.Second
	// cutSettleTime is the time after the start of the cut from which both sides must complete all jobs.
	// Earlier jobs may fail: their tasks may have run on connections that the cut resets.
	cutSettleTime = jobDeadline
	// startsSettleTime is how long tasks may still start after the last outcome.
	startsSettleTime = jobDeadline
)

// jobCount counts the jobs of one side.
type jobCount struct {
	Jobs, Complete, Failed, Refused, NoOutcome int
	SettledJobs, SettledNotComplete            int // begun after cutSettleTime, ended before healing
}

// report holds the measurements and findings of a run.
type report struct {
	cutStart, cutEnd     time.Time
	jobCounts            map[side]*jobCount
	crossZoneConnections int64 // connections to minions between the zone and the others, before the cut
	crossCutJobs         int
	ranAtOwner           map[side]int // jobs submitted across the cut of which all tasks started
	silent               bool
	finalDelays          []time.Duration // from the first submission across the cut to the final outcome
	starts, doubleStarts int
	publishedRevisions   uint64          // revisions during the cut
	healDelays           []time.Duration // from healing to configuration in force, per inside host
	peerDelays           []time.Duration // from acceptance, with only the platform link cut
	revisionRegressions  int
	liveDelay            time.Duration
	findings             []string
}

func newReport(silent bool) *report {
	return &report{silent: silent, jobCounts: map[side]*jobCount{inside: {}, outside: {}}, ranAtOwner: make(map[side]int)}
}

func (r *report) addFinding(format string, args ...any) {
	r.findings = append(r.findings, fmt.Sprintf(format, args...))
}

// String renders the measurements, one line for each subject.
func (r *report) String() string {
	out := fmt.Sprintf("cut %v; %d connections to minions crossed its border before\n",
		r.cutEnd.Sub(r.cutStart).Round(time.Millisecond), r.crossZoneConnections)
	for _, p := range []side{inside, outside} {
		t := r.jobCounts[p]
		out += fmt.Sprintf("%s: %d jobs, %d complete, %d failed, %d refused, %d without outcome; %d during the settled cut, %d of them not complete\n",
			p, t.Jobs, t.Complete, t.Failed, t.Refused, t.NoOutcome, t.SettledJobs, t.SettledNotComplete)
	}
	out += fmt.Sprintf("%d jobs submitted across the cut; time to final outcome %s\n", r.crossCutJobs, medianAndWorst(r.finalDelays))
	out += fmt.Sprintf("%d starts, %d double\n", r.starts, r.doubleStarts)
	out += fmt.Sprintf("%d revisions during the cut; in force after healing %s; %d steps back\n", r.publishedRevisions, medianAndWorst(r.healDelays), r.revisionRegressions)
	out += fmt.Sprintf("platform link cut only: in force after acceptance %s\n", medianAndWorst(r.peerDelays))
	return out + fmt.Sprintf("all hosts live to each other %v after healing", r.liveDelay.Round(time.Millisecond))
}

// medianAndWorst renders the median and the maximum of the durations.
func medianAndWorst(list []time.Duration) string {
	if len(list) == 0 {
		return "not measured"
	}
	list = slices.Sorted(slices.Values(list))
	return fmt.Sprintf("median %v, worst %v (n=%d)",
		list[len(list)/2].Round(time.Millisecond), list[len(list)-1].Round(time.Millisecond), len(list))
}

// checkJobs compares the outcomes that callers accepted with the starts that the minions counted.
func (r *report) checkJobs(ctx context.Context, bed *testbed.Deployment, jobs []outcome, crossCutCallers []*crossCutCaller) error {
	time.Sleep(startsSettleTime)
	starts, err := bed.Starts(ctx)
	if err != nil {
		return err
	}
	r.starts, r.doubleStarts = starts.Totals.Starts, starts.Totals.DoubleStarts
	if r.doubleStarts > 0 {
		r.addFinding("%d tasks started twice", r.doubleStarts)
	}
	for i := range jobs {
		r.countJob(&jobs[i])
		r.checkReply(&jobs[i], starts)
	}
	for _, p := range []side{inside, outside} {
		r.checkService(p)
	}
	for _, o := range crossCutCallers {
		r.checkCrossCutCaller(ctx, o, starts)
	}
	r.checkRanAtOwner()
	return nil
}

// checkRanAtOwner checks that jobs resubmitted across the cut ran on their owner's side. In a silent cut a
// task may be lost on a connection that carried data shortly before. Then only one job of each side needs to
// have run.
func (r *report) checkRanAtOwner() {
	want := (crossCutCallersPerSide + 1) / 2
	if r.silent {
		want = 1
	}
	for _, p := range []side{inside, outside} {
		if r.ranAtOwner[p] < want {
			r.addFinding("%s: %d jobs resubmitted across the cut ran on their owner's side, expected %d", p, r.ranAtOwner[p], want)
		}
	}
}

func (r *report) countJob(o *outcome) {
	t := r.jobCounts[o.side]
	t.Jobs++
	complete := false
	switch {
	case o.reply == nil:
		t.NoOutcome++
	case o.reply.Outcome == api.Complete:
		t.Complete++
		complete = true
	case o.reply.Outcome == api.Refused:
		t.Refused++
	default:
		t.Failed++
	}
	if o.began.Before(r.cutStart.Add(cutSettleTime)) || o.ended.After(r.cutEnd) {
		return
	}
	t.SettledJobs++
	if !complete {
		t.SettledNotComplete++
		r.addFinding("%s: begun %v after the cut, not complete: %s", o.name, o.began.Sub(r.cutStart), describe(o.reply))
	}
}

func describe(reply *api.Reply) string {
	if reply == nil {
		return "no outcome"
	}
	return fmt.Sprintf("%s (%v)", reply.Outcome, reply.Reason)
}

// checkService checks that a side ran jobs during the cut and that each job has an outcome.
func (r *report) checkService(p side) {
	t := r.jobCounts[p]
	if t.SettledJobs == 0 {
		r.addFinding("%s: no job ran during the cut", p)
	}
	if t.NoOutcome > 0 {
		r.addFinding("%s: %d jobs without an outcome", p, t.NoOutcome)
	}
}

// checkReply compares an accepted reply with the starts of the ticket's tasks.
func (r *report) checkReply(o *outcome, starts *minionsim.Starts) {
	if o.reply == nil {
		return
	}
	counts := starts.Tickets[string(o.ticket)]
	switch o.reply.Outcome {
	case api.Complete:
		r.checkComplete(o, counts)
	case api.Refused:
		if len(counts) > 0 {
			r.addFinding("%s: refused, but %d tasks started", o.name, len(counts))
		}
	default:
		for _, task := range o.reply.Tasks {
			if task.State == api.TaskNotRun && counts[task.Index] > 0 {
				r.addFinding("%s: task %d is said not to have run, but started", o.name, task.Index)
			}
		}
	}
}

// checkComplete checks that each task started once and that the answer belongs to the caller's job.
func (r *report) checkComplete(o *outcome, counts map[int]int) {
	for _, f := range testbed.CheckCompleteReply(o.name, o.tasks, o.reply, counts) {
		r.addFinding("%s", f)
	}
}

// checkCrossCutCaller checks the replies about a ticket whose owner was unreachable.
func (r *report) checkCrossCutCaller(ctx context.Context, o *crossCutCaller, starts *minionsim.Starts) {
	r.crossCutJobs++
	if o.reply == nil {
		r.addFinding("%s: no final outcome", o.name)
		return
	}
	took := o.ended.Sub(o.firstSubmission)
	r.finalDelays = append(r.finalDelays, took)
	if o.firstOutcome != api.Unknown || o.reply.Outcome != api.Failed {
		r.addFinding("%s: first reply %s, then %s; expected unknown, then failed", o.name, o.firstOutcome, describe(o.reply))
	}
	if took > ticketLifetime+maxFinalDelay {
		r.addFinding("%s: final after %v, lifetime %v", o.name, took, ticketLifetime)
	}
	r.checkReply(&o.outcome, starts)
	counts := starts.Tickets[string(o.ticket)]
	if o.submittedToOwner && len(counts) == o.tasks {
		r.ranAtOwner[o.side]++
	}
	if !o.submittedToOwner && len(counts) > 0 {
		r.addFinding("%s: %d tasks started without a submission to the owner", o.name, len(counts))
	}
	owner, other := o.currentOutcomes(ctx)
	if owner == api.Complete || other == api.Complete {
		r.addFinding("%s: failed before, now %q on the owner's side and %q on the other", o.name, owner, other)
	}
}
