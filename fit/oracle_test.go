package fit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/place"
)

// oracle is a plain account of the open tasks and the reports.
type oracle struct {
	t       *rapid.T
	set     *Set
	now     time.Duration
	list    []place.Endpoint
	open    []oracleTask
	foreign map[place.EndpointID]load
	next    int
}

type oracleTask struct {
	task place.Task
	on   place.EndpointID
	load load
}

// need is the declared size times the correction, at most the usable part of the worker.
func (o *oracle) need(w place.Endpoint, task place.Task) load {
	cores, memory := o.set.Correction(task.Kind)
	return load{
		cores:        min(task.Size.Cores*cores, w.Capacity.Cores*0.9),
		memoryMB:     min(float64(task.Size.MemoryMB)*memory, float64(w.Capacity.MemoryMB)*0.8),
		accelerators: task.Size.Accelerators,
	}
}

// fits decides from the account whether a worker has room.
func (o *oracle) fits(w place.Endpoint, task place.Task) bool {
	total, alone := o.need(w, task).plus(o.foreign[w.ID]), true
	for _, t := range o.open {
		if t.on == w.ID {
			total.add(t.load)
			alone = false
		}
	}
	most := load{cores: w.Capacity.Cores, memoryMB: float64(w.Capacity.MemoryMB), accelerators: w.Capacity.Accelerators}
	usable := load{cores: most.cores * 0.9, memoryMB: most.memoryMB * 0.8, accelerators: most.accelerators}
	return declared(task.Size).within(most) && (total.within(usable) || alone && total.within(most))
}

func (o *oracle) start(t *rapid.T) {
	task := place.Task{
		Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"), Group: "g", Job: fmt.Sprint("j", rapid.IntRange(0, 3).Draw(t, "job")), Index: o.next,
		Size: place.Size{
			Cores:        rapid.Float64Range(0.1, 20).Draw(t, "cores"),
			MemoryMB:     rapid.Int64Range(1, 40<<10).Draw(t, "memory"),
			Accelerators: rapid.IntRange(0, 3).Draw(t, "accelerators"),
		},
	}
	o.next++
	ep, choice := o.set.Pick(o.now, task, "")
	if choice != place.Start {
		o.checkNoRoom(task)
		return
	}
	if !o.fits(ep, task) {
		o.t.Fatalf("%s was chosen for %+v without room", ep.ID, task.Size)
	}
	o.open = append(o.open, oracleTask{task, ep.ID, o.need(ep, task)})
	o.set.Started(ep.ID, task)
}

// checkNoRoom allows for the one worker that is kept free for another task.
func (o *oracle) checkNoRoom(task place.Task) {
	for _, w := range o.list {
		if o.fits(w, task) && o.set.workers[w.ID].heldFor == nil {
			o.t.Fatalf("%+v was not placed although %s has room", task.Size, w.ID)
		}
	}
	held := 0
	for _, w := range o.set.workers {
		if w.heldFor != nil {
			held++
		}
	}
	if held > 1 {
		o.t.Fatalf("%d workers are kept free", held)
	}
	if possible := task.Size.Cores <= 16 && task.Size.MemoryMB <= 32<<10 && task.Size.Accelerators <= 2; possible != o.set.CanEverHold("g", task.Size) {
		o.t.Fatalf("CanEverHold(%+v) is %v", task.Size, !possible)
	}
}

func (o *oracle) end(t *rapid.T) {
	if len(o.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.open)-1).Draw(t, "ended")
	o.set.Ended(o.now, o.open[i].on, o.open[i].task, place.Sample{})
	o.open = append(o.open[:i], o.open[i+1:]...)
}

// report shows each own task at a multiple of its declared size, and some foreign load.
func (o *oracle) report(t *rapid.T) {
	w := rapid.SampledFrom(o.list).Draw(t, "worker").ID
	usage := Usage{Worker: w}
	for i := range o.open {
		if o.open[i].on != w {
			continue
		}
		task, ratio := o.open[i].task, rapid.Float64Range(0.25, 4).Draw(t, "ratio")
		used := place.Size{Cores: task.Size.Cores * ratio, MemoryMB: int64(float64(task.Size.MemoryMB) * ratio), Accelerators: task.Size.Accelerators}
		usage.Tasks = append(usage.Tasks, TaskUsage{Own: true, Job: task.Job, Index: task.Index, Kind: task.Kind, Speed: 1, Declared: task.Size, Used: used})
		o.open[i].load = load{cores: used.Cores, memoryMB: float64(used.MemoryMB), accelerators: used.Accelerators}
	}
	other := place.Size{Cores: rapid.Float64Range(0, 8).Draw(t, "foreign")}
	usage.Tasks = append(usage.Tasks, TaskUsage{Kind: "c", Speed: 1, Used: other})
	o.foreign[w] = load{cores: other.Cores}
	o.set.Report(o.now, []Usage{usage})
}

func (o *oracle) pass(t *rapid.T) {
	o.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
}

// relist replaces the list by the same one, as a change elsewhere in it does.
func (o *oracle) relist(*rapid.T) { o.set.Update(o.list) }

// Guards against placement beyond the capacity that is left after corrections and
// headroom, and against tasks left waiting although a worker has room.
func TestPlacementAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{t: t, set: newTestSet(0, 0), list: makeWorkers(6, 2), foreign: make(map[place.EndpointID]load)}
		o.set.Update(o.list)
		t.Repeat(map[string]func(*rapid.T){
			"start": o.start, "start2": o.start, "start3": o.start,
			"end": o.end, "report": o.report, "pass": o.pass, "relist": o.relist,
		})
	})
}
