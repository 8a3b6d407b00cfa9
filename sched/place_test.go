package sched

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// testPool is a pool of workers that carry out starts at once and answer looks when asked to.
type testPool struct {
	s       *State
	now     time.Duration
	running map[string]map[fleet.RunKey]bool // by worker
	starts  []StartRun
	ended   map[JobKey]Outcome
}

// newTestPool returns workers with the given capacities in cores.
func newTestPool(cores ...int64) *testPool {
	y := &testPool{s: New(), now: time.Minute, running: make(map[string]map[fleet.RunKey]bool), ended: make(map[JobKey]Outcome)}
	var list []fleet.Worker
	for i, c := range cores {
		id := fmt.Sprintf("w%d", i)
		y.running[id] = make(map[fleet.RunKey]bool)
		list = append(list, fleet.Worker{ID: id, Service: "s", Zone: "z", Capacity: fleet.Resources{CPU: c * 1000, Memory: 1000}})
	}
	y.step(Directory{Workers: list})
	for _, w := range list {
		y.step(Take{Worker: w.ID, Cell: "z", Fence: 1})
	}
	return y
}

func (y *testPool) step(ev Event) {
	y.s.Step(y.now, ev)
	y.place()
}

func (y *testPool) place() {
	y.s.Place(y.now)
	for _, e := range y.s.Ready() {
		switch e := e.(type) {
		case StartRun:
			y.starts = append(y.starts, e)
			y.running[e.Worker.ID][e.Order.Run] = true
			y.step(Started{Worker: e.Worker.ID, Run: e.Order.Run, Reply: fleet.Reply{Verdict: fleet.Accepted, Clock: y.now.Milliseconds()}})
		case HoldWorker:
			if e.Order.Wait == 0 {
				y.answer(e.Worker.ID, e.Seq)
			}
		case Finish:
			y.ended[e.Key] = e.Outcome
		}
	}
}

func (y *testPool) answer(worker string, seq uint64, finished ...fleet.Finished) {
	reply := fleet.HoldReply{Reply: fleet.Reply{Verdict: fleet.Accepted, Clock: y.now.Milliseconds(), Born: 1}, Finished: finished}
	for key := range y.running[worker] {
		reply.Running = append(reply.Running, fleet.Running{Run: key, Percent: 10})
	}
	y.step(Held{Worker: worker, Seq: seq, Sent: y.now, Reply: reply})
}

// end ends all runs of a worker as done.
func (y *testPool) end(worker string) {
	var finished []fleet.Finished
	for key := range y.running[worker] {
		finished = append(finished, fleet.Finished{Number: y.s.workers[worker].cursor + int64(len(finished)) + 1, Run: key, How: fleet.EndDone})
	}
	clear(y.running[worker])
	y.answer(worker, y.s.workers[worker].holdSeq, finished...)
}

func (y *testPool) submit(seq uint64, route string, tasks int, takes time.Duration) JobKey {
	key := JobKey{Host: 1, Seq: seq}
	y.step(Submit{Job: Job{
		Key: key, Cell: "z", Left: 10 * time.Second,
		Spec:  fleet.JobSpec{ID: fmt.Sprintf("%s%d", route, seq), Tasks: tasks, Need: fleet.Resources{CPU: 27000, Memory: 64}, Estimate: takes},
		Route: fleet.Route{Name: route, Service: "s", MaxAttempts: 3, SlackFactor: 1.6, Target: 60 * time.Millisecond},
	}})
	return key
}

// TestLongTaskWaitsForFastWorker guards against long tasks on a slow worker, where they are
// late for certain, while a fast one becomes free in time.
func TestLongTaskWaitsForFastWorker(t *testing.T) {
	y := newTestPool(32, 32)
	y.s.workers["w0"].speed = 0.6
	y.s.workers["w1"].speed = 1.6
	y.submit(1, "short", 1, 60*time.Millisecond)
	y.submit(2, "long", 1, 900*time.Millisecond)
	if len(y.starts) != 1 || y.starts[0].Worker.ID != "w1" {
		t.Fatalf("starts: %v", y.starts)
	}
	y.now += 50 * time.Millisecond
	y.end("w1")
	if len(y.starts) != 2 || y.starts[1].Worker.ID != "w1" {
		t.Fatalf("the long task did not start on the fast worker: %v", y.starts)
	}
	y.submit(3, "short", 1, 60*time.Millisecond)
	if len(y.starts) != 3 || y.starts[2].Worker.ID != "w0" {
		t.Fatalf("the short task did not start on the slow worker: %v", y.starts)
	}
}

