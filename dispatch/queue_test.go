package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/place"
)

// queueState returns a state with the given slots at one endpoint.
func queueState(slots int, window float64) *State {
	s := New(Options{Host: "h", Incarnation: 1, Zone: "a", Seed: 1})
	s.Apply(0, PolicyChanged{Policy: &Policy{
		Kinds:     map[string]Kind{"k": {Group: "g", DefaultDeadline: 50 * time.Second}},
		Teams:     map[string]Team{"t": {Weight: 1}},
		JobWindow: window,
	}})
	s.Apply(0, EndpointsChanged{EntryHosts: 1, Endpoints: []place.Endpoint{{ID: "m", Group: "g", Zone: "a", Slots: slots}}})
	return s
}

// submitJob submits a job of n tasks with a declared run time and returns the started tasks.
func submitJob(s *State, now time.Duration, n int, run time.Duration) []StartAttempt {
	tk := s.Mint(now, 1, 10*time.Second, time.Minute)[0]
	job := &api.Job{Schema: api.Schema, Team: "t", Kind: "k", Tasks: make([]api.Task, n)}
	for i := range job.Tasks {
		job.Tasks[i] = api.Task{RunMS: run.Milliseconds(), Payload: []byte(fmt.Sprint(i))}
	}
	return starts(s.Apply(now, Submit{ID: tk.ID(), Ticket: tk, Job: job}))
}

func starts(effects []Effect) []StartAttempt {
	var out []StartAttempt
	for _, e := range effects {
		if a, ok := e.(StartAttempt); ok {
			out = append(out, a)
		}
	}
	return out
}

func complete(s *State, now time.Duration, a StartAttempt, took time.Duration) []StartAttempt {
	return starts(s.Apply(now, AttemptEnded{Task: a.Task, Attempt: a.Attempt, Outcome: AttemptCompleted, Result: []byte("1"), Service: took, Load: 0}))
}

// Guards against short jobs that wait for the whole of a long one, and against a long
// job that starves while short ones keep coming.
func TestShortJobsPassLongOnesWithoutStarvingThem(t *testing.T) {
	s := queueState(1, 0)
	const long, short = 2 * time.Second, 100 * time.Millisecond
	running := submitJob(s, 0, 3, long)[0]
	longID := running.Task.Ticket
	submitJob(s, time.Millisecond, 1, short)
	next := complete(s, long, running, long)
	if len(next) != 1 || next[0].Task.Ticket == longID {
		t.Fatal("the short job does not go first")
	}
	now := long
	for range 200 {
		now += short
		submitJob(s, now-short/2, 1, short)
		if next = complete(s, now, next[0], short); next[0].Task.Ticket == longID {
			return
		}
	}
	t.Errorf("the long job has got no slot until %v", now)
}

// Guards against a retry delay without effect, and against a refused task that waits for
// the next poll although its delay is shorter.
func TestRefusedTaskWaitsForTheRetryDelay(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 200 * time.Millisecond} {
		s := queueState(1, 0)
		s.policy = (&Policy{Kinds: s.policy.Kinds, Teams: s.policy.Teams, RetryDelay: delay}).withDefaults()
		s.Apply(0, EndpointsChanged{EntryHosts: 1, Endpoints: []place.Endpoint{{ID: "m", Group: "g", Slots: 1}, {ID: "n", Group: "g", Slots: 1}}})
		now := time.Second
		first := submitJob(s, now, 1, time.Second)[0]
		again := starts(s.Apply(now, AttemptEnded{Task: first.Task, Attempt: first.Attempt, Outcome: AttemptNotStarted, Load: -1}))
		for len(again) == 0 && now < 2*time.Second {
			now, _ = s.NextWake()
			again = starts(s.Apply(now, Tick{}))
		}
		want := s.policy.RetryDelay
		if got := now - time.Second; got < want || got > want+pollDelay || (want < pollDelay && got != want) {
			t.Errorf("delay %v: the task was offered again after %v", want, got)
		}
	}
}

// Guards against a job that has all its tasks in flight although messages matter.
func TestJobWindow(t *testing.T) {
	for _, c := range []struct {
		window float64
		want   int
	}{{0, 40}, {0.5, 20}, {0.01, minWindow}} {
		if n := len(submitJob(queueState(64, c.window), 0, 40, time.Second)); n != c.want {
			t.Errorf("window %v: %d of 40 tasks were started, want %d", c.window, n, c.want)
		}
	}
}

// Guards against a window that opens at once, so that an endpoint that fails at once costs
// a whole job, and against one that stays shut until tasks end.
func TestJobWindowDoubles(t *testing.T) {
	const step = 10 * time.Millisecond
	s := queueState(64, 1)
	s.policy.WindowStep = step
	total := len(submitJob(s, time.Second, 40, time.Second))
	for i, want := range []int{minWindow, 2 * minWindow, 4 * minWindow, 40} {
		if total != want {
			t.Fatalf("%d tasks were started after %d steps, want %d", total, i, want)
		}
		if i < 3 {
			at, _ := s.NextWake()
			if at > time.Second+time.Duration(i+1)*step {
				t.Fatalf("the next wake-up is at %v, after the window doubles", at)
			}
			total += len(starts(s.Apply(at, Tick{})))
		}
	}
}
