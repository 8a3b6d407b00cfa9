package dispatch

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/limit"
	"sesameledge.dev/sesameledge/place"
)

const (
	// targetSlowdown is the ratio of a job's target response time to its ideal one. The queue is
	// ordered by the resulting target ends, so short jobs pass long ones. A long job is passed only
	// by jobs that arrive before its own target end, so it does not starve.
	targetSlowdown = 2
	// placementPollInterval is the delay before waiting tasks are tried again. Slots that other
	// hosts free become visible only with time.
	placementPollInterval = 10 * time.Millisecond
)

// queueTargetEnd returns the time at which a job should have ended. The queue is ordered by it.
func queueTargetEnd(now time.Duration, estimate place.Estimate, deadline time.Duration) time.Duration {
	return min(now+targetSlowdown*estimate.IdealResponseTime, deadline)
}

// enqueue inserts a job with waiting tasks into the queue by its target end.
func (s *State) enqueue(j *job) {
	index, _ := slices.BinarySearchFunc(s.queue, j.targetEnd, func(other *job, targetEnd time.Duration) int {
		if other.targetEnd <= targetEnd {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, index, j)
}

// sortWaiting orders the job's waiting tasks by declared run time, longest first, since the job
// ends only with its last task.
func (j *job) sortWaiting() {
	slices.SortStableFunc(j.waiting, func(a, b int) int {
		return int(j.taskSpecs[b].RunMS - j.taskSpecs[a].RunMS)
	})
}

// describeTasks describes the tasks of a submission for package place.
func describeTasks(job *api.Job, kind Kind) []place.Task {
	out := make([]place.Task, len(job.Tasks))
	for i := range job.Tasks {
		out[i] = describeTask(job.Kind, kind, &job.Tasks[i])
	}
	return out
}

// describeTask describes a task by its kind and the values that the submission declares.
func describeTask(kindName string, kind Kind, spec *api.Task) place.Task {
	return place.Task{
		Kind:            kindName,
		Group:           kind.Group,
		DeclaredRunTime: time.Duration(spec.RunMS) * time.Millisecond,
		Size:            place.Size{Cores: spec.Cores, MemoryMB: spec.MemoryMB, Accelerators: spec.Accelerators},
	}
}

// checkLimits returns the reason to refuse a job because of its team's quota, because of load or
// because a task is too large for every minion of the group, or nil.
func (s *State) checkLimits(now time.Duration, job *api.Job, kind Kind, deadline time.Duration) *api.Error {
	tasks := describeTasks(job, kind)
	for i := range tasks {
		if !kind.Workers && !s.endpoints.FitsAnyEndpoint(tasks[i]) {
			return api.Errorf(api.CodeNeverFits, "tasks", "task %d is larger than any endpoint of group %s", i, kind.Group)
		}
	}
	estimate := s.endpoints.Estimate(tasks)
	s.limiter.SetCapacity(kind.Group, s.placement(kind).Capacity(kind.Group))
	limitJob := limit.Job{
		Team: job.Team, Group: kind.Group, Tasks: len(job.Tasks), OpenTasks: s.teamOpenTasks[job.Team],
		Work: estimate.Work, IdealResponseTime: estimate.IdealResponseTime, Deadline: deadline,
	}
	end := queueTargetEnd(now, estimate, now+deadline)
	for _, other := range s.queue {
		if other.targetEnd > end {
			break
		}
		if other.ended() || other.kind.Group != kind.Group {
			continue
		}
		limitJob.WorkAhead += other.waitingWork()
		if other.team == job.Team {
			limitJob.TeamWorkAhead += other.waitingWork()
		}
	}
	if refusal, refused := s.limiter.Admit(now, limitJob); refused {
		return api.Errorf(refusalCodes[refusal.Cause], refusalFields[refusal.Cause], "%s", refusal.Message)
	}
	return nil
}

var refusalCodes = map[limit.Cause]api.Code{
	limit.Quota:    api.CodeQuota,
	limit.Overload: api.CodeOverloaded,
	limit.TooLate:  api.CodeTooLate,
}

var refusalFields = map[limit.Cause]string{
	limit.Quota:   "team",
	limit.TooLate: "deadline_ms",
}

// taskWork returns the estimated slot time of one of the job's tasks, on average.
func (j *job) taskWork() time.Duration { return j.estimate.Work / time.Duration(len(j.tasks)) }

// waitingWork returns the estimated slot time of the job's waiting tasks.
func (j *job) waitingWork() time.Duration { return time.Duration(len(j.waiting)) * j.taskWork() }

// declaredRun returns the declared run time of a task, or 0 once the job has ended.
func (j *job) declaredRun(index int) time.Duration {
	if j.taskSpecs == nil {
		return 0
	}
	return time.Duration(j.taskSpecs[index].RunMS) * time.Millisecond
}
