package crash

import (
	"cmp"
	"slices"
	"time"
)

// Standing is what the crashes under a task mean for its next start.
type Standing int

// The standings.
const (
	Clear   Standing = iota // no loss is known
	Suspect                 // starts only where no task of another job runs
	Held                    // does not start until it is known whether the lost workers have crashed
	GivenUp                 // is given up
)

var standingNames = [...]string{"clear", "suspect", "held", "given up"}

// String implements fmt.Stringer.
func (s Standing) String() string { return standingNames[s] }

// losses counts the losses of workers under a task.
type losses struct {
	all, crashes, proven      int
	crashedAlone, provenAlone bool // no other job was on one of the workers
}

func (l *Ledger) lossesOf(t Task) losses {
	var n losses
	for _, e := range l.byTask[t] {
		if e.Evidence == Withdrawn {
			continue
		}
		n.all++
		if e.Uncertain {
			continue
		}
		alone := e.singleJob()
		if e.Evidence.IsCrash() {
			n.crashes++
			n.crashedAlone = n.crashedAlone || alone
		}
		if e.Evidence == Replaced {
			n.proven++
			n.provenAlone = n.provenAlone || alone
		}
	}
	return n
}

// StandingOf returns the standing of a task.
func (l *Ledger) StandingOf(t Task) Standing {
	if len(l.byTask) == 0 {
		return Clear
	}
	n := l.lossesOf(t)
	switch {
	case n.proven >= maxCrashes && n.provenAlone || n.proven >= maxSharedCrashes:
		return GivenUp
	case n.crashes >= maxCrashes && n.crashedAlone || n.all >= maxLosses:
		return Held
	case n.all > 0:
		return Suspect
	default:
		return Clear
	}
}

// CrashedAlone reports whether a worker has crashed under the task, as far as is known, while it ran no task of
// another job.
func (l *Ledger) CrashedAlone(t Task) bool { return l.lossesOf(t).crashedAlone }

// GivenUpTask returns the first task of the job that is given up, if there is one.
func (l *Ledger) GivenUpTask(j Job) (Task, bool) {
	if !l.Names(j) {
		return Task{}, false
	}
	var found *Task
	for t := range l.byTask {
		if t.Job == j && l.StandingOf(t) == GivenUp && (found == nil || t.Index < found.Index) {
			found = &t
		}
	}
	if found == nil {
		return Task{}, false
	}
	return *found, true
}

// Crashes returns the number of workers that have crashed under a task as far as is known.
func (l *Ledger) Crashes(t Task) int { return l.lossesOf(t).crashes }

// Risk is what the crashes under the tasks of a kind of request mean for its other tasks.
type Risk int

// The risks.
const (
	NoRisk    Risk = iota
	Suspected      // was on most workers that crashed; shares workers with others only where it must
	Risky          // crashes workers; shares workers with no other kind
)

var riskNames = [...]string{"none", "suspected", "risky"}

// String implements fmt.Stringer.
func (r Risk) String() string { return riskNames[r] }

// RiskOf returns the risk of a kind of request.
func (l *Ledger) RiskOf(now time.Duration, k Kind) Risk { return l.Risks(now)[k] }

// Risks returns the kinds of request with a risk. The result must not be changed.
func (l *Ledger) Risks(now time.Duration) map[Kind]Risk {
	if len(l.entries) == 0 {
		return nil
	}
	if l.risks == nil {
		l.risks = l.computeRisks(now)
	}
	return l.risks
}

// computeRisks returns the kinds with a risk. A kind is risky as soon as a task of it is held or given up
// for its crashes, since that has singled it out, or if it was alone on several workers that crashed.
func (l *Ledger) computeRisks(now time.Duration) map[Kind]Risk {
	var recent []*entry
	for _, e := range l.entries {
		if e.Evidence.IsCrash() && !e.Uncertain && e.Process.Worker != "" && now-e.at <= kindMemory {
			recent = append(recent, e)
		}
	}
	risks := make(map[Kind]Risk)
	for _, k := range kindsIn(recent) {
		present, alone, crashedAlone := 0, 0, false
		for _, e := range recent {
			if !e.names(k) {
				continue
			}
			present++
			if e.singleKind() {
				alone++
			}
			crashedAlone = crashedAlone || e.singleJob() && l.crashedTwice(e.Tasks)
		}
		mostly := float64(present) >= kindShare*float64(len(recent))
		switch {
		case crashedAlone || alone >= riskyKindCrashes && mostly:
			risks[k] = Risky
		case present >= suspectKindCrashes && mostly:
			risks[k] = Suspected
		}
	}
	return risks
}

// crashedTwice reports whether any of the tasks is held or given up for its crashes.
func (l *Ledger) crashedTwice(tasks []Task) bool {
	return slices.ContainsFunc(tasks, func(t Task) bool { return l.lossesOf(t).crashes >= maxCrashes })
}

// kindsIn returns the kinds of request that reports name.
func kindsIn(entries []*entry) []Kind {
	var kinds []Kind
	for _, e := range entries {
		for _, t := range e.Tasks {
			if !slices.Contains(kinds, t.Job.Kind) {
				kinds = append(kinds, t.Job.Kind)
			}
		}
	}
	return kinds
}

// CrashingTask is a task under which workers have crashed, for metrics and state dumps.
type CrashingTask struct {
	Task     Task
	Crashes  int
	Standing Standing
	Workers  []string // that have crashed, in the order of the reports
}

// CrashingTasks returns at most n tasks under which workers have crashed, those with the most crashes first.
func (l *Ledger) CrashingTasks(n int) []CrashingTask {
	var list []CrashingTask
	for t, entries := range l.byTask {
		o := CrashingTask{Task: t, Standing: l.StandingOf(t)}
		for _, e := range entries {
			if e.Evidence.IsCrash() && !e.Uncertain {
				o.Crashes++
				o.Workers = append(o.Workers, cmp.Or(e.Process.Worker, e.Process.Addr))
			}
		}
		if o.Crashes > 0 {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b CrashingTask) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Task.Job.ID, b.Task.Job.ID), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return list[:min(n, len(list))]
}
