package worker

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// taskOfIdentity returns the task name in the identity of an attempt.
func taskOfIdentity(identity string) string { return identity[:strings.LastIndexByte(identity, '/')] }

// harness drives a Runner against a fakePlatform and records the end of each task. With
// retryNotStarted it acts like the state machine of package dispatch: it retries a task on another
// worker when an attempt is proven not to have started.
type harness struct {
	*testing.T
	platform        *fakePlatform
	runner          *Runner
	retryNotStarted bool
	mu              sync.Mutex
	endByTask       map[dispatch.TaskRef]dispatch.AttemptEnded
	ended           chan struct{}
}

func newHarness(t *testing.T, fake *fakePlatform, opts Options) *harness {
	h := &harness{
		T: t, platform: fake,
		endByTask: make(map[dispatch.TaskRef]dispatch.AttemptEnded), ended: make(chan struct{}, 10_000),
	}
	opts.Platform, opts.Incarnation, opts.Report = fake, "inc", h.report
	opts.ConfirmDelay, opts.ResultReadInterval, opts.PollWait =
		10*time.Millisecond, time.Millisecond, 50*time.Millisecond
	h.runner = New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		h.runner.Run(ctx)
		close(stopped)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return h
}

func taskRef(n int) dispatch.TaskRef { return dispatch.TaskRef{Ticket: ticket.ID("t"), Index: n} }

func (h *harness) start(n, attempt int, remaining time.Duration) {
	h.runner.Start(dispatch.StartAttempt{
		Task: taskRef(n), Attempt: attempt, Remaining: remaining,
		Endpoint: place.Endpoint{ID: place.EndpointID(fmt.Sprintf("w%d", attempt)), Worker: true},
	})
}

func (h *harness) report(ev dispatch.AttemptEnded) {
	if h.retryNotStarted && ev.Outcome == dispatch.AttemptNotStarted {
		go h.start(ev.Task.Index, ev.Attempt+1, 10*time.Second)
		return
	}
	h.mu.Lock()
	h.endByTask[ev.Task] = ev
	h.mu.Unlock()
	h.ended <- struct{}{}
}

// waitForEnds waits until n more tasks have ended.
func (h *harness) waitForEnds(n int) {
	h.Helper()
	for range n {
		select {
		case <-h.ended:
		case <-time.After(10 * time.Second):
			h.Fatal("an attempt did not end")
		}
	}
}

// checkEnd checks the outcome of task n and how often it started.
func (h *harness) checkEnd(n int, want dispatch.AttemptOutcome, wantStarts int) {
	h.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	got := h.endByTask[taskRef(n)]
	if starts := h.platform.startCount(fmt.Sprintf("t/%d", n)); got.Outcome != want || starts != wantStarts {
		h.Errorf("task %d: outcome %d (%s), %d starts; want outcome %d, %d starts",
			n, got.Outcome, got.Reason, starts, want, wantStarts)
	}
}

