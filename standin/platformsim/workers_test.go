package platformsim

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/logapi"
)

type poolTest struct {
	*testing.T
	pool *workerPool
	now  time.Time
}

func newPoolTest(t *testing.T) *poolTest {
	hosts := Workers(2, 4, 1000, 1, "g", "z")
	p := &poolTest{T: t, pool: newWorkerPool(hosts, 2*time.Second), now: time.Unix(1000, 0)}
	p.pool.step(p.now)
	if err := p.pool.renew(p.now, "lease", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	return p
}

// pass advances the time in steps.
func (p *poolTest) pass(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(workerStep)
		p.pool.step(p.now)
	}
}

func startOf(worker, task string, payload TaskPayload) logapi.TaskStart {
	encoded, _ := json.Marshal(payload)
	return logapi.TaskStart{TaskID: logapi.TaskID{Worker: worker, Task: task}, Payload: encoded}
}

func (p *poolTest) start(task string, payload TaskPayload) {
	p.Helper()
	req := startOf("worker-000", task, payload)
	if _, err := p.pool.start(p.now, "lease", req); err != nil {
		p.Fatal(err)
	}
}

func (p *poolTest) expect(task string, want logapi.TaskState) {
	p.Helper()
	if v, err := p.pool.read("worker-000", task); err != nil || v.State != want {
		p.Errorf("task %s: %+v, %v; want %s", task, v, err, want)
	}
}

// Guards against a lease that lets a paused holder go on: its tasks must stop, and the
// same lease must neither renew nor start anything.
func TestLapsedLeaseStopsTasksAndFences(t *testing.T) {
	p := newPoolTest(t)
	p.start("a", TaskPayload{RunMS: 60_000, Cores: 1})
	p.pass(4 * time.Second)
	if err := p.pool.renew(p.now, "lease", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	p.pass(4 * time.Second)
	p.expect("a", logapi.TaskRunning)
	p.pass(time.Second)
	p.expect("a", logapi.TaskLapsed)
	if err := p.pool.renew(p.now, "lease", time.Second); !errors.Is(err, errLeaseInvalid) {
		t.Errorf("renewal of a lapsed lease: %v", err)
	}
	_, err := p.pool.start(p.now, "lease", startOf("worker-000", "b", TaskPayload{}))
	if !errors.Is(err, errLeaseInvalid) {
		t.Errorf("start under a lapsed lease: %v", err)
	}
}

// Guards against a second start of a task identity, on the same or another worker, or
// after it was stopped before its start arrived.
func TestStartIsIdempotentByIdentity(t *testing.T) {
	p := newPoolTest(t)
	p.start("a", TaskPayload{RunMS: 100, Cores: 1})
	p.pass(200 * time.Millisecond)
	p.start("a", TaskPayload{RunMS: 100, Cores: 1})
	p.expect("a", logapi.TaskDone)
	req := startOf("worker-001", "a", TaskPayload{})
	if _, err := p.pool.start(p.now, "lease", req); !errors.Is(err, errOtherWorker) {
		t.Errorf("start on another worker: %v", err)
	}
	if v, err := p.pool.stop("worker-000", "b"); err != nil || v.Started {
		t.Errorf("stop before the start: %+v, %v", v, err)
	}
	p.start("b", TaskPayload{})
	p.expect("b", logapi.TaskStopped)
	if totals := p.pool.totals(); totals.Starts != 1 {
		t.Errorf("totals %+v", totals)
	}
}

// Guards against throttling, contention or a checkpoint that has no effect on progress.
func TestThrottleContentionAndCheckpoint(t *testing.T) {
	p := newPoolTest(t)
	p.start("a", TaskPayload{RunMS: 10_000, Cores: 4})
	p.start("b", TaskPayload{RunMS: 10_000, Cores: 4})
	p.pass(time.Second) // both at half speed, because they want 8 of 4 cores
	if _, err := p.pool.throttle("worker-000", "b", 0.001); err != nil {
		t.Fatal(err)
	}
	p.pass(time.Second)
	view, err := p.pool.checkpoint("worker-000", "a")
	if err != nil || view.ProgressMS < 1450 || view.ProgressMS > 1500 {
		t.Fatalf("checkpoint: %+v, %v; want a progress of about 1500 ms", view, err)
	}
	req := startOf("worker-001", "c", TaskPayload{})
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

// Guards against usage that is ahead of its lag, and memory that never runs out.
func TestUsageLagsAndMemoryRunsOut(t *testing.T) {
	p := newPoolTest(t)
	p.start("small", TaskPayload{RunMS: 60_000, Cores: 1, MemoryMB: 400})
	p.pass(1900 * time.Millisecond)
	if u := p.pool.usages(p.now); len(u) > 0 && u[0].MemoryMB != 0 {
		t.Errorf("usage after 1.9 s at a lag of 2 s: %+v", u[0])
	}
	p.pass(300 * time.Millisecond)
	if u := p.pool.usages(p.now); len(u) != 2 || u[0].MemoryMB != 400 || u[0].AgeMS < 2000 {
		t.Errorf("usage after 2.2 s: %+v", u)
	}
	p.start("large", TaskPayload{RunMS: 60_000, Cores: 1, MemoryMB: 700})
	p.pass(workerStep)
	p.expect("large", logapi.TaskOutOfMemory)
	p.expect("small", logapi.TaskRunning)
}

// Guards against a start whose lost answer also loses the task, and against a task that
// cannot be read back over HTTP.
func TestLostStartIsReadBack(t *testing.T) {
	s := startSim(t, Config{Workers: Workers(1, 4, 1000, 0, "g", "z")})
	mustCall(t, "POST", s.URL()+logapi.PathLeases, `{"lease":"l","ttl_ms":60000}`, nil)
	mustCall(t, "POST", s.URL()+"/admin/faults", `{"service":"workers","lost_answer":1}`, nil)
	start := `{"lease":"l","tasks":[{"worker":"worker-000","task":"t/0","cores":1,"memory_mb":0,"payload":{"run_ms":10,"echo":"hello"}}]}`
	if _, err := call(t, "POST", s.URL()+logapi.PathStarts, start, nil); err == nil {
		t.Fatal("the answer was not lost")
	}
	mustCall(t, "POST", s.URL()+"/admin/faults", `{"service":"workers","lost_answer":0}`, nil)
	if totals := s.TaskTotals(); totals.Messages[logapi.PathStarts] != 1 || totals.Starts != 1 {
		t.Errorf("totals %+v", totals)
	}
	var ended logapi.EndedReply
	mustCall(t, "GET", s.URL()+"/v1/leases/l/ended?after=0&wait_ms=5000", "", &ended)
	var reply logapi.TaskReply
	mustCall(t, "POST", s.URL()+logapi.PathReads, `{"tasks":[{"worker":"worker-000","task":"t/0"}]}`, &reply)
	for _, view := range []logapi.TaskView{ended.Tasks[0], reply.Answers[0].Task} {
		if !view.Started || view.State != logapi.TaskDone || string(view.Result) != `"hello"` {
			t.Errorf("read back: %+v", view)
		}
	}
}
