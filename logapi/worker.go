package logapi

import "encoding/json"

// Paths of the worker interface. The batch forms take operations of one holder on any
// number of workers in one message.
const (
	// PathLeases takes POST LeaseRequest: grants or renews a lease. 410 after a lapse.
	PathLeases = "/v1/leases"
	// PathEnded takes GET with query parameters after, limit and wait_ms, and answers
	// with an EndedReply.
	PathEnded = "/v1/leases/{lease}/ended"
	// PathStarts takes POST StartBatch and answers with a StartReply.
	PathStarts = "/v1/tasks/start"
	// PathReads takes POST TaskBatch and answers with a TaskReply.
	PathReads = "/v1/tasks/read"
	// PathStops takes POST TaskBatch and answers with a TaskReply.
	PathStops = "/v1/tasks/stop"
	// PathThrottles takes POST ThrottleBatch and answers with a TaskReply.
	PathThrottles = "/v1/tasks/throttle"
	// PathCheckpoints takes POST TaskBatch and answers with a TaskReply.
	PathCheckpoints = "/v1/tasks/checkpoint"
	// PathUsage takes GET and answers with the Usage of every worker.
	PathUsage = "/v1/usage"
)

// LeaseRequest grants the lease or renews it. A lease that lapsed is never granted
// again: the answer is 410, which fences a holder that was paused.
type LeaseRequest struct {
	Lease string `json:"lease"`
	TTLMS int    `json:"ttl_ms"`
}

// TaskID names a task on a worker.
type TaskID struct {
	Worker string `json:"worker"`
	Task   string `json:"task"` // identity, unique for good
}

// TaskStart starts a task. A known identity is not started again. Declared cores and
// memory are not enforced; accelerators are.
type TaskStart struct {
	TaskID
	Label        string          `json:"label,omitempty"` // returned in usage reports
	Cores        float64         `json:"cores"`
	MemoryMB     int64           `json:"memory_mb"`
	Accelerators int             `json:"accelerators,omitempty"`
	ResumeFrom   string          `json:"resume_from,omitempty"` // a task that was checkpointed
	Payload      json.RawMessage `json:"payload"`
}

// StartBatch starts tasks under a lease.
type StartBatch struct {
	Lease string      `json:"lease"`
	Tasks []TaskStart `json:"tasks"`
}

// TaskBatch names the tasks of an operation.
type TaskBatch struct {
	Tasks []TaskID `json:"tasks"`
}

// ThrottleBatch sets the speed of tasks.
type ThrottleBatch struct {
	Tasks []TaskSpeed `json:"tasks"`
}

// TaskSpeed is the share of its normal speed at which a task runs.
type TaskSpeed struct {
	TaskID
	Speed float64 `json:"speed"` // above 0, at most 1
}

// Refusal says why an operation on one task had no effect.
type Refusal string

// The refusals.
const (
	RefusedWorker       Refusal = "unknown_worker"
	RefusedTask         Refusal = "unknown_task"
	RefusedLease        Refusal = "lease_lapsed"
	RefusedOtherWorker  Refusal = "known_on_other_worker"
	RefusedAccelerators Refusal = "too_few_accelerators"
	RefusedNotRunning   Refusal = "not_running"
	RefusedCheckpoint   Refusal = "no_checkpoint"
)

// TaskAnswer is the answer to an operation on one task: a refusal, or the task as it is
// after the operation.
type TaskAnswer struct {
	Refused Refusal  `json:"refused,omitempty"`
	Task    TaskView `json:"task"`
}

// TaskReply answers a batch, in its order.
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
	TaskCheckpointed TaskState = "checkpointed"  // can be resumed under a new identity
	TaskLapsed       TaskState = "lapsed"        // stopped because its lease lapsed
	TaskOutOfMemory  TaskState = "out_of_memory" // killed because the worker's memory ran out
)

// TaskView describes a task.
type TaskView struct {
	Task       string          `json:"task"`
	Worker     string          `json:"worker"`
	Lease      string          `json:"lease"`
	State      TaskState       `json:"state"`
	Started    bool            `json:"started"` // false if it was stopped before a start arrived
	Speed      float64         `json:"speed"`
	ProgressMS float64         `json:"progress_ms"` // run time at full speed that is done
	Result     json.RawMessage `json:"result,omitempty"`
}

// EndedReply lists tasks of a lease in the order in which they ended.
type EndedReply struct {
	Next  int        `json:"next"` // position to ask for next
	Tasks []TaskView `json:"tasks"`
	// Lapsed says that the lease has lapsed: no more tasks of it run.
	Lapsed bool `json:"lapsed,omitempty"`
}

// Usage is the use of a worker's resources as it was AgeMS ago.
type Usage struct {
	Worker       string      `json:"worker"`
	AgeMS        int64       `json:"age_ms"`
	Cores        float64     `json:"cores"` // wanted by the tasks; may exceed the worker's
	MemoryMB     int64       `json:"memory_mb"`
	Accelerators int         `json:"accelerators"`
	Tasks        []TaskUsage `json:"tasks"`
}

// TaskUsage is the use of one task, with what its start declared.
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
