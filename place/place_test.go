package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const group = "g"

func newTestSet(n int) *Set {
	s := NewSet(Options{Zone: "a", Seed: 1})
	s.SetHosts(1)
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(fmt.Sprintf("m%02d", i)), Group: group, Zone: "a", Slots: 8, Identity: "1"}
	}
	s.Update(list)
	return s
}

// completeAttempt starts and ends an attempt that took the given time at an endpoint without a queue.
func completeAttempt(s *Set, now time.Duration, id EndpointID, declared, took time.Duration) {
	s.Started(id)
	s.Ended(now, id, Sample{Kind: "k", DeclaredRunTime: declared, ServiceTime: took, Load: s.endpoints[id].outstanding - 1})
}

// Guards against learned speeds that follow single stragglers, and against learned speeds that
// stay at an old value after a minion has slowed down.
func TestSpeedIgnoresStragglersAndFollowsChanges(t *testing.T) {
	s := newTestSet(4)
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Duration(0)
	speed := []float64{1, 1, 1, 4}
	round := func(rounds int) {
		for range rounds {
			for i, v := range speed {
				now += 10 * time.Millisecond
				run := time.Duration(50+rng.IntN(250)) * time.Millisecond
				took := time.Duration(float64(run) / v)
				if rng.IntN(20) == 0 {
					took *= 20
				}
				completeAttempt(s, now, EndpointID(fmt.Sprintf("m%02d", i)), run, took)
			}
		}
	}
	round(60)
	ratio := func() float64 {
		return s.endpoints["m00"].speed.overallSlowness / s.endpoints["m03"].speed.overallSlowness
	}
	if r := ratio(); r < 3.5 || r > 4.5 {
		t.Errorf("the fast endpoint was learned as %.2f times faster, not 4", r)
	}
	speed[3] = 0.5
	round(14)
	if r := ratio(); r > 0.7 {
		t.Errorf("14 tasks after it became half as fast, the endpoint counts as %.2f times faster", r)
	}
}

// Guards against predictions from declared run times that are unrelated to the real ones.
func TestDeclaredRunTimesAreUsedOnlyIfTheyPredict(t *testing.T) {
	for _, reliable := range []bool{true, false} {
		s := newTestSet(1)
		rng := rand.New(rand.NewPCG(2, 2))
		for i := range 200 {
			run := time.Duration(100+rng.IntN(100)) * time.Millisecond
			declared := run
			if !reliable {
				declared = time.Duration(1+rng.IntN(5000)) * time.Millisecond
			}
			completeAttempt(s, time.Duration(i)*time.Second/10, "m00", declared, run)
		}
		long := s.modelFor("k").predict(5 * time.Second)
		if reliable != (long > time.Second) {
			t.Errorf("reliable %v: a task declared as 5 s is expected to take %v", reliable, long)
		}
	}
}

// Guards against an endpoint that fails every task immediately and attracts more because it
// always looks idle, and against the ejection of more endpoints than the bounded share.
func TestFailingEndpointsAreEjectedWithinTheBound(t *testing.T) {
	s := newTestSet(10)
	failing := func(id EndpointID) bool { return id < "m05" }
	now, failures := time.Duration(0), 0
	for range 2000 {
		now += time.Millisecond
		s.BeginRound()
		ep, choice := s.Pick(now, Task{Kind: "k", Group: group, DeclaredRunTime: 100 * time.Millisecond}, "")
		if choice != Start {
			t.Fatalf("no endpoint at %v: choice %d", now, choice)
		}
		s.Started(ep.ID)
		failed := failing(ep.ID)
		if failed {
			failures++
		}
		s.Ended(now, ep.ID, Sample{Kind: "k", Failed: failed, ServiceTime: 100 * time.Millisecond, Load: 0})
		ejectedCount := 0
		for _, st := range s.endpoints {
			if st.health.ejected(now) {
				ejectedCount++
			}
		}
		if ejectedCount > 3 {
			t.Fatalf("%d of 10 endpoints are ejected at once", ejectedCount)
		}
	}
	oneFailing := newTestSet(10)
	failures = 0
	for i := range 1000 {
		now = time.Duration(i) * time.Millisecond
		ep, _ := oneFailing.Pick(now, Task{Kind: "k", Group: group}, "")
		oneFailing.Started(ep.ID)
		if ep.ID == "m00" {
			failures++
		}
		oneFailing.Ended(now, ep.ID, Sample{Kind: "k", Failed: ep.ID == "m00", ServiceTime: 100 * time.Millisecond, Load: 0})
	}
	if failures > 10 {
		t.Errorf("the one failing endpoint of 10 got %d of 1000 tasks", failures)
	}
}

