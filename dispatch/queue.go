package dispatch

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/limit"
	"sesameledge.dev/sesameledge/place"
)

const (
	// stretchGoal places a job in the queue at the time when its response would be this
	// many times its ideal. Short jobs pass long ones; a long job is passed only by jobs
	// that arrive before its time, so none starves.
	stretchGoal = 2
	// pollDelay is the pause before held tasks are looked at again. Slots that other
	// hosts free up become visible only with time.
	pollDelay = 10 * time.Millisecond
)

// queueKey orders the queue: the time at which the job should be ended.
func queueKey(now time.Duration, e place.Estimate, deadline time.Duration) time.Duration {
	return min(now+stretchGoal*e.Ideal, deadline)
}

// enqueue inserts a job with waiting tasks by its key.
func (s *State) enqueue(j *job) {
	at, _ := slices.BinarySearchFunc(s.queue, j.key, func(other *job, key time.Duration) int {
		if other.key <= key {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, at, j)
}

// sortWaiting orders the job's waiting tasks longest first, since the job is as late as
// its last task.
func (j *job) sortWaiting() {
	slices.SortStableFunc(j.waiting, func(a, b int) int {
		return int(j.specs[b].RunMS - j.specs[a].RunMS)
	})
}

// placeTasks describes the tasks of a submission for package place.
func placeTasks(job *api.Job, kind Kind) []place.Task {
	out := make([]place.Task, len(job.Tasks))
	for i := range job.Tasks {
		out[i] = placeTask(job.Kind, kind, &job.Tasks[i])
	}
	return out
}

func placeTask(kindName string, kind Kind, spec *api.Task) place.Task {
	return place.Task{
		Kind:  kindName,
		Group: kind.Group,
		Run:   time.Duration(spec.RunMS) * time.Millisecond,
		Size:  place.Size{Cores: spec.Cores, MemoryMB: spec.MemoryMB, Accelerators: spec.Accelerators},
	}
}

// limits returns the reason to refuse a job because of load, or nil.
func (s *State) limits(now time.Duration, job *api.Job, kind Kind, deadline time.Duration) *api.Error {
	tasks := placeTasks(job, kind)
	for i := range tasks {
		if !kind.Workers && !s.endpoints.Fits(tasks[i]) {
			return api.Errorf(api.CodeNeverFits, "tasks", "task %d is larger than any endpoint of group %s", i, kind.Group)
		}
	}
	e := s.endpoints.Estimate(tasks)
	s.limiter.SetCapacity(kind.Group, s.placement(kind).Capacity(kind.Group))
	j := limit.Job{
		Team: job.Team, Group: kind.Group, Tasks: len(job.Tasks), Open: s.teamOpen[job.Team],
		Work: e.Work, Ideal: e.Ideal, Deadline: deadline,
	}
	key := queueKey(now, e, now+deadline)
	for _, other := range s.queue {
		if other.key > key {
			break
		}
		if other.ended() || other.kind.Group != kind.Group {
			continue
		}
		j.Ahead += other.waitingWork()
		if other.team == job.Team {
			j.AheadOwn += other.waitingWork()
		}
	}
	if refusal, refused := s.limiter.Admit(now, j); refused {
		return api.Errorf(limitCodes[refusal.Cause], limitFields[refusal.Cause], "%s", refusal.Message)
	}
	return nil
}

var limitCodes = map[limit.Cause]api.Code{
	limit.Quota:    api.CodeQuota,
	limit.Overload: api.CodeOverloaded,
	limit.TooLate:  api.CodeTooLate,
}

var limitFields = map[limit.Cause]string{
	limit.Quota:   "team",
	limit.TooLate: "deadline_ms",
}

// taskWork is the slot time that a task of the job takes on average.
func (j *job) taskWork() time.Duration { return j.estimate.Work / time.Duration(len(j.tasks)) }

func (j *job) waitingWork() time.Duration { return time.Duration(len(j.waiting)) * j.taskWork() }

// declaredRun is the declared run time of a task; 0 if it is not known any more.
func (j *job) declaredRun(index int) time.Duration {
	if j.specs == nil {
		return 0
	}
	return time.Duration(j.specs[index].RunMS) * time.Millisecond
}
