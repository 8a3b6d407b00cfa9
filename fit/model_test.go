package fit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/place"
)

// placementModel is a simple model of the open tasks and the reported loads, with which the
// decisions of a Set are compared.
type placementModel struct {
	t          *rapid.T
	set        *Set
	now        time.Duration
	list       []place.Endpoint
	open       []modelTask
	othersLoad map[place.EndpointID]load
	nextIndex  int
}

type modelTask struct {
	task   place.Task
	worker place.EndpointID
	load   load
}

// allocation is the declared size times the correction, at most the usable part of the worker.
func (o *placementModel) allocation(w place.Endpoint, task place.Task) load {
	cores, memory := o.set.Correction(task.Kind)
	return load{
		cores:        min(task.Size.Cores*cores, w.Capacity.Cores*0.9),
		memoryMB:     min(float64(task.Size.MemoryMB)*memory, float64(w.Capacity.MemoryMB)*0.8),
		accelerators: task.Size.Accelerators,
	}
}

// fits decides from the model whether a worker has room.
func (o *placementModel) fits(w place.Endpoint, task place.Task) bool {
	total, noOwnTasks := o.allocation(w, task).plus(o.othersLoad[w.ID]), true
	for _, t := range o.open {
		if t.worker == w.ID {
			total.add(t.load)
			noOwnTasks = false
		}
	}
	capacity := load{cores: w.Capacity.Cores, memoryMB: float64(w.Capacity.MemoryMB), accelerators: w.Capacity.Accelerators}
	usable := load{cores: capacity.cores * 0.9, memoryMB: capacity.memoryMB * 0.8, accelerators: capacity.accelerators}
	return declaredLoad(task.Size).within(capacity) && (total.within(usable) || noOwnTasks && total.within(capacity))
}

func (o *placementModel) startRandomTask(t *rapid.T) {
	task := place.Task{
		Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"), Group: "g", Job: fmt.Sprint("j", rapid.IntRange(0, 3).Draw(t, "job")), Index: o.nextIndex,
		Size: place.Size{
			Cores:        rapid.Float64Range(0.1, 20).Draw(t, "cores"),
			MemoryMB:     rapid.Int64Range(1, 40<<10).Draw(t, "memory"),
			Accelerators: rapid.IntRange(0, 3).Draw(t, "accelerators"),
		},
	}
	o.nextIndex++
	ep, choice := o.set.Pick(o.now, task, "")
	if choice != place.Start {
		o.checkNoRoom(task)
		return
	}
	if !o.fits(ep, task) {
		o.t.Fatalf("%s was chosen for %+v without room", ep.ID, task.Size)
	}
	o.open = append(o.open, modelTask{task, ep.ID, o.allocation(ep, task)})
	o.set.Started(ep.ID, task)
}

// checkNoRoom checks that no worker has room for the task, except one that is reserved for
// another task.
func (o *placementModel) checkNoRoom(task place.Task) {
	for _, w := range o.list {
		if o.fits(w, task) && o.set.workers[w.ID].reservedFor == nil {
			o.t.Fatalf("%+v was not placed although %s has room", task.Size, w.ID)
		}
	}
	reserved := 0
	for _, w := range o.set.workers {
		if w.reservedFor != nil {
			reserved++
		}
	}
	if reserved > 1 {
		o.t.Fatalf("%d workers are reserved", reserved)
	}
	if possible := task.Size.Cores <= 16 && task.Size.MemoryMB <= 32<<10 && task.Size.Accelerators <= 2; possible != o.set.CanEverHold("g", task.Size) {
		o.t.Fatalf("CanEverHold(%+v) is %v", task.Size, !possible)
	}
}

func (o *placementModel) endRandomTask(t *rapid.T) {
	if len(o.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.open)-1).Draw(t, "ended")
	o.set.Ended(o.now, o.open[i].worker, o.open[i].task, place.Sample{})
	o.open = append(o.open[:i], o.open[i+1:]...)
}

// reportUsage reports each own task at a random multiple of its declared size, and some load of
// other hosts.
func (o *placementModel) reportUsage(t *rapid.T) {
	workerID := rapid.SampledFrom(o.list).Draw(t, "worker").ID
	usage := WorkerUsage{Worker: workerID}
	for i := range o.open {
		if o.open[i].worker != workerID {
			continue
		}
		task, ratio := o.open[i].task, rapid.Float64Range(0.25, 4).Draw(t, "ratio")
		used := place.Size{Cores: task.Size.Cores * ratio, MemoryMB: int64(float64(task.Size.MemoryMB) * ratio), Accelerators: task.Size.Accelerators}
		usage.Tasks = append(usage.Tasks, TaskUsage{Own: true, Job: task.Job, Index: task.Index, Kind: task.Kind, Speed: 1, Declared: task.Size, Used: used})
		o.open[i].load = load{cores: used.Cores, memoryMB: float64(used.MemoryMB), accelerators: used.Accelerators}
	}
	other := place.Size{Cores: rapid.Float64Range(0, 8).Draw(t, "foreign")}
	usage.Tasks = append(usage.Tasks, TaskUsage{Kind: "c", Speed: 1, Used: other})
	o.othersLoad[workerID] = load{cores: other.Cores}
	o.set.Report(o.now, []WorkerUsage{usage})
}

func (o *placementModel) advanceTime(t *rapid.T) {
	o.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
}

// updateSameList replaces the list by an equal one, as a change of another group's workers does.
func (o *placementModel) updateSameList(*rapid.T) { o.set.Update(o.list) }

// Guards against placement beyond the capacity that remains after corrections and headroom, and
// against tasks that wait although a worker has room.
func TestPlacementMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &placementModel{t: t, set: newTestSet(0, 0), list: makeWorkers(6, 2), othersLoad: make(map[place.EndpointID]load)}
		o.set.Update(o.list)
		t.Repeat(map[string]func(*rapid.T){
			"start": o.startRandomTask, "start2": o.startRandomTask, "start3": o.startRandomTask,
			"end": o.endRandomTask, "report": o.reportUsage, "pass": o.advanceTime, "relist": o.updateSameList,
		})
	})
}
