package dispatch

import (
	"fmt"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/fit"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// placement chooses endpoints for the tasks of one sort of group, minions or workers,
// and is told of every attempt.
type placement interface {
	Pick(now time.Duration, task place.Task, avoid place.EndpointID) (place.Endpoint, place.Choice)
	Started(place.EndpointID, place.Task)
	Ended(time.Duration, place.EndpointID, place.Task, place.Sample)
	// Live is the number of a group's endpoints that take new work.
	Live(group string) int
	// Capacity is how many tasks of the usual size a group runs at a time.
	Capacity(group string) float64
}

// minionSet adapts place.Set, which needs no task to account for an attempt.
type minionSet struct{ *place.Set }

// Started implements placement.
func (m minionSet) Started(id place.EndpointID, _ place.Task) { m.Set.Started(id) }

// Ended implements placement.
func (m minionSet) Ended(now time.Duration, id place.EndpointID, _ place.Task, s place.Sample) {
	m.Set.Ended(now, id, s)
}

// workerSet is fit.Set; the run times of its kinds are predicted by place.Set.
type workerSet struct {
	*fit.Set
	estimates *place.Set
}

// Ended implements placement.
func (w workerSet) Ended(now time.Duration, id place.EndpointID, t place.Task, s place.Sample) {
	w.Set.Ended(now, id, t, s)
	if !s.Failed && !s.Refused && !s.Blameless && !s.Cancelled {
		w.estimates.LearnRun(s.Kind, s.Run, s.Service)
	}
}

// placement returns what places the tasks of a kind.
func (s *State) placement(k Kind) placement {
	if k.Workers {
		return workerSet{s.workers, s.endpoints}
	}
	return minionSet{s.endpoints}
}

func (s *State) updateEndpoints(list []place.Endpoint) {
	var minions, workers []place.Endpoint
	for _, ep := range list {
		if ep.Worker {
			workers = append(workers, ep)
			continue
		}
		minions = append(minions, ep)
	}
	s.endpoints.Update(minions)
	s.workers.Update(workers)
}

// relieve passes on what to do about workers under pressure.
func (s *State) relieve(r fit.Relief) {
	if r.Empty() {
		return
	}
	var e RelieveWorkers
	for _, t := range r.Throttle {
		e.Throttle = append(e.Throttle, TaskSpeed{Task: taskRef(t.TaskRef), Speed: t.Speed})
	}
	for _, t := range r.Stop {
		e.Stop = append(e.Stop, taskRef(t))
	}
	s.emit(e)
}

func taskRef(t fit.TaskRef) TaskRef { return TaskRef{Ticket: ticket.ID(t.Job), Index: t.Index} }

// maxBlockedWorkerJobs is how many jobs of a worker group may wait for room before the
// rest of the queue is not tried. Tasks of workers differ in size, so a job behind a
// large task may fit; package fit keeps room for the task that waits longest.
const maxBlockedWorkerJobs = 4

// mayBlock is how many jobs of the group have to find no endpoint for it to count as full.
func (k Kind) mayBlock() int {
	if k.Workers {
		return maxBlockedWorkerJobs
	}
	return 1
}

// mayRetry reports whether a refused task of the job may be sent again. The budget is for
// refusals by minions. A task of a worker is sent again only after the platform has
// answered that its start is blocked, so an outage delays retries and adds none; a budget
// of 5% kept most tasks of an outage waiting until their deadline.
func (s *State) mayRetry(j *job) bool { return j.kind.Workers || s.limiter.Retry() }

// neverFits returns the refusal of a job with a task that no worker could ever hold.
func (s *State) neverFits(kind Kind, tasks []api.Task) *api.Error {
	if !kind.Workers {
		return nil
	}
	for i := range tasks {
		if size := declaredSize(&tasks[i]); !s.workers.CanEverHold(kind.Group, size) {
			return api.Errorf(api.CodeNeverFits, fmt.Sprintf("tasks[%d]", i),
				"no worker of group %s has %g cores, %d MB and %d accelerators", kind.Group, size.Cores, size.MemoryMB, size.Accelerators)
		}
	}
	return nil
}

func declaredSize(t *api.Task) place.Size {
	return place.Size{Cores: t.Cores, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators}
}

// placeTask describes a task to placement. The declared values are gone once the job has
// ended; placement knows an attempt by its job and index then.
func (j *job) placeTask(index int) place.Task {
	t := place.Task{Kind: j.kindName, Group: j.kind.Group}
	if j.specs != nil {
		t = placeTask(j.kindName, j.kind, &j.specs[index])
		t.Size = declaredSize(&j.specs[index])
	}
	t.Ends, t.Job, t.Index, t.JobTasks = j.ends, string(j.id), index, len(j.tasks)
	t.JobStarted = j.started
	t.PreferLocal = j.tasks[index].preferLocal
	return t
}
