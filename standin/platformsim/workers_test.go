package platformsim

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/logapi"
)

// poolTest is a worker pool with two workers, a lease with the ID "lease" and a simulated clock.
type poolTest struct {
	*testing.T
	pool *workerPool
	now  time.Time
}

func newPoolTest(t *testing.T) *poolTest {
	hosts := UniformWorkers(2, 4, 1000, 1, "g", "z")
	p := &poolTest{T: t, pool: newWorkerPool(hosts, 2*time.Second), now: time.Unix(1000, 0)}
	p.pool.step(p.now)
	if err := p.pool.renew(p.now, "lease", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	return p
}

// advanceClock advances the simulated clock in simulation steps.
func (p *poolTest) advanceClock(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(simulationStep)
		p.pool.step(p.now)
	}
}

// taskStartRequest returns a request that starts a task on a worker.
func taskStartRequest(worker, task string, payload TaskPayload) logapi.TaskStart {
	encoded, _ := json.Marshal(payload)
	return logapi.TaskStart{TaskID: logapi.TaskID{Worker: worker, Task: task}, Payload: encoded}
}

// mustStart starts a task on the first worker and fails the test on an error.
func (p *poolTest) mustStart(task string, payload TaskPayload) {
	p.Helper()
	req := taskStartRequest("worker-000", task, payload)
	if _, err := p.pool.start(p.now, "lease", req); err != nil {
		p.Fatal(err)
	}
}

// expectTaskState checks the state of a task on the first worker.
func (p *poolTest) expectTaskState(task string, want logapi.TaskState) {
	p.Helper()
	if v, err := p.pool.read("worker-000", task); err != nil || v.State != want {
		p.Errorf("task %s: %+v, %v; want %s", task, v, err, want)
	}
}

