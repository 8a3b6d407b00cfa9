package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/pace"
)

// testPool drives the scheduler with workers that accept every start at once. They answer holds
// without a wait at once, and others when a test calls answerHold.
type testPool struct {
	s        *State
	now      time.Duration
	running  map[string]map[fleet.RunKey]bool // by worker
	starts   []StartRun
	outcomes map[JobKey]Outcome
	logs     []LogEntry
	contact  time.Duration   // when process 1, which submits jobs, last saw its callers; 0: at each step
	crashed  map[string]bool // workers whose addresses refuse connections
}

// newTestPool returns a pool of workers with the given capacities in cores.
func newTestPool(cores ...int64) *testPool {
	p := &testPool{s: New(0), now: time.Minute - settleTime, running: make(map[string]map[fleet.RunKey]bool), outcomes: make(map[JobKey]Outcome), crashed: make(map[string]bool)}
	var list []fleet.Worker
	for i, c := range cores {
		id := fmt.Sprintf("w%d", i)
		p.running[id] = make(map[fleet.RunKey]bool)
		list = append(list, fleet.Worker{ID: id, Service: "s", Zone: "z", Capacity: fleet.Resources{CPU: c * 1000, Memory: 1000}})
	}
	p.step(UpdateWorkers{Workers: list})
	for _, w := range list {
		p.step(TakeWorker{Worker: w.ID, Cell: "z", Fence: 1})
	}
	p.now = time.Minute
	p.step(Tick{})
	return p
}

// settleTime is how long after its take a worker accepts tasks if the former commander has left no listed run.
const settleTime = 60 * time.Millisecond

// stepSeen applies an event while the callers of all processes but one are seen to wait.
func stepSeen(s *State, now time.Duration, ev Event, unseen uint64) {
	for host := range s.origins {
		if host != unseen {
			s.RecordCallersSeen(host, now)
		}
	}
	if e, ok := ev.(Submit); ok && e.Job.Key.Host != unseen {
		e.Job.CallersSeen = now
		ev = e
	}
	s.Step(now, ev)
}

func (p *testPool) step(ev Event) {
	if p.contact == 0 {
		stepSeen(p.s, p.now, ev, 0)
	} else {
		stepSeen(p.s, p.now, ev, 1)
	}
	p.place()
}

func (p *testPool) place() {
	p.s.Place(p.now)
	for _, e := range p.s.Ready() {
		switch e := e.(type) {
		case StartRun:
			p.starts = append(p.starts, e)
			if p.crashed[e.Worker.ID] {
				p.step(StartReply{Worker: e.Worker.ID, Run: e.Order.Run, Sent: p.now, Fence: e.Order.Fence, Reply: refusedReply})
				continue
			}
			p.running[e.Worker.ID][e.Order.Run] = true
			p.step(StartReply{Worker: e.Worker.ID, Run: e.Order.Run, Sent: p.now, Fence: e.Order.Fence, Reply: fleet.Reply{Verdict: fleet.Accepted, ClockMillis: p.now.Milliseconds()}})
		case LogEntry:
			p.logs = append(p.logs, e)
		case HoldWorker:
			if p.crashed[e.Worker.ID] {
				p.step(HoldReply{Worker: e.Worker.ID, Seq: e.Seq, Sent: p.now, Reply: fleet.HoldReply{Reply: refusedReply}})
			} else if e.Order.WaitMillis == 0 {
				p.answerHold(e.Worker.ID, e.Seq)
			}
		case JobFinished:
			p.outcomes[e.Key] = e.Outcome
		}
	}
}

// answerHold answers a hold of a worker with its running runs and the given ends.
func (p *testPool) answerHold(worker string, seq uint64, finished ...fleet.FinishedRun) {
	reply := fleet.HoldReply{Reply: fleet.Reply{Verdict: fleet.Accepted, ClockMillis: p.now.Milliseconds(), ProcessStart: 1}, Finished: finished}
	for key := range p.running[worker] {
		reply.Running = append(reply.Running, fleet.ActiveRun{Run: key, Percent: 10})
	}
	p.step(HoldReply{Worker: worker, Seq: seq, Sent: p.now, Reply: reply})
}

// endRuns ends all runs of a worker as done.
func (p *testPool) endRuns(worker string) {
	var finished []fleet.FinishedRun
	for key := range p.running[worker] {
		finished = append(finished, fleet.FinishedRun{Number: p.s.workers[worker].processedEnd + int64(len(finished)) + 1, Run: key, End: fleet.EndDone})
	}
	clear(p.running[worker])
	p.answerHold(worker, p.s.workers[worker].holdSeq, finished...)
}

