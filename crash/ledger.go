package crash

import (
	"slices"
	"time"
)

// Ledger holds the reports of all hosts. Create it with New.
type Ledger struct {
	host    uint64 // process that makes the own reports
	lastSeq uint64
	entries []*entry // in the order in which they were added
	byID    map[ReportID]*entry
	byTask  map[Task][]*entry
	byJob   map[Job]int   // number of tasks in byTask
	risks   map[Kind]Risk // nil: must be computed again
	tasks   int           // in all entries
	open    int           // entries whose evidence may still grow; see Open
	changes uint64        // number of changes so far
}

// entry is a report that is kept.
type entry struct {
	Report
	at     time.Duration // of the loss
	change uint64        // number of its newest change
	own    bool          // this host has made or changed it
}

// New returns an empty ledger for a process of a host.
func New(host uint64) *Ledger {
	return &Ledger{host: host, byID: make(map[ReportID]*entry), byTask: make(map[Task][]*entry), byJob: make(map[Job]int)}
}

// Record makes a report about a process that was lost with runs of the given tasks, in the order of their
// starts.
func (l *Ledger) Record(now time.Duration, p Process, e Evidence, tasks []Task) {
	l.record(now, Report{Process: p, Evidence: e, Tasks: tasks})
}

// RecordUncertain does the same for tasks whose starts the process had not answered.
func (l *Ledger) RecordUncertain(now time.Duration, p Process, e Evidence, tasks []Task) {
	l.record(now, Report{Process: p, Evidence: e, Tasks: tasks, Uncertain: true})
}

func (l *Ledger) record(now time.Duration, r Report) {
	l.lastSeq++
	r.ID = ReportID{Host: l.host, Seq: l.lastSeq}
	r.Tasks = unique(r.Tasks[max(0, len(r.Tasks)-MaxTasks):])
	l.add(now, r).own = true
}

// Merge adds a report of another host, or its newer evidence. It reports false if it holds nothing new.
func (l *Ledger) Merge(now time.Duration, r Report) bool {
	if r.Age > memory || r.Evidence < Silent || r.Evidence > Withdrawn || len(r.Tasks) == 0 || len(r.Tasks) > MaxTasks {
		return false
	}
	if known := l.byID[r.ID]; known != nil {
		return l.raise(known, r.Evidence)
	}
	r.Tasks = unique(r.Tasks)
	l.add(now, r)
	return true
}

// unique returns the tasks, each once.
func unique(tasks []Task) []Task {
	var list []Task
	for _, t := range tasks {
		if !slices.Contains(list, t) {
			list = append(list, t)
		}
	}
	return list
}

func (l *Ledger) add(now time.Duration, r Report) *entry {
	l.changes++
	e := &entry{Report: r, at: now - max(0, r.Age), change: l.changes}
	l.entries = append(l.entries, e)
	l.byID[r.ID] = e
	for _, t := range r.Tasks {
		if len(l.byTask[t]) == 0 {
			l.byJob[t.Job]++
		}
		l.byTask[t] = append(l.byTask[t], e)
	}
	l.risks = nil
	l.tasks += len(r.Tasks)
	l.open += openCount(r.Evidence)
	for len(l.entries) > maxReports || l.tasks > maxReportedTasks {
		l.drop(1)
	}
	return e
}

// raise replaces the evidence of a report by a stronger one.
func (l *Ledger) raise(e *entry, evidence Evidence) bool {
	if evidence <= e.Evidence {
		return false
	}
	l.changes++
	l.open += openCount(evidence) - openCount(e.Evidence)
	e.Evidence, e.change = evidence, l.changes
	l.risks = nil
	return true
}

// Settle records what has become of lost processes: match selects them. It returns the reports that have
// changed.
func (l *Ledger) Settle(evidence Evidence, match func(Process) bool) []Report {
	var changed []Report
	for _, e := range l.entries {
		if e.Evidence < Replaced && match(e.Process) && l.raise(e, evidence) {
			e.own = true
			changed = append(changed, e.Report)
		}
	}
	return changed
}

// Open reports whether the fate of a lost process is not known yet.
func (l *Ledger) Open() bool { return l.open > 0 }

// openCount is 1 for evidence that does not tell the fate of a process.
func openCount(e Evidence) int {
	if e < Replaced {
		return 1
	}
	return 0
}

// Expire forgets reports that are too old to count.
func (l *Ledger) Expire(now time.Duration) {
	old := 0
	for old < len(l.entries) && now-l.entries[old].at > memory {
		old++
	}
	l.drop(old)
	l.risks = nil // the weight of reports falls with time
}

// drop forgets the n oldest reports.
func (l *Ledger) drop(n int) {
	if n == 0 {
		return
	}
	l.changes++
	for _, e := range l.entries[:n] {
		l.tasks -= len(e.Tasks)
		l.open -= openCount(e.Evidence)
		delete(l.byID, e.ID)
		for _, t := range e.Tasks {
			l.forget(t, slices.DeleteFunc(l.byTask[t], func(o *entry) bool { return o == e }))
		}
	}
	l.entries = slices.Delete(l.entries, 0, n)
}

// forget replaces the reports that name a task by the rest of them.
func (l *Ledger) forget(t Task, rest []*entry) {
	if l.byTask[t] = rest; len(rest) > 0 {
		return
	}
	delete(l.byTask, t)
	if l.byJob[t.Job]--; l.byJob[t.Job] == 0 {
		delete(l.byJob, t.Job)
	}
}

// Done takes a task that has run to its end out of the reports, which then tell more about the other tasks
// that they name.
func (l *Ledger) Done(t Task) {
	entries := l.byTask[t]
	if len(entries) == 0 {
		return
	}
	l.tasks -= len(entries)
	for _, e := range entries {
		e.Tasks = slices.DeleteFunc(slices.Clone(e.Tasks), func(o Task) bool { return o == t })
	}
	l.forget(t, nil)
	l.changes++
	l.risks = nil
}

// Empty reports whether there are no reports.
func (l *Ledger) Empty() bool { return len(l.entries) == 0 }

// Names reports whether a report names a task of the job.
func (l *Ledger) Names(j Job) bool { return l.byJob[j] > 0 }

// Changes returns the number of changes so far.
func (l *Ledger) Changes() uint64 { return l.changes }

// Since returns the reports that have changed after the change with the given number, and for which this
// host speaks: its own, and those of hosts for which lost returns true.
func (l *Ledger) Since(now time.Duration, change uint64, lost func(host uint64) bool) []Report {
	if change == l.changes {
		return nil
	}
	var list []Report
	for _, e := range l.entries {
		if e.change <= change || !e.own && !lost(e.ID.Host) {
			continue
		}
		r := e.Report
		r.Age = now - e.at
		list = append(list, r)
	}
	return list
}
