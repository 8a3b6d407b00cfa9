package fit

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/place"
)

// newLoadedWorker returns a set with one worker of 16 cores and 32 GB that runs 4 own tasks, and a
// function that reports them with the given usage, as sampled at a time.
func newLoadedWorker(cores float64, memoryMB int64) (*Set, func(now, sampled time.Duration) Relief) {
	s := newTestSet(1, 0)
	for i := range 4 {
		s.Started("w00", testTask("job", i, 1, 0))
	}
	return s, func(now, sampled time.Duration) Relief {
		u := WorkerUsage{Worker: "w00", SampleAge: now - sampled}
		for i := range 4 {
			u.Tasks = append(u.Tasks, TaskUsage{ID: fmt.Sprint(i), Own: true, Job: "job", Index: i, Kind: "k", Speed: 1,
				Declared: place.Size{Cores: 1, MemoryMB: 100}, Used: place.Size{Cores: cores, MemoryMB: memoryMB + int64(i)}})
		}
		return s.Report(now, []WorkerUsage{u})
	}
}

// Guards against throttling again before a report can show the effect of the last time, which
// would cost messages and slow tasks down twice.
func TestTasksAboveTheirDeclarationAreThrottledOncePerSample(t *testing.T) {
	_, report := newLoadedWorker(8, 100)
	first := report(5*time.Second, 3*time.Second)
	if len(first.Throttle) != 4 || first.Throttle[0].Speed != 0.5 || len(first.Stop) != 0 {
		t.Fatalf("actions for 32 used cores of 16: %+v", first)
	}
	if again := report(6*time.Second, 4*time.Second); !again.Empty() {
		t.Errorf("actions for a sample older than the last action: %+v", again)
	}
	if later := report(8*time.Second, 6*time.Second); len(later.Throttle) != 4 {
		t.Errorf("no action although the first had no effect: %+v", later)
	}
	if _, reportNotOverloaded := newLoadedWorker(4, 100); !func() bool { r := reportNotOverloaded(time.Second, 0); return r.Empty() }() {
		t.Error("actions for a worker whose tasks use no more cores than it has")
	}
}

// Guards against a stop because of a single peak, of several tasks at once, and of a task of
// another host.
func TestOneTaskIsStoppedWhenMemoryStaysUsedUp(t *testing.T) {
	s, report := newLoadedWorker(1, 8<<10)
	if r := report(2*time.Second, time.Second); !r.Empty() {
		t.Errorf("actions after one sample: %+v", r)
	}
	if r := report(3*time.Second, 2*time.Second); len(r.Stop) != 1 || r.Stop[0].Index != 3 {
		t.Errorf("actions after two samples: %+v; want the task that exceeds its declaration most", r)
	}
	foreign := WorkerUsage{Worker: "w00", Tasks: []TaskUsage{
		{ID: "x", Kind: "k", Speed: 1, Declared: place.Size{Cores: 1, MemoryMB: 100}, Used: place.Size{Cores: 1, MemoryMB: 32 << 10}},
		{ID: "y", Own: true, Job: "job", Kind: "k", Speed: 1, Declared: place.Size{Cores: 1, MemoryMB: 100}, Used: place.Size{Cores: 1, MemoryMB: 200}},
	}}
	for i := range 3 {
		if r := s.Report(time.Duration(10+i)*time.Second, []WorkerUsage{foreign}); !r.Empty() {
			t.Errorf("actions although another host's task exceeds its declaration most: %+v", r)
		}
	}
}

// Guards against tasks that stay throttled after the overload has ended.
func TestThrottledTasksAreRestored(t *testing.T) {
	s, _ := newLoadedWorker(1, 100)
	u := WorkerUsage{Worker: "w00", Tasks: []TaskUsage{{ID: "0", Own: true, Job: "job", Kind: "k", Speed: 0.25,
		Declared: place.Size{Cores: 1, MemoryMB: 100}, Used: place.Size{Cores: 1, MemoryMB: 100}}}}
	if r := s.Report(time.Second, []WorkerUsage{u}); len(r.Throttle) != 1 || r.Throttle[0].Speed != 1 {
		t.Errorf("actions for a worker with 15 free cores: %+v", r)
	}
}
