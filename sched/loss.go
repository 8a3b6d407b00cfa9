package sched

import (
	"slices"
	"strings"
	"time"

	"sesameledge.dev/sesameledge/crash"
	"sesameledge.dev/sesameledge/fleet"
)

// SetHost sets the process whose reports of lost workers this host makes. It is called before the first
// event.
func (s *State) SetHost(id uint64) { s.crashes = crash.New(id) }

// Crashes returns the reports of lost workers that this host knows.
func (s *State) Crashes() *crash.Ledger { return s.crashes }

// MergeLoss adds a report of another host. The next Place assesses the jobs by it.
func (s *State) MergeLoss(now time.Duration, r crash.Report) {
	if s.crashes.Merge(now, r) {
		s.needsPlacement = true
	}
}

// crashTask returns the name of a task across submissions, commanders and cells.
func crashTask(j *job, index int) crash.Task {
	return crash.Task{Job: crashJob(j), Index: index}
}

// process returns the process of the worker that this host has heard last.
func (w *worker) process() crash.Process {
	return crash.Process{Worker: w.info.ID, Addr: w.info.Addr, Start: w.incarnation}
}

// recordRefusal reports a worker whose address refuses connections, before its lease has ended: this host
// may be lost itself by then.
func (s *State) recordRefusal(now time.Duration, w *worker) {
	s.recordLoss(now, w, crash.Refused, w.runList)
}

// recordLapse reports a worker whose lease has ended while it did not answer. A lease that this host has
// withheld ends on a worker that answers.
func (s *State) recordLapse(now time.Duration, w *worker) {
	if w.missedHolds > 0 {
		s.recordLoss(now, w, crash.Silent, w.runList)
	}
}

// recordRestart reports a worker of which another process has answered, with the runs that the earlier one
// has listed.
func (s *State) recordRestart(now time.Duration, w *worker) {
	var runs []*run
	for _, r := range w.runList {
		if r.listedIncarnation == w.incarnation {
			runs = append(runs, r)
		}
	}
	s.recordLoss(now, w, crash.Replaced, runs)
}

// recordLoss reports a worker that was lost with runs, once for each loss, while this host commands it. A worker
// that drains leaves as planned, and a run that its newest list lacks was over or being ended.
func (s *State) recordLoss(now time.Duration, w *worker, evidence crash.Evidence, runs []*run) {
	runs = slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return r.overAt != 0 })
	if len(runs) == 0 || w.lossReported || w.phase == phaseNone || w.info.Draining {
		return
	}
	var certain, uncertain []crash.Task
	names := make([]string, len(runs))
	for i, r := range runs {
		names[i] = r.key.Task.String()
		if r.hasBegun() {
			certain = append(certain, crashTask(r.job, r.index))
		} else {
			uncertain = append(uncertain, crashTask(r.job, r.index))
		}
	}
	w.lossReported = true
	if len(certain) > 0 {
		s.crashes.Record(now, w.process(), evidence, certain)
	}
	if len(uncertain) > 0 {
		s.crashes.RecordUncertain(now, w.process(), evidence, uncertain)
	}
	s.stats.Losses[evidence-1]++
	s.logEvent("", "worker lost with runs", "worker", w.info.ID, "addr", w.info.Addr, "born", w.incarnation, "evidence", evidence,
		"silent", now-w.aliveAt, "tasks", strings.Join(names, ","), "unanswered", len(uncertain))
}

// hasBegun reports whether the worker has shown that it runs the run, or ended the connection over its start, as a
// worker does that the task crashes.
func (r *run) hasBegun() bool { return r.confirmedAt != 0 || r.startBroken }

// settleByAnswer settles the losses of a worker of which a process has answered.
func (s *State) settleByAnswer(w *worker, start int64) {
	if !s.crashes.Open() {
		return
	}
	s.logSettled(s.crashes.Settle(crash.Withdrawn, func(p crash.Process) bool { return p.Worker == w.info.ID && p.Start == start }))
	s.logSettled(s.crashes.Settle(crash.Replaced, func(p crash.Process) bool { return p.Worker == w.info.ID && p.Start < start }))
}

// settleByFailure raises the evidence for the loss of a worker whose call has failed.
func (s *State) settleByFailure(w *worker, r fleet.Reply) {
	evidence := crash.Evidence(0)
	switch {
	case r.Verdict == fleet.OtherIncarnation:
		evidence = crash.Replaced
	case r.Refused:
		evidence = crash.Refused
	}
	if evidence == 0 || !s.crashes.Open() {
		return
	}
	s.logSettled(s.crashes.Settle(evidence, func(p crash.Process) bool { return p.Worker == w.info.ID && p.Start == w.incarnation }))
}

// settleByEntry settles the losses of processes that a later one has replaced, under the same ID or at the
// same address.
func (s *State) settleByEntry(info fleet.Worker) {
	if info.ProcessStart == 0 || !s.crashes.Open() {
		return
	}
	s.logSettled(s.crashes.Settle(crash.Replaced, func(p crash.Process) bool {
		return (p.Worker == info.ID || p.Addr == info.Addr) && p.Start != 0 && p.Start < info.ProcessStart
	}))
}

func (s *State) logSettled(reports []crash.Report) {
	for _, r := range reports {
		names := make([]string, len(r.Tasks))
		for i, t := range r.Tasks {
			names[i] = (fleet.Task{Job: t.Job.ID, Index: t.Index}).String()
		}
		s.needsPlacement = true
		s.logEvent("", "loss of a worker settled", "worker", r.Process.Worker, "born", r.Process.Start, "evidence", r.Evidence, "tasks", strings.Join(names, ","))
	}
}
