package fit

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/place"
)

// makeWorkers returns n workers of 16 cores and 32 GB in racks of 4, in one zone.
func makeWorkers(n, accelerators int) []place.Endpoint {
	var list []place.Endpoint
	for i := range n {
		list = append(list, place.Endpoint{
			ID: place.EndpointID(fmt.Sprintf("w%02d", i)), Zone: "z", Group: "g", Worker: true, Rack: fmt.Sprintf("r%d", i/4),
			Capacity: place.Size{Cores: 16, MemoryMB: 32 << 10, Accelerators: accelerators},
		})
	}
	return list
}

func newTestSet(n, accelerators int) *Set {
	s := New(Options{Zone: "z", Seed: 1})
	s.Update(makeWorkers(n, accelerators))
	return s
}

func testTask(job string, index int, cores float64, accelerators int) place.Task {
	return place.Task{Kind: "k", Group: "g", Job: job, Index: index, Size: place.Size{Cores: cores, MemoryMB: 100, Accelerators: accelerators}}
}

// startTask picks a worker for a task, starts the task and returns the worker, or "" if none has
// room.
func startTask(s *Set, now time.Duration, task place.Task) place.EndpointID {
	ep, choice := s.Pick(now, task, "")
	if choice != place.Start {
		return ""
	}
	s.Started(ep.ID, task)
	return ep.ID
}

// Guards against a large task that never starts because small ones take every gap.
func TestLargeTaskDoesNotStarve(t *testing.T) {
	s := newTestSet(8, 0)
	type running struct {
		task   place.Task
		worker place.EndpointID
		end    time.Duration
	}
	var open []running
	large := testTask("large", 0, 14, 0)
	nextSmall := 0
	for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
		stillOpen := open[:0]
		for _, r := range open {
			if r.end <= now {
				s.Ended(now, r.worker, r.task, place.Sample{})
				continue
			}
			stillOpen = append(stillOpen, r)
		}
		open = stillOpen
		if now > time.Second && startTask(s, now, large) != "" {
			t.Logf("placed after %v", now-time.Second)
			return
		}
		for {
			task := testTask("small", nextSmall, 1, 0)
			worker := startTask(s, now, task)
			if worker == "" {
				break
			}
			nextSmall++
			open = append(open, running{task, worker, now + 300*time.Millisecond + time.Duration(nextSmall%50)*10*time.Millisecond})
		}
	}
	t.Error("the large task was not placed within 4 s")
}

// Guards against tasks with one accelerator that are scattered, so that no worker has room for a
// task that needs several.
func TestAcceleratorsArePacked(t *testing.T) {
	s := newTestSet(8, 4)
	used := make(map[place.EndpointID]int)
	for i := range 8 {
		used[startTask(s, 0, testTask(fmt.Sprint("job", i), 0, 1, 1))]++
	}
	if len(used) != 2 {
		t.Errorf("8 tasks with an accelerator each are on %v", used)
	}
	for i := range 6 {
		if startTask(s, 0, testTask(fmt.Sprint("wide", i), 0, 1, 4)) == "" {
			t.Errorf("no room for task %d that needs 4 accelerators", i)
		}
	}
	if worker := startTask(s, 0, testTask("more", 0, 1, 1)); worker != "" {
		t.Errorf("a 33rd accelerator was used on %s", worker)
	}
}

// Guards against a job that has most of its tasks in one rack.
func TestJobIsSpreadOverRacks(t *testing.T) {
	s := newTestSet(16, 0)
	racks := make(map[string]int)
	for i := range 32 {
		racks[s.workers[startTask(s, 0, testTask("job", i, 1, 0))].Rack]++
	}
	for rack, n := range racks {
		if n > 12 {
			t.Errorf("rack %s has %d of 32 tasks", rack, n)
		}
	}
	if len(racks) != 4 {
		t.Errorf("the job uses %d of 4 racks", len(racks))
	}
}

