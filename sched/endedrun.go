package sched

import (
	"strings"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// endedRunMemory is how long the end of a run is remembered for the log line about the next run of its task.
// It exceeds the time after which callers send a job again.
const endedRunMemory = 5 * time.Second

// EndBasis is what shows the commander that a run is over.
type EndBasis int

// The bases. The first four are answers of the worker; with the last one the clock of this host decides.
const (
	EndListed    EndBasis = iota // the worker has listed the end
	EndUnlisted                  // a later list of the worker does not name the run
	EndRejected                  // the worker has refused the start
	EndReplaced                  // another process of the worker has answered
	EndLeaseOver                 // the lease of the worker has ended on the slowest clock
	endBasisCount
)

var endBasisNames = [...]string{"end listed", "not listed", "start rejected", "process replaced", "lease ended by this host's clock"}

// String implements fmt.Stringer.
func (b EndBasis) String() string { return fleet.NameOf(endBasisNames[:], int(b)) }

// ending is the end of a run.
type ending struct {
	how   fleet.RunEnd
	basis EndBasis
	over  time.Duration // the run is certainly over by then
}

// endedRun is a run that has ended without completing its task.
type endedRun struct {
	ending
	worker    string
	submitted JobKey        // submission of the job that the run belonged to
	at        time.Duration // when the host found out
	leaseLeft time.Duration // from then until the bound of the worker's lease; negative after it
}

// rememberEnd keeps the end of a run for the next run of its task.
func (s *State) rememberEnd(now time.Duration, w *worker, r *run, end ending) {
	s.endedRuns[r.key.Task] = endedRun{
		ending: end, worker: w.info.ID, submitted: r.job.key, at: now, leaseLeft: w.leaseEndBound - now,
	}
}

// forgetEnds drops the ends that are older than endedRunMemory.
func (s *State) forgetEnds(now time.Duration) {
	for task, e := range s.endedRuns {
		if now-e.at > endedRunMemory {
			delete(s.endedRuns, task)
		}
	}
}

// restartLog collects the tasks of a job that are started again, by what shows that their former runs are
// over. Each basis gets one log line.
type restartLog [endBasisCount]restarts

// restarts are tasks of a job that are started again.
type restarts struct {
	tasks   int
	earlier int // of them, tasks whose former run belonged to an earlier submission of the job
	workers []string
	found   time.Duration // shortest since the end of a former run was found out
	over    time.Duration // shortest since a former run was certainly over
	lease   time.Duration // longest that was left of a former lease when the end was found out
}

// add counts a task that is started, if a run of it has ended before.
func (l *restartLog) add(s *State, now time.Duration, j *job, task fleet.Task) {
	e, found := s.endedRuns[task]
	if !found {
		return
	}
	delete(s.endedRuns, task)
	s.stats.Restarts[e.basis]++
	b := &l[e.basis]
	if b.tasks == 0 {
		b.found, b.over = now-e.at, now-e.over
	}
	b.found = min(b.found, now-e.at)
	b.over = min(b.over, now-e.over)
	b.lease = max(b.lease, e.leaseLeft)
	b.tasks++
	b.workers = append(b.workers, e.worker)
	if e.submitted != j.key {
		b.earlier++
	}
}

// write writes the log lines.
func (l *restartLog) write(s *State, j *job) {
	for basis, b := range l {
		if b.tasks == 0 {
			continue
		}
		s.logEvent(j.spec.RequestID, "tasks started again", "job", j.spec.ID, "tasks", b.tasks, "of_earlier_submission", b.earlier,
			"former_run_over_by", EndBasis(basis), "over_ago", b.over, "found_ago", b.found, "lease_left_then", max(0, b.lease), "former_workers", strings.Join(b.workers, ","))
	}
}