// submit submits a job whose tasks have the given estimated duration.
func (p *testPool) submit(seq uint64, route string, tasks int, estimate time.Duration) JobKey {
	return p.submitFrom(1, seq, route, tasks, estimate)
}

// submitFrom does the same for a process.
func (p *testPool) submitFrom(host, seq uint64, route string, tasks int, estimate time.Duration) JobKey {
	key := JobKey{Host: host, Seq: seq}
	p.step(Submit{Job: Job{
		Key: key, Cell: "z", Left: 10 * time.Second, CallersSeen: p.contact,
		Spec:  fleet.JobSpec{ID: fmt.Sprintf("%s%d", route, seq), Tasks: tasks, Need: fleet.Resources{CPU: 27000, Memory: 64}, Estimate: estimate},
		Route: fleet.Route{Name: route, Prefix: "/" + route + "/", Service: "s", MaxAttempts: 3, SlackFactor: 1.6, ObjectiveOffset: 60 * time.Millisecond},
	}})
	return key
}

// TestLongTaskWaitsForFastWorker guards against starting a long task on a slow worker, where it is
// certainly late, while a fast one becomes free in time.
func TestLongTaskWaitsForFastWorker(t *testing.T) {
	p := newTestPool(32, 32)
	p.s.workers["w0"].speed = 0.6
	p.s.workers["w1"].speed = 1.6
	p.submit(1, "short", 1, 60*time.Millisecond)
	p.submit(2, "long", 1, 900*time.Millisecond)
	if len(p.starts) != 1 || p.starts[0].Worker.ID != "w1" {
		t.Fatalf("starts: %v", p.starts)
	}
	p.now += 50 * time.Millisecond
	p.endRuns("w1")
	if len(p.starts) != 2 || p.starts[1].Worker.ID != "w1" {
		t.Fatalf("the long task did not start on the fast worker: %v", p.starts)
	}
	p.submit(3, "short", 1, 60*time.Millisecond)
	if len(p.starts) != 3 || p.starts[2].Worker.ID != "w0" {
		t.Fatalf("the short task did not start on the slow worker: %v", p.starts)
	}
}

// TestLongTaskEventuallyTakesSlowWorker guards against tasks that wait for a fast worker until
// their answer is of no use.
func TestLongTaskEventuallyTakesSlowWorker(t *testing.T) {
	p := newTestPool(32, 32)
	p.s.workers["w0"].speed = 0.6
	p.submit(1, "first", 1, 2*time.Second) // on the fast worker
	p.submit(2, "long", 1, 900*time.Millisecond)
	if len(p.starts) != 1 || p.starts[0].Worker.ID != "w1" {
		t.Fatalf("the long task did not wait for w1: %v", p.starts)
	}
	p.now += 400 * time.Millisecond
	p.step(Tick{})
	if len(p.starts) != 2 {
		t.Fatal("the long task still waits")
	}
}

// TestTaskDoesNotWaitForAbsentWorker guards against a task that waits for a fast worker although the
// cell has none. TestMachine of package host found it with -rapid.seed=567646: a cell whose only worker
// was slow left its jobs waiting while it was idle.
func TestTaskDoesNotWaitForAbsentWorker(t *testing.T) {
	p := newTestPool(32)
	p.s.workers["w0"].speed = 0.3
	p.submit(1, "long", 1, 900*time.Millisecond)
	if len(p.starts) != 1 {
		t.Errorf("%d starts, want one at once", len(p.starts))
	}
}

// TestOverloadShedsCheapJobs guards against a queue in which every job is late. It submits a burst
// of cheap jobs above the capacity and one large and rare job. The rare job must be accepted, and
// the cheap jobs beyond the capacity must be refused at once.
func TestOverloadShedsCheapJobs(t *testing.T) {
	p := newTestPool(64, 64, 64, 64) // 8 tasks at a time
	for i := range 200 {
		p.s.importance.recordArrival(p.now, &job{route: fleet.Route{Name: "cheap"}, spec: fleet.JobSpec{Tasks: 2, Need: fleet.Resources{CPU: 27000}}, taskDuration: 200 * time.Millisecond})
		if i%16 == 0 {
			p.s.importance.recordArrival(p.now, &job{route: fleet.Route{Name: "rare"}, spec: fleet.JobSpec{Tasks: 4, Need: fleet.Resources{CPU: 27000}}, taskDuration: 900 * time.Millisecond})
		}
	}
	var cheap, rare []JobKey
	for i := range uint64(20) {
		cheap = append(cheap, p.submit(100+i, "cheap", 2, 200*time.Millisecond))
	}
	rare = append(rare, p.submit(1, "rare", 4, 900*time.Millisecond))
	refused := 0
	for _, key := range cheap {
		if p.outcomes[key] == Refused {
			refused++
		}
	}
	if p.outcomes[rare[0]] == Refused {
		t.Error("the rare job was refused")
	}
	if refused < 8 || refused > 17 {
		t.Errorf("%d of 20 cheap jobs were refused at once", refused)
	}
}