// TestLongTaskTakesAnyWorkerInTheEnd guards against tasks that wait for a fast worker until
// nobody has use for their answer.
func TestLongTaskTakesAnyWorkerInTheEnd(t *testing.T) {
	y := newTestPool(32)
	y.s.workers["w0"].speed = 0.6
	y.submit(1, "long", 1, 900*time.Millisecond)
	if len(y.starts) != 0 {
		t.Fatal("the long task did not wait")
	}
	y.now += 400 * time.Millisecond
	y.step(Tick{})
	if len(y.starts) != 1 {
		t.Fatal("the long task still waits")
	}
}

// TestBurstOfCheapJobs replays a burst of cheap jobs above the capacity, with a few large and
// rare ones among them. It guards against a queue in which everything is late: the rare ones
// are served in time, and the cheap ones beyond the capacity are refused at once.
func TestBurstOfCheapJobs(t *testing.T) {
	y := newTestPool(64, 64, 64, 64) // 8 tasks at a time
	for i := range 200 {
		y.s.importance.see(y.now, &job{route: fleet.Route{Name: "cheap"}, spec: fleet.JobSpec{Tasks: 2, Need: fleet.Resources{CPU: 27000}}, base: 200 * time.Millisecond})
		if i%16 == 0 {
			y.s.importance.see(y.now, &job{route: fleet.Route{Name: "rare"}, spec: fleet.JobSpec{Tasks: 4, Need: fleet.Resources{CPU: 27000}}, base: 900 * time.Millisecond})
		}
	}
	var cheap, rare []JobKey
	for i := range uint64(20) {
		cheap = append(cheap, y.submit(100+i, "cheap", 2, 200*time.Millisecond))
	}
	rare = append(rare, y.submit(1, "rare", 4, 900*time.Millisecond))
	refused := 0
	for _, key := range cheap {
		if y.ended[key] == Refused {
			refused++
		}
	}
	if y.ended[rare[0]] == Refused {
		t.Error("the rare job was refused")
	}
	if refused < 8 || refused > 17 {
		t.Errorf("%d of 20 cheap jobs were refused at once", refused)
	}
}

// TestHangingTaskIsMoved guards against a job that waits for a task which stands still.
func TestHangingTaskIsMoved(t *testing.T) {
	y := newTestPool(32, 32)
	y.submit(1, "short", 1, 100*time.Millisecond)
	stuck := y.starts[0].Worker.ID
	for range 10 {
		y.now += 100 * time.Millisecond
		y.answer(stuck, y.s.workers[stuck].holdSeq)
		y.step(Tick{})
	}
	for key := range y.running[stuck] {
		if y.s.workers[stuck].runs[key].stop.wanted == 0 {
			t.Fatal("the task that stands still was not stopped")
		}
	}
}

// TestStartThatBreaksAnInvariantIsStopped guards against a fault of the placement that reaches a
// worker: the job is given up, and nothing is started.
func TestStartThatBreaksAnInvariantIsStopped(t *testing.T) {
	m := newSchedMachine()
	m.deliverAll()
	m.directory(0)
	key := JobKey{Host: 1, Seq: 1}
	j := &job{
		key: key, cell: "z", deadline: m.now + time.Second,
		spec:    fleet.JobSpec{ID: "job1", Tasks: 1, Need: fleet.Resources{CPU: 1000, Memory: 1}},
		route:   fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, Target: time.Second},
		waiting: []int{0}, attempts: make([]int64, 1), failures: make([]int, 1), live: make([]bool, 1),
	}
	m.s.jobs[key] = j
	draining := m.s.workers["w0"]
	m.s.placeJob(m.now, j, []*candidate{{w: draining, free: draining.info.Capacity}})
	for _, e := range m.s.Ready() {
		switch e := e.(type) {
		case StartRun:
			t.Errorf("started %v", e.Order.Run)
		case Finish:
			m.outcomes[e.Key] = e.Outcome
		}
	}
	if m.outcomes[key] != Aborted || m.s.Stats().Violations != 1 {
		t.Errorf("outcome %v, %d violations", m.outcomes[key], m.s.Stats().Violations)
	}
}
