// Package crash remembers the workers that were lost with runs on them, and assesses from that which tasks
// and which kinds of request crash workers. It is a state machine without I/O or clock; times are
// readings of one steady clock that never goes back.
//
// A Report names a lost worker and the tasks of which it may have been running a run. Hosts exchange their
// reports, so that a task is assessed by the crashes under all commanders, cells and submissions of its job.
// Reports about one loss only ever grow in evidence, so the order in which they arrive does not matter.
//
// One crash proves little: all tasks on the worker are suspects, and the caller of this package starts a
// suspect only where no task of another job runs. A second crash then singles out the job, and what the
// other jobs on the first worker did is no longer held against them.
package crash

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// memory is how long a report counts. Callers have stopped sending a job again by then.
	memory = 10 * time.Minute
	// kindMemory is how long a report counts against a kind of request.
	kindMemory = 10 * time.Second
	// maxReports and maxReportedTasks bound the reports that are kept and the tasks in them; the oldest go first.
	maxReports       = 2048
	maxReportedTasks = 8192
	// MaxTasks bounds the tasks of a report. The newest runs are kept: most tasks that crash a worker do so
	// at their start.
	MaxTasks = 128
)

const (
	// maxCrashes is the number of crashes under a task after which it is given up, if it was with no other
	// job in one of them; maxSharedCrashes is that number otherwise.
	maxCrashes       = 2
	maxSharedCrashes = 3
	// maxLosses is the number of losses, whatever their evidence, after which a task waits for proof.
	maxLosses = 3
	// suspectKindCrashes and riskyKindCrashes are the numbers of crashes from which on a kind of request
	// is suspected, and from which on it is risky if no other kind was on the workers.
	suspectKindCrashes = 4
	riskyKindCrashes   = 4
	// kindShare is the share of all crashes that a suspected kind was present in.
	kindShare = 0.75
)

// Kind is a kind of request: the route to which callers send it.
type Kind struct{ Host, Prefix string }

// KindOf returns the kind of the jobs of a route.
func KindOf(r fleet.Route) Kind { return Kind{Host: r.Host, Prefix: r.Prefix} }

// Job is a job as its caller names it, whichever host took it and whichever cell runs it.
type Job struct {
	Kind Kind
	ID   string
}

// JobOf returns the name of a job of a route.
func JobOf(r fleet.Route, id string) Job { return Job{Kind: KindOf(r), ID: id} }

// Task is a task of a job.
type Task struct {
	Job   Job
	Index int // number of the task in its job, from 0
}

// Evidence is what is known of the loss of a worker. A higher value replaces a lower one.
type Evidence int

// The evidence, from the weakest on.
const (
	// Silent: the leases on the worker have ended without an answer, as when it is cut off or stands still.
	Silent Evidence = iota + 1
	// Refused: besides, its address refuses connections.
	Refused
	// Replaced: another process answers at its address or under its ID, so its process has ended.
	Replaced
	// Withdrawn: the same process has answered again.
	Withdrawn
)

var evidenceNames = [...]string{"none", "silent", "connection refused", "process replaced", "alive"}

// String implements fmt.Stringer.
func (e Evidence) String() string { return fleet.NameOf(evidenceNames[:], int(e)) }

// IsCrash reports whether the evidence speaks for a crash and not for a cut or a pause.
func (e Evidence) IsCrash() bool { return e == Refused || e == Replaced }

// Process is one process of a worker, or the state of a host that has failed on a job.
type Process struct {
	Worker string // ID of the worker; empty: it is a host
	Addr   string // IP:port
	Start  int64  // in Unix ms; 0: unknown
}

// ReportID identifies a report by the process of the host that made it and a number.
type ReportID struct {
	Host uint64
	Seq  uint64
}

// Report tells that a worker was lost.
type Report struct {
	ID       ReportID
	Process  Process
	Evidence Evidence
	Age      time.Duration // since the loss
	Tasks    []Task        // of which the process may have been running a run
	// Uncertain says that the process had not shown that it runs the tasks: their starts stayed unanswered.
	// Such a report can hold a task, but gives none up.
	Uncertain bool
}

// singleJob reports whether all tasks belong to one job.
func (r *Report) singleJob() bool {
	for _, t := range r.Tasks {
		if t.Job != r.Tasks[0].Job {
			return false
		}
	}
	return len(r.Tasks) > 0
}

// singleKind reports whether all tasks belong to one kind of request.
func (r *Report) singleKind() bool {
	for _, t := range r.Tasks {
		if t.Job.Kind != r.Tasks[0].Job.Kind {
			return false
		}
	}
	return len(r.Tasks) > 0
}

// names reports whether a task of the kind is in the report.
func (r *Report) names(k Kind) bool {
	for _, t := range r.Tasks {
		if t.Job.Kind == k {
			return true
		}
	}
	return false
}
