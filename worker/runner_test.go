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

func taskName(identity string) string { return identity[:strings.LastIndexByte(identity, '/')] }

// harness drives a Runner as the reducer does: it offers a task again, on another
// worker, when an attempt provably did not start.
type harness struct {
	*testing.T
	fake   *fakePlatform
	runner *Runner
	retry  bool
	mu     sync.Mutex
	ends   map[dispatch.TaskRef]dispatch.AttemptEnded
	ended  chan struct{}
}

func newHarness(t *testing.T, fake *fakePlatform, opts Options) *harness {
	h := &harness{T: t, fake: fake, ends: make(map[dispatch.TaskRef]dispatch.AttemptEnded), ended: make(chan struct{}, 10_000)}
	opts.Platform, opts.Incarnation, opts.Report = fake, "inc", h.report
	opts.ConfirmDelay, opts.ResultGather, opts.PollWait = 10*time.Millisecond, time.Millisecond, 50*time.Millisecond
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

func ref(n int) dispatch.TaskRef { return dispatch.TaskRef{Ticket: ticket.ID("t"), Index: n} }

func (h *harness) start(n, attempt int, remaining time.Duration) {
	h.runner.Start(dispatch.StartAttempt{
		Task: ref(n), Attempt: attempt, Remaining: remaining,
		Endpoint: place.Endpoint{ID: place.EndpointID(fmt.Sprintf("w%d", attempt)), Worker: true},
	})
}

func (h *harness) report(ev dispatch.AttemptEnded) {
	if h.retry && ev.Outcome == dispatch.AttemptNotStarted {
		go h.start(ev.Task.Index, ev.Attempt+1, 10*time.Second)
		return
	}
	h.mu.Lock()
	h.ends[ev.Task] = ev
	h.mu.Unlock()
	h.ended <- struct{}{}
}

func (h *harness) await(n int) {
	h.Helper()
	for range n {
		select {
		case <-h.ended:
		case <-time.After(10 * time.Second):
			h.Fatal("an attempt did not end")
		}
	}
}

func (h *harness) expect(n int, want dispatch.AttemptOutcome, starts int) {
	h.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	got := h.ends[ref(n)]
	if started := h.fake.startsOf(fmt.Sprintf("t/%d", n)); got.Outcome != want || started != starts {
		h.Errorf("task %d: outcome %d (%s), %d starts; want outcome %d, %d starts", n, got.Outcome, got.Reason, started, want, starts)
	}
}

func (h *harness) awaitRunning(n int) {
	h.Helper()
	for range 1000 {
		if h.fake.startsOf(fmt.Sprintf("t/%d", n)) > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	h.Fatalf("task %d did not start", n)
}

// repeatedStarts runs tasks against a platform that loses messages, answers, and starts
// that arrive late, and counts the tasks that started more than once.
func repeatedStarts(t *testing.T, opts Options) int {
	fake := newFake(7)
	fake.lostCall, fake.lostBack, fake.late, fake.lateBy = 0.2, 0.3, 0.5, 25*time.Millisecond
	opts.MaxBatch = 10
	h := newHarness(t, fake, opts)
	h.retry = true
	const tasks = 400
	for n := range tasks {
		h.start(n, 1, 10*time.Second)
	}
	h.await(tasks)
	repeated := 0
	for n := range tasks {
		started := fake.startsOf(fmt.Sprintf("t/%d", n))
		if started > 1 {
			repeated++
		}
		if h.ends[ref(n)].Outcome == dispatch.AttemptCompleted && started == 0 {
			t.Errorf("task %d: complete without a start", n)
		}
	}
	return repeated
}

// Guards against a second start of a task whose start's answer was lost.
func TestLostAnswersStartNothingTwice(t *testing.T) {
	if n := repeatedStarts(t, Options{}); n > 0 {
		t.Errorf("%d tasks started more than once", n)
	}
}

// Shows that the test above fails without the read back, which it is there to guard.
func TestReissueWithoutReadBackIsCaught(t *testing.T) {
	n := repeatedStarts(t, Options{faults: faults{reissue: true}})
	if n == 0 {
		t.Error("no task started more than once although starts were reissued")
	}
	t.Logf("%d of 400 tasks started more than once", n)
}

// Guards against a paused holder that starts a task again, or goes on under a lease that
// has lapsed.
func TestLapsedLeaseFailsItsTasksAndStartsNone(t *testing.T) {
	fake := newFake(1)
	fake.runs = time.Hour
	h := newHarness(t, fake, Options{})
	h.start(0, 1, time.Minute)
	h.awaitRunning(0)
	fake.lapse("inc/1")
	h.start(1, 1, time.Minute)
	h.await(2)
	h.expect(0, dispatch.AttemptFailed, 1)
	h.expect(1, dispatch.AttemptNotStarted, 0)
	fake.mu.Lock()
	fake.runs = time.Millisecond
	fake.mu.Unlock()
	h.start(1, 2, time.Minute)
	h.await(1)
	h.expect(1, dispatch.AttemptCompleted, 1)
}

// Guards against a refusal that is not passed on as proof, and a task that is sent after
// its job's deadline, as when the process was paused in between.
func TestRefusedAndExpiredStartsAreNotStarted(t *testing.T) {
	fake := newFake(1)
	fake.refuse = logapi.RefusedAccelerators
	h := newHarness(t, fake, Options{})
	h.start(0, 1, time.Minute)
	h.start(1, 1, -time.Millisecond)
	h.await(2)
	h.expect(0, dispatch.AttemptNotStarted, 0)
	h.expect(1, dispatch.AttemptNotStarted, 0)
	if sent := h.runner.Counters().Tasks; sent != 1 {
		t.Errorf("%d starts were sent", sent)
	}
}

// Guards against a cancelled task that goes on, and against a wave of cancellations that
// costs a message per task.
func TestCancelStopsTasksInOneMessage(t *testing.T) {
	fake := newFake(1)
	fake.runs = time.Hour
	h := newHarness(t, fake, Options{})
	const tasks = 100
	var refs []dispatch.TaskRef
	for n := range tasks {
		h.start(n, 1, time.Minute)
		refs = append(refs, ref(n))
	}
	h.awaitRunning(tasks - 1)
	h.runner.Cancel(dispatch.CancelAttempts{Tasks: refs})
	h.await(tasks)
	for n := range tasks {
		h.expect(n, dispatch.AttemptFailed, 1)
	}
	if c := h.runner.Counters(); c.StopMessages != 1 || c.StartMessages > 5 {
		t.Errorf("messages: %+v", c)
	}
}

// Guards against a task that was stopped under pressure and counts as not started or as
// the worker's failure.
func TestStoppedUnderPressureIsFailed(t *testing.T) {
	fake := newFake(1)
	fake.runs = time.Hour
	h := newHarness(t, fake, Options{})
	h.start(0, 1, time.Minute)
	h.awaitRunning(0)
	h.runner.Relieve(dispatch.RelieveWorkers{Stop: []dispatch.TaskRef{ref(0), ref(99)}})
	h.await(1)
	h.expect(0, dispatch.AttemptFailed, 1)
	if !h.ends[ref(0)].Blameless {
		t.Error("the stop counts against the worker")
	}
}