func (h *harness) waitUntilStarted(n int) {
	h.Helper()
	for range 1000 {
		if h.platform.startCount(fmt.Sprintf("t/%d", n)) > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	h.Fatalf("task %d did not start", n)
}

// countRepeatedStarts runs tasks against a platform that loses requests and answers and delivers
// some of the lost starts late. It returns the number of tasks that started more than once.
func countRepeatedStarts(t *testing.T, opts Options) int {
	fake := newFakePlatform(7)
	fake.requestLossRate, fake.answerLossRate, fake.lateStartRate, fake.lateStartDelay =
		0.2, 0.3, 0.5, 25*time.Millisecond
	opts.MaxBatchTasks = 10
	h := newHarness(t, fake, opts)
	h.retryNotStarted = true
	const tasks = 400
	for n := range tasks {
		h.start(n, 1, 10*time.Second)
	}
	h.waitForEnds(tasks)
	repeated := 0
	for n := range tasks {
		starts := fake.startCount(fmt.Sprintf("t/%d", n))
		if starts > 1 {
			repeated++
		}
		if h.endByTask[taskRef(n)].Outcome == dispatch.AttemptCompleted && starts == 0 {
			t.Errorf("task %d completed without a start", n)
		}
	}
	return repeated
}

// Guards against a task that is started again because the answer to its start was lost.
func TestLostAnswerCausesNoSecondStart(t *testing.T) {
	if n := countRepeatedStarts(t, Options{}); n > 0 {
		t.Errorf("%d tasks started more than once", n)
	}
}

// Shows that the test above detects a Runner that does not read back starts without an answer.
func TestSecondStartWithoutReadBackIsDetected(t *testing.T) {
	n := countRepeatedStarts(t, Options{faults: faults{treatUnansweredAsNotStarted: true}})
	if n == 0 {
		t.Error("no task started more than once although unanswered starts were retried")
	}
	t.Logf("%d of 400 tasks started more than once", n)
}

// Guards against tasks that are started again, or started under a lapsed lease, after the holder of
// the lease was paused.
func TestLapsedLeaseEndsItsTasksAndStartsNone(t *testing.T) {
	fake := newFakePlatform(1)
	fake.taskDuration = time.Hour
	h := newHarness(t, fake, Options{})
	h.start(0, 1, time.Minute)
	h.waitUntilStarted(0)
	fake.lapseLease("inc/1")
	h.start(1, 1, time.Minute)
	h.waitForEnds(2)
	h.checkEnd(0, dispatch.AttemptFailed, 1)
	h.checkEnd(1, dispatch.AttemptNotStarted, 0)
	fake.mu.Lock()
	fake.taskDuration = time.Millisecond
	fake.mu.Unlock()
	h.start(1, 2, time.Minute)
	h.waitForEnds(1)
	h.checkEnd(1, dispatch.AttemptCompleted, 1)
}

// Guards against a refused start that is not reported as not started, and against a start that is
// sent after its job's deadline, for example because the process was paused.
func TestRefusedAndExpiredStartsAreNotStarted(t *testing.T) {
	fake := newFakePlatform(1)
	fake.refusal = logapi.RefusedAccelerators
	h := newHarness(t, fake, Options{})
	h.start(0, 1, time.Minute)
	h.start(1, 1, -time.Millisecond)
	h.waitForEnds(2)
	h.checkEnd(0, dispatch.AttemptNotStarted, 0)
	h.checkEnd(1, dispatch.AttemptNotStarted, 0)
	if sent := h.runner.Counters().Tasks; sent != 1 {
		t.Errorf("%d starts were sent", sent)
	}
}

// Guards against a cancelled task that keeps running, and against one stop message for each task when
// many are cancelled.
func TestCancelStopsTasksInOneMessage(t *testing.T) {
	fake := newFakePlatform(1)
	fake.taskDuration = time.Hour
	h := newHarness(t, fake, Options{})
	const tasks = 100
	var refs []dispatch.TaskRef
	for n := range tasks {
		h.start(n, 1, time.Minute)
		refs = append(refs, taskRef(n))
	}
	h.waitUntilStarted(tasks - 1)
	h.runner.Cancel(dispatch.CancelAttempts{Tasks: refs})
	h.waitForEnds(tasks)
	for n := range tasks {
		h.checkEnd(n, dispatch.AttemptFailed, 1)
	}
	if c := h.runner.Counters(); c.StopMessages != 1 || c.StartMessages > 5 {
		t.Errorf("messages: %+v", c)
	}
}

// Guards against a task that was stopped to reduce a worker's load and is reported as not started or
// as a failure of the worker.
func TestTaskStoppedToReduceLoadFails(t *testing.T) {
	fake := newFakePlatform(1)
	fake.taskDuration = time.Hour
	h := newHarness(t, fake, Options{})
	h.start(0, 1, time.Minute)
	h.waitUntilStarted(0)
	h.runner.ReduceLoad(dispatch.ReduceWorkerLoad{Stop: []dispatch.TaskRef{taskRef(0), taskRef(99)}})
	h.waitForEnds(1)
	h.checkEnd(0, dispatch.AttemptFailed, 1)
	if !h.endByTask[taskRef(0)].Blameless {
		t.Error("the stop counts against the worker")
	}
}
