package sched

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// takenPool returns a scheduler that has begun to take two workers, and the holds that they have not
// answered.
func takenPool(policy Policy, now time.Duration) (*State, []HoldWorker) {
	s := New(0)
	s.SetPolicy(policy)
	capacity := fleet.Resources{CPU: 64000, Memory: 1000}
	s.Step(now, UpdateWorkers{Workers: []fleet.Worker{
		{ID: "w0", Service: "s", Zone: "z", Capacity: capacity}, {ID: "w1", Service: "s", Zone: "z", Capacity: capacity},
	}})
	for _, id := range []string{"w0", "w1"} {
		stepSeen(s, now, TakeWorker{Worker: id, Cell: "z", Fence: 1}, 0)
	}
	var holds []HoldWorker
	for _, e := range s.Ready() {
		if h, ok := e.(HoldWorker); ok {
			holds = append(holds, h)
		}
	}
	return s, holds
}

// shortJob returns a job with a slack of 90 ms, whose caller came the given time ago.
func shortJob(seq uint64, tasks int, age time.Duration) Submit {
	return Submit{Job: Job{
		Key: JobKey{Host: 1, Seq: seq}, Cell: "z", Age: age, Left: 3*time.Second - age,
		Spec:  fleet.JobSpec{ID: jobName(JobKey{Host: 1, Seq: seq}), Tasks: tasks, Need: fleet.Resources{CPU: 8000, Memory: 64}, Estimate: 50 * time.Millisecond},
		Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 2, SlackFactor: 1.6, ObjectiveOffset: 60 * time.Millisecond},
	}}
}

// outcomesAndStarts places tasks and returns the ends of jobs and the number of starts.
func outcomesAndStarts(s *State, now time.Duration) (finished []JobFinished, starts int) {
	s.Place(now)
	for _, e := range s.Ready() {
		switch e := e.(type) {
		case JobFinished:
			finished = append(finished, e)
		case StartRun:
			starts++
		}
	}
	return finished, starts
}

// TestJobsWaitForWorkersBeingTaken guards against refusing jobs that arrive between the take of a cell and
// the first answers of its workers, and against a host that shows such a cell as one without room.
func TestJobsWaitForWorkersBeingTaken(t *testing.T) {
	for _, policy := range []Policy{{}, {LookAhead: true}} {
		now := time.Minute
		s, holds := takenPool(policy, now)
		if l := s.Loads("z")["s"]; l.CapacityCPU != 128000 || l.FreeCPU != 128000 {
			t.Errorf("%+v: the load of the cell is %+v, want the room of both workers", policy, l)
		}
		stepSeen(s, now, shortJob(1, 8, 20*time.Millisecond), 0)
		if finished, starts := outcomesAndStarts(s, now); len(finished) != 0 || starts != 0 {
			t.Fatalf("%+v: %d starts and %+v before a worker has answered", policy, starts, finished)
		}
		now += 10 * time.Millisecond
		for _, h := range holds {
			s.Step(now, HoldReply{Worker: h.Worker.ID, Seq: h.Seq, Sent: time.Minute, Fence: 1, Reply: fleet.HoldReply{
				Reply: fleet.Reply{Verdict: fleet.Accepted, ClockMillis: 1000, ProcessStart: 1},
			}})
		}
		if finished, starts := outcomesAndStarts(s, now); len(finished) != 0 || starts != 0 {
			t.Errorf("%+v: %d starts and %+v beside runs that the workers may still be ending", policy, starts, finished)
		}
		now += settleTime
		stepSeen(s, now, Tick{}, 0)
		if finished, starts := outcomesAndStarts(s, now); len(finished) != 0 || starts != 8 {
			t.Errorf("%+v: %d starts and %+v, want 8 starts", policy, starts, finished)
		}
	}
}

// acceptTake answers the holds to workers that are being taken, with empty lists, and returns the time when
// they accept tasks.
func acceptTake(s *State, now time.Duration, holds []HoldWorker) time.Duration {
	for _, h := range holds {
		s.Step(now, HoldReply{Worker: h.Worker.ID, Seq: h.Seq, Sent: now, Fence: 1, Reply: fleet.HoldReply{
			Reply: fleet.Reply{Verdict: fleet.Accepted, ClockMillis: 1000, ProcessStart: 1},
		}})
	}
	stepSeen(s, now+settleTime, Tick{}, 0)
	return now + settleTime
}