// Guards against further starts on a worker that fails every task, the exclusion of most of the
// group, and the return of an excluded worker at full load.
func TestFailingWorkersAreExcludedAndReturnSlowly(t *testing.T) {
	s := newTestSet(8, 0)
	failing := map[place.EndpointID]bool{"w00": true, "w01": true, "w02": true}
	lost := 0
	attempt := func(now time.Duration, n int, failingWorkers map[place.EndpointID]bool) place.EndpointID {
		task := testTask(fmt.Sprint("job", n), 0, 1, 0)
		worker := startTask(s, now, task)
		s.Ended(now, worker, task, place.Sample{Failed: failingWorkers[worker]})
		return worker
	}
	for n := range 2000 {
		if failing[attempt(time.Second, n, failing)] {
			lost++
		}
	}
	excluded := 0
	for id, w := range s.workers {
		if !w.health.excluded(time.Second) {
			continue
		}
		excluded++
		if !failing[id] {
			t.Errorf("healthy worker %s is excluded", id)
		}
	}
	if excluded != 2 {
		t.Errorf("%d of 8 workers are excluded; want 2, a quarter", excluded)
	}
	t.Logf("%d of 2000 jobs were lost with 3 of 8 workers failing; at most 2 may be excluded", lost)
	now := time.Second + minExclusion
	for n := range 12 {
		if s.workers["w00"].ownTasks > 1 {
			t.Fatal("a returning worker has more than one task before it succeeded")
		}
		startTask(s, now, testTask("return", n, 1, 0))
	}
}

// Guards against the final refusal of a task because of a momentary shortage, and against a job
// that waits although no worker could ever hold it.
func TestCanEverHoldIgnoresPresentLoad(t *testing.T) {
	s := newTestSet(2, 1)
	fits, huge := place.Size{Cores: 16, MemoryMB: 32 << 10, Accelerators: 1}, place.Size{Cores: 17}
	for i := range 100 {
		startTask(s, 0, testTask("fill", i, 1, 0))
	}
	s.Update(nil)
	if !s.CanEverHold("g", fits) || s.CanEverHold("g", huge) {
		t.Error("wrong answer after the workers filled up and left the list")
	}
}

// Guards against a zone preference that leaves other zones idle or has no effect.
func TestLocalZoneIsPreferredWithOverflow(t *testing.T) {
	s := New(Options{Zone: "z", Seed: 1})
	list := makeWorkers(8, 0)
	for i := range 4 {
		list[i].Zone = "other"
	}
	s.Update(list)
	placed := make(map[string]int)
	for i := range 96 {
		worker := startTask(s, 0, testTask(fmt.Sprint("job", i), 0, 1, 0))
		if worker == "" || i < 12 && s.workers[worker].Zone != "z" {
			t.Fatalf("task %d is on %q", i, worker)
		}
		placed[s.workers[worker].Zone]++
		if placed["other"] > placed["z"] {
			t.Fatalf("tasks by zone: %v", placed)
		}
	}
}

// Guards against hosts that fill the same free room before reports show each other's starts.
func TestHostsTogetherStayWithinCapacity(t *testing.T) {
	var sets []*Set
	for seed := range uint64(7) {
		s := New(Options{Zone: "z", Seed: seed})
		s.Update(makeWorkers(8, 0))
		s.SetHosts(7)
		sets = append(sets, s)
	}
	memory := make(map[place.EndpointID]int64)
	placed := 0
	for i := range 1000 {
		s := sets[i%7]
		task := testTask("job", i, 0.01, 0)
		task.Size.MemoryMB = 1 << 10
		if worker := startTask(s, 0, task); worker != "" {
			memory[worker] += task.Size.MemoryMB
			placed++
		}
	}
	for id, n := range memory {
		if n > 32<<10 {
			t.Errorf("7 hosts placed %d MB of 32 GB of %s", n, id)
		}
	}
	if placed < 40 {
		t.Errorf("only %d tasks of 1 GB, taken for 4, were placed on 256 GB", placed)
	}
}

// Guards against a correction that does not follow the usage of tasks.
func TestDeclaredSizesAreCorrected(t *testing.T) {
	s := newTestSet(1, 0)
	report := []WorkerUsage{{Worker: "w00"}}
	for i := range 200 {
		report[0].Tasks = []TaskUsage{{ID: fmt.Sprint(i), Own: true, Kind: "k", Speed: 1,
			Declared: place.Size{Cores: 1, MemoryMB: 100}, Used: place.Size{Cores: 4, MemoryMB: 25}}}
		s.Report(0, report)
	}
	cores, memory := s.Correction("k")
	if cores < 3.7 || cores > 4.5 || memory < 0.2 || memory > 0.5 {
		t.Errorf("corrections %.2f and %.2f; want about 4 and 0.25", cores, memory)
	}
	n := 0
	for startTask(s, 0, testTask("job", n, 1, 0)) != "" {
		n++
	}
	if n < 3 || n > 4 {
		t.Errorf("%d tasks that use 4 cores were placed on 16 cores", n)
	}
}
