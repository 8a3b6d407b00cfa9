package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/place"
)

// newQueueState returns a state with one endpoint that has this many slots.
func newQueueState(slots int, jobWindow float64) *State {
	s := New(Options{Host: "h", Incarnation: 1, Zone: "a", Seed: 1})
	s.Apply(0, PolicyChanged{Policy: &Policy{
		Kinds:     map[string]Kind{"k": {Group: "g", DefaultDeadline: 50 * time.Second}},
		Teams:     map[string]Team{"t": {Weight: 1}},
		JobWindow: jobWindow,
	}})
	s.Apply(0, EndpointsChanged{EntryHosts: 1, Endpoints: []place.Endpoint{{ID: "m", Group: "g", Zone: "a", Slots: slots}}})
	return s
}

// submitTasks submits a job of n tasks with a declared run time and returns the attempts started.
func submitTasks(s *State, now time.Duration, n int, runTime time.Duration) []StartAttempt {
	tk := s.Mint(now, 1, 10*time.Second, time.Minute)[0]
	job := &api.Job{Schema: api.Schema, Team: "t", Kind: "k", Tasks: make([]api.Task, n)}
	for i := range job.Tasks {
		job.Tasks[i] = api.Task{RunMS: runTime.Milliseconds(), Payload: []byte(fmt.Sprint(i))}
	}
	return startedAttempts(s.Apply(now, Submit{ID: tk.ID(), Ticket: tk, Job: job}))
}

func startedAttempts(effects []Effect) []StartAttempt {
	var attempts []StartAttempt
	for _, e := range effects {
		if a, ok := e.(StartAttempt); ok {
			attempts = append(attempts, a)
		}
	}
	return attempts
}

func completeAttempt(s *State, now time.Duration, a StartAttempt, serviceTime time.Duration) []StartAttempt {
	return startedAttempts(s.Apply(now, AttemptEnded{Task: a.Task, Attempt: a.Attempt, Outcome: AttemptCompleted, Result: []byte("1"), ServiceTime: serviceTime, ReportedLoad: 0}))
}

// Guards against short jobs that wait for all tasks of a long job, and against a long job that
// starves while short jobs keep arriving.
func TestShortJobsPassLongJobWithoutStarvation(t *testing.T) {
	s := newQueueState(1, 0)
	const long, short = 2 * time.Second, 100 * time.Millisecond
	running := submitTasks(s, 0, 3, long)[0]
	longID := running.Task.Ticket
	submitTasks(s, time.Millisecond, 1, short)
	started := completeAttempt(s, long, running, long)
	if len(started) != 1 || started[0].Task.Ticket == longID {
		t.Fatal("the short job does not go first")
	}
	now := long
	for range 200 {
		now += short
		submitTasks(s, now-short/2, 1, short)
		if started = completeAttempt(s, now, started[0], short); started[0].Task.Ticket == longID {
			return
		}
	}
	t.Errorf("the long job has got no slot until %v", now)
}

// Guards against a retry delay that has no effect, and against a refused task that waits for the
// next placement poll although its delay is shorter.
func TestRefusedTaskWaitsForRetryDelay(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 200 * time.Millisecond} {
		s := newQueueState(1, 0)
		s.policy = (&Policy{Kinds: s.policy.Kinds, Teams: s.policy.Teams, RetryDelay: delay}).withDefaults()
		s.Apply(0, EndpointsChanged{EntryHosts: 1, Endpoints: []place.Endpoint{{ID: "m", Group: "g", Slots: 1}, {ID: "n", Group: "g", Slots: 1}}})
		now := time.Second
		first := submitTasks(s, now, 1, time.Second)[0]
		retried := startedAttempts(s.Apply(now, AttemptEnded{Task: first.Task, Attempt: first.Attempt, Outcome: AttemptNotStarted, ReportedLoad: -1}))
		for len(retried) == 0 && now < 2*time.Second {
			now, _ = s.NextWake()
			retried = startedAttempts(s.Apply(now, Tick{}))
		}
		want := s.policy.RetryDelay
		if got := now - time.Second; got < want || got > want+placementPollInterval || (want < placementPollInterval && got != want) {
			t.Errorf("delay %v: the task was offered again after %v", want, got)
		}
	}
}

// Guards against a job that has more tasks in flight than the configured job window allows.
func TestJobWindowLimitsTasksInFlight(t *testing.T) {
	for _, c := range []struct {
		window float64
		want   int
	}{{0, 40}, {0.5, 20}, {0.01, minJobWindow}} {
		if n := len(submitTasks(newQueueState(64, c.window), 0, 40, time.Second)); n != c.want {
			t.Errorf("window %v: %d of 40 tasks were started, want %d", c.window, n, c.want)
		}
	}
}

// Guards against a window that has its full size at once, so that an endpoint that fails immediately
// costs a whole job, and against one that does not grow until tasks end.
func TestJobWindowDoublesEachStep(t *testing.T) {
	const step = 10 * time.Millisecond
	s := newQueueState(64, 1)
	s.policy.WindowStep = step
	total := len(submitTasks(s, time.Second, 40, time.Second))
	for i, want := range []int{minJobWindow, 2 * minJobWindow, 4 * minJobWindow, 40} {
		if total != want {
			t.Fatalf("%d tasks were started after %d steps, want %d", total, i, want)
		}
		if i < 3 {
			at, _ := s.NextWake()
			if at > time.Second+time.Duration(i+1)*step {
				t.Fatalf("the next wake-up is at %v, after the window doubles", at)
			}
			total += len(startedAttempts(s.Apply(at, Tick{})))
		}
	}
}