// TestSilentWorkersDoNotCount guards against jobs that wait for workers that do not answer the take.
func TestSilentWorkersDoNotCount(t *testing.T) {
	now := time.Minute
	s, holds := takenPool(Policy{LookAhead: true}, now)
	now += 100 * time.Millisecond
	for _, h := range holds {
		stepSeen(s, now, HoldReply{Worker: h.Worker.ID, Seq: h.Seq, Sent: time.Minute, Fence: 1}, 0)
	}
	stepSeen(s, now, shortJob(1, 1, 0), 0)
	if finished, _ := outcomesAndStarts(s, now); len(finished) != 1 || finished[0].Outcome != Refused {
		t.Errorf("the job came to %+v, want refused", finished)
	}
}

// TestLateJobWithFreeWorkers guards against refusing jobs as overload while workers are idle. Jobs that
// waited for the cell of their zone come late, all at once.
func TestLateJobWithFreeWorkers(t *testing.T) {
	now := time.Minute
	s, holds := takenPool(Policy{LookAhead: true}, now)
	now = acceptTake(s, now, holds)
	stepSeen(s, now, shortJob(1, 4, 150*time.Millisecond), 0)
	stepSeen(s, now, shortJob(2, 4, 0), 0)
	stepSeen(s, now, shortJob(3, 40, 160*time.Millisecond), 0) // above what is free
	finished, starts := outcomesAndStarts(s, now)
	if len(finished) != 0 || starts != 8 {
		t.Errorf("%d starts and %+v just after the take, want those of the jobs that fit and nothing refused", starts, finished)
	}
	now += returnTime
	stepSeen(s, now, Tick{}, 0)
	if finished, _ = outcomesAndStarts(s, now); len(finished) != 1 || finished[0].Key.Seq != 3 || finished[0].Outcome != Refused {
		t.Errorf("%+v, want the third job refused when its answer is of no use any more", finished)
	}
	stepSeen(s, now, shortJob(4, 40, 160*time.Millisecond), 0)
	if finished, _ = outcomesAndStarts(s, now); len(finished) != 1 || finished[0].Key.Seq != 4 {
		t.Errorf("%+v later, want the late job without room refused", finished)
	}
}

// TestWorkerReleasedWhileBeingTakenGetsNoTasks guards against tasks on a worker whose runs under its former commander
// were not read, because the host lost the cell, or handed it over, while it was taking the worker. The two
// hosts would start more than the worker has room for.
func TestWorkerReleasedWhileBeingTakenGetsNoTasks(t *testing.T) {
	now := time.Minute
	s, holds := takenPool(Policy{}, now)
	now = acceptTake(s, now, holds)
	stepSeen(s, now, TakeWorker{Worker: "w1", Cell: "z", Fence: 2}, 0) // another host has had it meanwhile
	stepSeen(s, now, shortJob(1, 12, 0), 0)
	if _, starts := outcomesAndStarts(s, now); starts != 8 {
		t.Fatalf("%d tasks were started, want the 8 that the first worker has room for", starts)
	}
	s.CloseCell(now, "z")
	for _, id := range []string{"w0", "w1"} {
		stepSeen(s, now, ReleaseWorker{Worker: id}, 0)
	}
	stepSeen(s, now, UpdateWorkers{Workers: []fleet.Worker{s.workers["w0"].info, s.workers["w1"].info}}, 0) // leads to a placement
	s.Place(now)
	given := ""
	for _, e := range s.Ready() {
		switch e := e.(type) {
		case StartRun:
			t.Errorf("task %v was started on worker %s, whose runs are not known", e.Order.Run.Task, e.Worker.ID)
		case WorkerReleased:
			given += e.Worker
		}
	}
	if given != "w1" {
		t.Errorf("the workers %q were given up, want w1 alone, which has no runs", given)
	}
}
