package dispatch

import (
	"fmt"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/fit"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// placement chooses endpoints for tasks. One implementation serves groups of minions, the other
// groups of workers. It is informed of the start and the end of each attempt.
type placement interface {
	Pick(now time.Duration, task place.Task, avoid place.EndpointID) (place.Endpoint, place.Choice)
	Started(place.EndpointID, place.Task)
	Ended(time.Duration, place.EndpointID, place.Task, place.Sample)
	// Live returns the number of a group's endpoints that accept new tasks.
	Live(group string) int
	// Capacity returns how many tasks of the usual size a group runs at a time.
	Capacity(group string) float64
}

// minionPlacement adapts place.Set, which counts attempts by endpoint and ignores their task.
type minionPlacement struct{ *place.Set }

// Started implements placement.
func (m minionPlacement) Started(id place.EndpointID, _ place.Task) { m.Set.Started(id) }

// Ended implements placement.
func (m minionPlacement) Ended(now time.Duration, id place.EndpointID, _ place.Task, s place.Sample) {
	m.Set.Ended(now, id, s)
}

// workerPlacement is a fit.Set that also passes the run times of completed tasks to the place.Set,
// which predicts the run times of kinds for all groups.
type workerPlacement struct {
	*fit.Set
	runTimes *place.Set
}

// Ended implements placement.
func (w workerPlacement) Ended(now time.Duration, id place.EndpointID, t place.Task, s place.Sample) {
	w.Set.Ended(now, id, t, s)
	if !s.Failed && !s.Refused && !s.Blameless && !s.Cancelled {
		w.runTimes.LearnRunTime(s.Kind, s.DeclaredRunTime, s.ServiceTime)
	}
}

// placement returns the placement for the tasks of a kind.
func (s *State) placement(k Kind) placement {
	if k.Workers {
		return workerPlacement{s.workers, s.endpoints}
	}
	return minionPlacement{s.endpoints}
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

// emitWorkerRelief emits the effect that throttles or stops tasks on overloaded workers.
func (s *State) emitWorkerRelief(relief fit.Relief) {
	if relief.Empty() {
		return
	}
	var effect ReduceWorkerLoad
	for _, t := range relief.Throttle {
		effect.Throttle = append(effect.Throttle, TaskSpeed{Task: toTaskRef(t.TaskRef), Speed: t.Speed})
	}
	for _, t := range relief.Stop {
		effect.Stop = append(effect.Stop, toTaskRef(t))
	}
	s.emit(effect)
}

func toTaskRef(t fit.TaskRef) TaskRef { return TaskRef{Ticket: ticket.ID(t.Job), Index: t.Index} }

// maxBlockedWorkerJobs is how many jobs of a worker group may find no endpoint before the rest of
// the group's jobs in the queue are skipped. Tasks of workers differ in size, so the task of a
// later job may fit where a large task does not. Package fit reserves capacity for the task that
// has waited longest.
const maxBlockedWorkerJobs = 4

// maxBlockedJobs returns how many jobs have to find no endpoint before their group counts as full.
func (k Kind) maxBlockedJobs() int {
	if k.Workers {
		return maxBlockedWorkerJobs
	}
	return 1
}

// mayRetry reports whether a refused task of the job may be sent again. The limiter's retry budget
// applies to refusals by minions only. A task of a worker is sent again only after the platform
// has answered that its start is blocked, so an outage delays retries and adds none. With a budget
// of 5%, most tasks of an outage waited until their deadline.
func (s *State) mayRetry(j *job) bool { return j.kind.Workers || s.limiter.TakeRetryToken() }

// checkWorkerSizes returns the reason to refuse a job if one of its tasks is larger than any worker
// of the kind's group, or nil. It returns nil for kinds that run on minions; checkLimits checks
// these.
func (s *State) checkWorkerSizes(kind Kind, tasks []api.Task) *api.Error {
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

// placementTask describes a task for the placement. Once the job has ended, the declared run time
// and size are no longer known; the placement identifies the attempt by job and index then.
func (j *job) placementTask(index int) place.Task {
	t := place.Task{Kind: j.kindName, Group: j.kind.Group}
	if j.taskSpecs != nil {
		t = describeTask(j.kindName, j.kind, &j.taskSpecs[index])
		t.Size = declaredSize(&j.taskSpecs[index])
	}
	t.ExpectedJobEnd, t.Job, t.Index, t.JobTasks = j.expectedEnd, string(j.id), index, len(j.tasks)
	t.JobStarted = j.attemptsMade
	t.PreferLocal = j.tasks[index].preferLocal
	return t
}