// Guards against a large job that runs into one failing endpoint after the other: once one was
// ejected, the others have to complete a task for a job with few started tasks first.
func TestEndpointsNeedASuccessAfterAnEjectionInTheGroup(t *testing.T) {
	s := newTestSet(4)
	completeAttempt(s, time.Second, "m00", time.Second, time.Second)
	s.Started("m00")
	s.Ended(2*time.Second, "m00", Sample{Kind: "k", Failed: true, DeclaredRunTime: time.Second, ServiceTime: time.Millisecond, Load: 0})
	pick := func(now time.Duration, started int) (EndpointID, Choice) {
		s.BeginRound()
		ep, choice := s.Pick(now, Task{Kind: "k", Group: group, Job: "j", JobTasks: 100, JobStarted: started}, "")
		return ep.ID, choice
	}
	now := 2*time.Second + time.Millisecond
	if _, choice := pick(now, maxProbeJobTasks); choice != Hold {
		t.Errorf("a job with tasks to lose got choice %d, want to be held", choice)
	}
	if _, choice := pick(now, maxProbeJobTasks-1); choice != Start {
		t.Errorf("a job with little to lose got choice %d, want a start", choice)
	}
	completeAttempt(s, now, "m02", time.Second, time.Second)
	if id, choice := pick(now, maxProbeJobTasks); choice != Start || id != "m02" {
		t.Errorf("after a success of m02 the choice is %s (%d)", id, choice)
	}
	if _, choice := pick(2*time.Second+confirmationPeriod, maxProbeJobTasks); choice != Start {
		t.Errorf("after the confirmation period the choice is %d, want a start", choice)
	}
}

// Guards against a job that spreads over many endpoints of unknown speed, as in a newly started
// daemon, and ends as late as the slowest of them.
func TestJobsDoNotSpreadOverUnknownEndpoints(t *testing.T) {
	s := newTestSet(50)
	used := make(map[EndpointID]bool)
	for i := range 24 {
		s.BeginRound()
		ep, _ := s.Pick(time.Second, Task{Kind: "k", Group: group, Job: "j", JobTasks: 24, JobStarted: i}, "")
		s.Started(ep.ID)
		used[ep.ID] = true
	}
	if len(used) > 6 {
		t.Errorf("24 tasks went to %d endpoints, none of them known", len(used))
	}
}

// Guards against a host that fills a minion beyond its slots while other hosts use it, and
// against a host that gets no slot because the others fill the minion.
func TestIdleSlotsAreUsedAndOwnShareIsKept(t *testing.T) {
	s := newTestSet(1)
	s.SetHosts(7)
	place := func(now time.Duration) int {
		s.BeginRound()
		for n := 0; ; n++ {
			ep, choice := s.Pick(now, Task{Kind: "k", Group: group, DeclaredRunTime: time.Second}, "")
			if choice != Start {
				return n
			}
			s.Started(ep.ID)
		}
	}
	if n := place(time.Second); n != 8 {
		t.Errorf("%d tasks were started at an idle minion with 8 slots", n)
	}
	for range 8 {
		s.Ended(2*time.Second, "m00", Sample{Kind: "k", Load: 16, ServiceTime: time.Second})
	}
	if n := place(2 * time.Second); n != 1 {
		t.Errorf("%d tasks were started at a full minion, want the share of 1", n)
	}
}

