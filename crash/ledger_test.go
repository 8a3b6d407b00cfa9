package crash

import (
	"fmt"
	"testing"
	"time"
)

// task returns the first task of a job of a kind.
func task(kind, job string) Task {
	return Task{Job: Job{Kind: Kind{Host: "h", Prefix: "/" + kind + "/"}, ID: job}}
}

// crashOf records that the process of a worker has crashed under tasks, and that it was replaced.
func crashOf(l *Ledger, now time.Duration, worker string, tasks ...Task) {
	l.Record(now, Process{Worker: worker, Start: 1}, Refused, tasks)
	l.Settle(Replaced, func(p Process) bool { return p.Worker == worker })
}

// TestNeighboursOfCrashingTaskAreNotGivenUp guards against sound tasks that are given up because they were
// beside one that crashes workers, twice or more.
func TestNeighboursOfCrashingTaskAreNotGivenUp(t *testing.T) {
	l := New(1)
	crashing, neighbour := task("a", "crashing"), task("a", "neighbour")
	crashOf(l, 0, "w0", crashing, neighbour)
	crashOf(l, time.Second, "w1", crashing, neighbour)
	if got := l.StandingOf(neighbour); got != Suspect {
		t.Errorf("after two crashes beside the crashing task the neighbour is %v, want suspect", got)
	}
	l.Done(neighbour)
	if got := l.StandingOf(crashing); got != GivenUp {
		t.Errorf("after the neighbour has ended the crashing task is %v, want given up", got)
	}
}

// TestCutsGiveUpNoTask guards against tasks that are given up because their workers were silent, or refused
// connections, and then went on.
func TestCutsGiveUpNoTask(t *testing.T) {
	l := New(1)
	cut := task("a", "cut")
	for i := range maxLosses {
		l.Record(0, Process{Worker: fmt.Sprintf("w%d", i), Start: 1}, Refused, []Task{cut})
	}
	if got := l.StandingOf(cut); got != Held {
		t.Errorf("while it is not known whether the workers have crashed the task is %v, want held", got)
	}
	l.Settle(Withdrawn, func(Process) bool { return true })
	if got := l.StandingOf(cut); got != Clear {
		t.Errorf("after all workers have answered again the task is %v, want clear", got)
	}
}

// TestReportsOfOtherHosts guards against reports that count twice, that lose evidence when they arrive late,
// and that are forgotten with the host that made them.
func TestReportsOfOtherHosts(t *testing.T) {
	l := New(2)
	r := Report{ID: ReportID{Host: 1, Seq: 1}, Process: Process{Worker: "w0"}, Evidence: Replaced, Tasks: []Task{task("a", "x")}}
	l.Merge(0, r)
	r.Evidence = Refused
	if l.Merge(0, r) {
		t.Error("older evidence has changed a report")
	}
	if n := l.Crashes(task("a", "x")); n != 1 {
		t.Errorf("a report that came twice counts as %d crashes", n)
	}
	if list := l.Since(0, 0, func(uint64) bool { return true }); len(list) != 1 || list[0].Evidence != Replaced {
		t.Errorf("the reports of a lost host are %+v, want the newest evidence", list)
	}
	if list := l.Since(0, 0, func(uint64) bool { return false }); len(list) != 0 {
		t.Errorf("a host speaks for %d reports of a live host", len(list))
	}
	l.Expire(memory + time.Second)
	if l.Names(task("a", "x").Job) {
		t.Error("a report counts for longer than it is remembered")
	}
}

// TestRiskyKind guards against kinds of request that are kept apart for the crashes of another kind, and for
// crashes of machines that hit all kinds.
func TestRiskyKind(t *testing.T) {
	l := New(1)
	for i := range 6 {
		crashOf(l, 0, fmt.Sprintf("w%d", i), task("a", fmt.Sprint("a", i)), task([]string{"b", "c"}[i%2], fmt.Sprint("x", i)))
	}
	if got := l.RiskOf(0, task("a", "").Job.Kind); got != Suspected {
		t.Errorf("the kind that was on all workers that crashed has the risk %v, want suspected", got)
	}
	if got := l.RiskOf(0, task("b", "").Job.Kind); got != NoRisk {
		t.Errorf("a kind that was on half of them has the risk %v, want none", got)
	}
	crashOf(l, 0, "w6", task("a", "a0"))
	if got := l.RiskOf(0, task("a", "").Job.Kind); got != Risky {
		t.Errorf("with a task that was singled out the kind has the risk %v, want risky", got)
	}
	l.Expire(kindMemory + time.Second)
	if got := l.RiskOf(kindMemory+time.Second, task("a", "").Job.Kind); got != NoRisk {
		t.Errorf("some time later the kind has the risk %v, want none", got)
	}
}

// TestUnansweredStartsGiveUpNoTask guards against tasks that are given up for the loss of workers that may never
// have had them, and against starts without a bound on workers that do not answer.
func TestUnansweredStartsGiveUpNoTask(t *testing.T) {
	l := New(1)
	unlucky := task("a", "unlucky")
	for i := range maxLosses {
		worker := fmt.Sprint("w", i)
		l.RecordUncertain(0, Process{Worker: worker, Start: 1}, Silent, []Task{unlucky})
		l.Settle(Replaced, func(p Process) bool { return p.Worker == worker })
	}
	if got := l.StandingOf(unlucky); got != Held {
		t.Errorf("after %d unanswered starts on workers that have restarted the task is %v, want held", maxLosses, got)
	}
}

// TestLedgerIsBounded guards against reports that take the memory of a host, and against a count of tasks that
// drifts.
func TestLedgerIsBounded(t *testing.T) {
	l := New(1)
	for i := range 4 * maxReports {
		var tasks []Task
		for k := range 1 + i%MaxTasks {
			tasks = append(tasks, task("a", fmt.Sprint(i, " ", k)))
		}
		l.Record(time.Duration(i), Process{Worker: fmt.Sprint(i), Start: 1}, Refused, tasks)
		l.Done(tasks[0])
	}
	counted := 0
	for _, e := range l.entries {
		counted += len(e.Tasks)
	}
	if len(l.entries) > maxReports || l.tasks > maxReportedTasks || counted != l.tasks || len(l.byTask) != counted {
		t.Errorf("%d reports with %d tasks, counted as %d and known as %d", len(l.entries), counted, l.tasks, len(l.byTask))
	}
	l.Expire(memory + time.Hour)
	if l.Open() || !l.Empty() || l.tasks != 0 || len(l.byTask) != 0 || len(l.byJob) != 0 || len(l.byID) != 0 {
		t.Errorf("after all is forgotten %d tasks and %d jobs are left", l.tasks, len(l.byJob))
	}
}