// Guards against a lease that still works after a pause of its holder in which it expired: its
// tasks must end, and the lease must neither be renewed nor permit a start.
func TestLapsedLeaseEndsTasksAndRefusesRenewalAndStart(t *testing.T) {
	p := newPoolTest(t)
	p.mustStart("a", TaskPayload{RunMS: 60_000, Cores: 1})
	p.advanceClock(4 * time.Second)
	if err := p.pool.renew(p.now, "lease", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	p.advanceClock(4 * time.Second)
	p.expectTaskState("a", logapi.TaskRunning)
	p.advanceClock(time.Second)
	p.expectTaskState("a", logapi.TaskLapsed)
	if err := p.pool.renew(p.now, "lease", time.Second); !errors.Is(err, errLeaseInvalid) {
		t.Errorf("renewal of a lapsed lease: %v", err)
	}
	_, err := p.pool.start(p.now, "lease", taskStartRequest("worker-000", "b", TaskPayload{}))
	if !errors.Is(err, errLeaseInvalid) {
		t.Errorf("start under a lapsed lease: %v", err)
	}
}

// Guards against a task that starts twice under one identity, on the same or another worker, and
// against one that starts although its stop request arrived before its start request.
func TestStartIsIdempotentByIdentity(t *testing.T) {
	p := newPoolTest(t)
	p.mustStart("a", TaskPayload{RunMS: 100, Cores: 1})
	p.advanceClock(200 * time.Millisecond)
	p.mustStart("a", TaskPayload{RunMS: 100, Cores: 1})
	p.expectTaskState("a", logapi.TaskDone)
	req := taskStartRequest("worker-001", "a", TaskPayload{})
	if _, err := p.pool.start(p.now, "lease", req); !errors.Is(err, errTaskOnOtherWorker) {
		t.Errorf("start on another worker: %v", err)
	}
	if v, err := p.pool.stop("worker-000", "b"); err != nil || v.Started {
		t.Errorf("stop before the start: %+v, %v", v, err)
	}
	p.mustStart("b", TaskPayload{})
	p.expectTaskState("b", logapi.TaskStopped)
	if totals := p.pool.totals(); totals.Starts != 1 {
		t.Errorf("totals %+v", totals)
	}
}

// Guards against throttling, core contention or a resumption from a checkpoint that has no effect
// on progress.
func TestThrottleContentionAndCheckpoint(t *testing.T) {
	p := newPoolTest(t)
	p.mustStart("a", TaskPayload{RunMS: 10_000, Cores: 4})
	p.mustStart("b", TaskPayload{RunMS: 10_000, Cores: 4})
	p.advanceClock(time.Second) // both run at half speed, because they demand 8 cores and the worker has 4
	if _, err := p.pool.throttle("worker-000", "b", 0.001); err != nil {
		t.Fatal(err)
	}
	p.advanceClock(time.Second)
	view, err := p.pool.checkpoint("worker-000", "a")
	if err != nil || view.ProgressMS < 1450 || view.ProgressMS > 1500 {
		t.Fatalf("checkpoint: %+v, %v; want a progress of about 1500 ms", view, err)
	}
	req := taskStartRequest("worker-001", "c", TaskPayload{})
	req.ResumeFrom = "a"
	resumed, err := p.pool.start(p.now, "lease", req)
	if err != nil || resumed.ProgressMS != view.ProgressMS {
		t.Errorf("resumed: %+v, %v", resumed, err)
	}
	req.Task = "d"
	if _, err := p.pool.start(p.now, "lease", req); !errors.Is(err, errNoCheckpoint) {
		t.Errorf("second resumption of a checkpoint: %v", err)
	}
}

// Guards against usage reported before the lag has passed, and against tasks that exceed the
// worker's memory without being ended.
func TestUsageLagAndOutOfMemory(t *testing.T) {
	p := newPoolTest(t)
	p.mustStart("small", TaskPayload{RunMS: 60_000, Cores: 1, MemoryMB: 400})
	p.advanceClock(1900 * time.Millisecond)
	if u := p.pool.servedUsages(p.now); len(u) > 0 && u[0].MemoryMB != 0 {
		t.Errorf("usage after 1.9 s at a lag of 2 s: %+v", u[0])
	}
	p.advanceClock(300 * time.Millisecond)
	if u := p.pool.servedUsages(p.now); len(u) != 2 || u[0].MemoryMB != 400 || u[0].AgeMS < 2000 {
		t.Errorf("usage after 2.2 s: %+v", u)
	}
	p.mustStart("large", TaskPayload{RunMS: 60_000, Cores: 1, MemoryMB: 700})
	p.advanceClock(simulationStep)
	p.expectTaskState("large", logapi.TaskOutOfMemory)
	p.expectTaskState("small", logapi.TaskRunning)
}

// Guards against a start that has no effect when its answer is lost, and against a task that cannot
// be read over HTTP afterwards.
func TestStartWithLostAnswerCanBeRead(t *testing.T) {
	s := startSim(t, Config{Workers: UniformWorkers(1, 4, 1000, 0, "g", "z")})
	mustCall(t, "POST", s.URL()+logapi.PathLeases, `{"lease":"l","ttl_ms":60000}`, nil)
	mustCall(t, "POST", s.URL()+"/admin/faults", `{"service":"workers","lost_answer":1}`, nil)
	start := `{"lease":"l","tasks":[{"worker":"worker-000","task":"t/0","cores":1,"memory_mb":0,"payload":{"run_ms":10,"echo":"hello"}}]}`
	if _, err := call(t, "POST", s.URL()+logapi.PathStartTasks, start, nil); err == nil {
		t.Fatal("the answer was not lost")
	}
	mustCall(t, "POST", s.URL()+"/admin/faults", `{"service":"workers","lost_answer":0}`, nil)
	if totals := s.TaskTotals(); totals.RequestsByPath[logapi.PathStartTasks] != 1 || totals.Starts != 1 {
		t.Errorf("totals %+v", totals)
	}
	var ended logapi.EndedTasksReply
	mustCall(t, "GET", s.URL()+"/v1/leases/l/ended?after=0&wait_ms=5000", "", &ended)
	var reply logapi.TaskReply
	mustCall(t, "POST", s.URL()+logapi.PathReadTasks, `{"tasks":[{"worker":"worker-000","task":"t/0"}]}`, &reply)
	for _, view := range []logapi.TaskView{ended.Tasks[0], reply.Answers[0].Task} {
		if !view.Started || view.State != logapi.TaskDone || string(view.Result) != `"hello"` {
			t.Errorf("read back: %+v", view)
		}
	}
}