// Guards against tasks for a leaving endpoint, wrong counts of outstanding tasks, and placements
// that are not reproducible from the seed.
func TestPickInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		policy := Policy{Placement: rapid.SampledFrom(Placements).Draw(rt, "placement")}
		a, b := newTestSet(4), newTestSet(4)
		a.SetPolicy(policy)
		b.SetPolicy(policy)
		list := []Endpoint{}
		for _, st := range a.groups[group] {
			list = append(list, st.Endpoint)
		}
		list[0].Leaving = true
		a.Update(list)
		b.Update(list)
		var running []EndpointID
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond
			if len(running) > 0 && rapid.Bool().Draw(rt, "end") {
				sample := Sample{Kind: "k", Failed: rapid.Bool().Draw(rt, "failed"), Refused: rapid.Bool().Draw(rt, "refused"),
					ServiceTime: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "took")) * time.Millisecond, Load: rapid.IntRange(-1, 70).Draw(rt, "load")}
				a.Ended(now, running[0], sample)
				b.Ended(now, running[0], sample)
				running = running[1:]
				continue
			}
			task := Task{Kind: "k", Group: group, DeclaredRunTime: time.Duration(rapid.IntRange(0, 5000).Draw(rt, "run")) * time.Millisecond}
			a.BeginRound()
			b.BeginRound()
			ep, choice := a.Pick(now, task, "m01")
			if otherEndpoint, otherChoice := b.Pick(now, task, "m01"); otherEndpoint.ID != ep.ID || choice != otherChoice {
				rt.Fatalf("the same history led to %v/%d and %v/%d", ep.ID, choice, otherEndpoint.ID, otherChoice)
			}
			if choice != Start {
				continue
			}
			if ep.ID == "m00" {
				rt.Fatal("a leaving endpoint got a task")
			}
			a.Started(ep.ID)
			b.Started(ep.ID)
			running = append(running, ep.ID)
			if n := a.endpoints[ep.ID].outstanding; n > ep.Slots {
				rt.Fatalf("endpoint %s has %d outstanding tasks", ep.ID, n)
			}
		}
		total := 0
		for _, st := range a.endpoints {
			total += st.outstanding
		}
		if total != len(running) {
			rt.Fatalf("%d tasks are outstanding, counted %d", len(running), total)
		}
	})
}

// Guards against accepting a task that no endpoint is large enough for, and against refusing one
// because sizes are unknown or because the large endpoint is busy.
func TestFitsLargeEnoughEndpoint(t *testing.T) {
	s := NewSet(Options{})
	task := Task{Group: group, Size: Size{Cores: 8}}
	if !s.FitsAnyEndpoint(task) {
		t.Error("a task is refused for its size although no endpoint is known")
	}
	small := Endpoint{ID: "small", Group: group, Capacity: Size{Cores: 4, MemoryMB: 100}}
	s.Update([]Endpoint{small})
	if s.FitsAnyEndpoint(task) {
		t.Error("a task of 8 cores fits an endpoint of 4")
	}
	s.Update([]Endpoint{small, {ID: "large", Group: group, Capacity: Size{Cores: 64, MemoryMB: 100}}})
	s.Started("large")
	if !s.FitsAnyEndpoint(task) {
		t.Error("a task of 8 cores does not fit a busy endpoint of 64")
	}
}

// Guards against a task that spends all its attempts on an availability zone that is cut off,
// while endpoints of the local zone are free.
func TestPreferLocalAfterRefusal(t *testing.T) {
	s := NewSet(Options{Zone: "own", Seed: 1})
	list := []Endpoint{{ID: "own-1", Zone: "own", Group: "g", Slots: 8}}
	for i := range 20 {
		list = append(list, Endpoint{ID: EndpointID(fmt.Sprintf("far-%d", i)), Zone: "far", Group: "g", Slots: 8})
	}
	s.Update(list)
	// The local zone is slow, so that the task goes to the other zone first.
	for range 40 {
		s.Started("own-1")
		s.Ended(0, "own-1", Sample{Kind: "k", ServiceTime: 800 * time.Millisecond, Load: 0})
		s.Started("far-0")
		s.Ended(0, "far-0", Sample{Kind: "k", ServiceTime: 100 * time.Millisecond, Load: 0})
	}
	task := Task{Kind: "k", Group: "g"}
	s.BeginRound()
	if ep, _ := s.Pick(time.Second, task, ""); ep.Zone != "far" {
		t.Fatalf("the first choice is %s; the test needs it to be in the other zone", ep.ID)
	}
	task.PreferLocal = true
	if ep, choice := s.Pick(time.Second, task, ""); choice != Start || ep.Zone != "own" {
		t.Errorf("after a refusal the choice is %s (%d), want the local zone", ep.ID, choice)
	}
}
