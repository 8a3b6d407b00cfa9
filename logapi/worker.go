package logapi

import "encoding/json"

// Paths of the worker interface. A batch holds operations of one lease holder, on any number of workers.
const (
	// PathLeases takes POST LeaseRequest, which grants or renews a lease. The status is 410 if the lease has
	// lapsed.
	PathLeases = "/v1/leases"
	// PathEndedTasks takes GET with query parameters after, limit and wait_ms, and answers
	// with an EndedTasksReply.
	PathEndedTasks = "/v1/leases/{lease}/ended"
	// PathStartTasks takes POST StartBatch and answers with a StartReply.
	PathStartTasks = "/v1/tasks/start"
	// PathReadTasks takes POST TaskBatch and answers with a TaskReply.
	PathReadTasks = "/v1/tasks/read"
	// PathStopTasks takes POST TaskBatch and answers with a TaskReply.
	PathStopTasks = "/v1/tasks/stop"
	// PathThrottleTasks takes POST ThrottleBatch and answers with a TaskReply.
	PathThrottleTasks = "/v1/tasks/throttle"
	// PathCheckpointTasks takes POST TaskBatch and answers with a TaskReply.
	PathCheckpointTasks = "/v1/tasks/checkpoint"
	// PathUsage takes GET and answers with the Usage of every worker.
	PathUsage = "/v1/usage"
)

// LeaseRequest asks the platform to grant or renew a lease. A lapsed lease is never granted again: the
// answer is 410, so a holder that was paused for longer than its lease cannot go on.
type LeaseRequest struct {
	Lease string `json:"lease"`
	TTLMS int    `json:"ttl_ms"`
}

// TaskID identifies a task on a worker.
type TaskID struct {
	Worker string `json:"worker"`
	Task   string `json:"task"` // unique, and never used again
}

// TaskStart starts a task. The platform does not start a task again whose ID it knows. It enforces the
// declared accelerators, but not the declared cores and memory.
type TaskStart struct {
	TaskID
	Label        string          `json:"label,omitempty"` // returned in usage reports
	Cores        float64         `json:"cores"`
	MemoryMB     int64           `json:"memory_mb"`
	Accelerators int             `json:"accelerators,omitempty"`
	ResumeFrom   string          `json:"resume_from,omitempty"` // ID of a checkpointed task
	Payload      json.RawMessage `json:"payload"`
}

// StartBatch starts tasks under a lease.
type StartBatch struct {
	Lease string      `json:"lease"`
	Tasks []TaskStart `json:"tasks"`
}

// TaskBatch lists the tasks that an operation applies to.
type TaskBatch struct {
	Tasks []TaskID `json:"tasks"`
}

// ThrottleBatch sets the speed of tasks.
type ThrottleBatch struct {
	Tasks []TaskSpeed `json:"tasks"`
}

// TaskSpeed sets the speed of one task, as a fraction of its full speed.
type TaskSpeed struct {
	TaskID
	Speed float64 `json:"speed"` // above 0, at most 1
}

// Refusal is the reason why an operation on one task had no effect.
type Refusal string

// Reasons for a refusal.
const (
	RefusedUnknownWorker Refusal = "unknown_worker"
	RefusedUnknownTask   Refusal = "unknown_task"
	RefusedLeaseLapsed   Refusal = "lease_lapsed"
	RefusedOtherWorker   Refusal = "known_on_other_worker"
	RefusedAccelerators  Refusal = "too_few_accelerators"
	RefusedNotRunning    Refusal = "not_running"
	RefusedNoCheckpoint  Refusal = "no_checkpoint"
)

// TaskAnswer is the answer to an operation on one task: a refusal, or the task after the operation.
type TaskAnswer struct {
	Refused Refusal  `json:"refused,omitempty"`
	Task    TaskView `json:"task"`
}

// TaskReply answers a batch, with one answer for each operation in the same order.
type TaskReply struct {
	Answers []TaskAnswer `json:"answers"`
}

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task. Only a running task uses resources.
const (
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"       // on request
	TaskCheckpointed TaskState = "checkpointed"  // can be resumed by a task with a new ID
	TaskLapsed       TaskState = "lapsed"        // stopped because its lease lapsed
	TaskOutOfMemory  TaskState = "out_of_memory" // killed because the worker's memory ran out
)

// TaskView is the state of a task as the platform reports it.
type TaskView struct {
	Task       string          `json:"task"`
	Worker     string          `json:"worker"`
	Lease      string          `json:"lease"`
	State      TaskState       `json:"state"`
	Started    bool            `json:"started"` // false if it was stopped before a start arrived
	Speed      float64         `json:"speed"`
	ProgressMS float64         `json:"progress_ms"` // completed run time, as at full speed
	Result     json.RawMessage `json:"result,omitempty"`
}

// EndedTasksReply lists ended tasks of a lease in the order in which they ended.
type EndedTasksReply struct {
	Next  int        `json:"next"` // value of the query parameter after in the next request
	Tasks []TaskView `json:"tasks"`
	// Lapsed says that the lease has lapsed: none of its tasks runs any more.
	Lapsed bool `json:"lapsed,omitempty"`
}

// Usage is the resource usage of a worker AgeMS milliseconds ago.
type Usage struct {
	Worker       string      `json:"worker"`
	AgeMS        int64       `json:"age_ms"`
	Cores        float64     `json:"cores"` // demand of the tasks; may exceed the worker's cores
	MemoryMB     int64       `json:"memory_mb"`
	Accelerators int         `json:"accelerators"`
	Tasks        []TaskUsage `json:"tasks"`
}

// TaskUsage is the resource usage of one task, beside what its TaskStart declared.
type TaskUsage struct {
	Task             string  `json:"task"`
	Lease            string  `json:"lease"`
	Label            string  `json:"label,omitempty"`
	Speed            float64 `json:"speed"`
	Cores            float64 `json:"cores"`
	MemoryMB         int64   `json:"memory_mb"`
	Accelerators     int     `json:"accelerators,omitempty"`
	DeclaredCores    float64 `json:"declared_cores"`
	DeclaredMemoryMB int64   `json:"declared_memory_mb"`
}
