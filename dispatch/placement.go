package dispatch

import (
	"fmt"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/place"
)

// placement chooses endpoints for the tasks of one sort of group, minions or workers,
// and is told of every attempt.
type placement interface {
	Update([]place.Endpoint)
	Pick(now time.Duration, task place.Task, avoid place.EndpointID) (place.Endpoint, bool)
	Started(place.EndpointID, place.Task)
	Ended(time.Duration, place.EndpointID, place.Task, place.Sample)
	Live(group string) int
	View() []place.EndpointView
	Len() int
}

// minionSet adapts place.Set, which needs no task to account for an attempt.
type minionSet struct{ *place.Set }

// Started implements placement.
func (m minionSet) Started(id place.EndpointID, _ place.Task) { m.Set.Started(id) }

// Ended implements placement.
func (m minionSet) Ended(now time.Duration, id place.EndpointID, _ place.Task, s place.Sample) {
	m.Set.Ended(now, id, s)
}

// placement returns what places the tasks of a kind.
func (s *State) placement(k Kind) placement {
	if k.Workers {
		return s.workers
	}
	return s.minions
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
	s.minions.Update(minions)
	s.workers.Update(workers)
}

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
	t := place.Task{Kind: j.kindName, Group: j.kind.Group, Job: string(j.id), Index: index}
	if index < len(j.specs) {
		spec := &j.specs[index]
		t.Run = time.Duration(spec.RunMS) * time.Millisecond
		t.Size = declaredSize(spec)
	}
	return t
}