// TestHangingTaskIsStopped guards against a job that waits for a task without progress.
func TestHangingTaskIsStopped(t *testing.T) {
	p := newTestPool(32, 32)
	p.submit(1, "short", 1, 100*time.Millisecond)
	stuck := p.starts[0].Worker.ID
	for range 10 {
		p.now += 100 * time.Millisecond
		p.answerHold(stuck, p.s.workers[stuck].holdSeq)
		p.step(Tick{})
	}
	for key := range p.running[stuck] {
		if p.s.workers[stuck].runs[key].stop.wantedSince == 0 {
			t.Fatal("the task without progress was not stopped")
		}
	}
}

// TestInvariantViolationAbortsJob guards against a fault in placement that reaches a worker: the
// job must be aborted and nothing started.
func TestInvariantViolationAbortsJob(t *testing.T) {
	m := newSchedMachine()
	m.deliverPending()
	m.sendDirectory(0)
	key := JobKey{Host: 1, Seq: 1}
	j := &job{
		key: key, origin: &origin{callersSeen: m.now}, cell: "z", deadline: m.now + time.Second,
		spec:    fleet.JobSpec{ID: "job1", Tasks: 1, Need: fleet.Resources{CPU: 1000, Memory: 1}},
		route:   fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, ObjectiveOffset: time.Second},
		waiting: []int{0}, attempts: make([]int64, 1), failures: make([]int, 1), hasRun: make([]bool, 1),
	}
	m.s.jobs[key] = j
	draining := m.s.workers["w0"]
	m.s.placeJob(m.now, j, []*candidate{{w: draining, free: draining.info.Capacity}})
	for _, e := range m.s.Ready() {
		switch e := e.(type) {
		case StartRun:
			t.Errorf("started %v", e.Order.Run)
		case JobFinished:
			m.outcomes[e.Key] = e.Outcome
		}
	}
	if m.outcomes[key] != Aborted || m.s.Stats().Violations != 1 {
		t.Errorf("outcome %v, %d violations", m.outcomes[key], m.s.Stats().Violations)
	}
}

// TestBurstOnNarrowLink guards against a burst that fills the network link of the commander, so that
// heartbeats and renewals of leases are late. Starts leave as the link allows, and jobs whose starts
// cannot leave in time are refused at once.
func TestBurstOnNarrowLink(t *testing.T) {
	const linkBytesPerSecond = 250_000
	p := newTestPool(640, 640)
	p.s.link = pace.NewLink(linkBytesPerSecond, pace.OrderShare)
	payload := strings.Repeat("x", 1500)
	submit := func(seq uint64) {
		p.step(Submit{Job: Job{
			Key: JobKey{Host: 1, Seq: seq}, Cell: "z", Left: 10 * time.Second,
			Spec:  fleet.JobSpec{ID: fmt.Sprintf("job%d", seq), Tasks: 8, Need: fleet.Resources{CPU: 1000, Memory: 1}, Estimate: 60 * time.Millisecond, Payload: payload},
			Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, SlackFactor: 1.6, ObjectiveOffset: 60 * time.Millisecond},
		}})
	}
	submit(1)
	if n := len(p.starts); n == 0 || n == 8 {
		t.Errorf("%d of 8 starts at once", n)
	}
	for seq := uint64(2); seq <= 20; seq++ {
		submit(seq)
	}
	refused := 0
	for _, o := range p.outcomes {
		if o == Refused {
			refused++
		}
	}
	if refused < 15 {
		t.Errorf("%d of 20 jobs are refused at once, of which the link can carry 2 in time", refused)
	}
	for range 12 {
		p.now += 25 * time.Millisecond
		p.step(Tick{})
	}
	if n := len(p.starts); n != 8*(20-refused) {
		t.Errorf("%d starts of %d jobs with 8 tasks that were not refused", n, 20-refused)
	}
}
