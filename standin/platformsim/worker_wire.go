package platformsim

import "encoding/json"

// Paths of the worker interface. All changes are POST requests.
const (
	PathLeases     = "/v1/leases"                               // POST LeaseRequest: grant or renew
	PathTasks      = "/v1/workers/{id}/tasks"                   // POST StartRequest
	PathTask       = "/v1/workers/{id}/tasks/{task}"            // GET: read a task back
	PathStop       = "/v1/workers/{id}/tasks/{task}/stop"       // POST
	PathThrottle   = "/v1/workers/{id}/tasks/{task}/throttle"   // POST ThrottleRequest
	PathCheckpoint = "/v1/workers/{id}/tasks/{task}/checkpoint" // POST
	PathUsage      = "/v1/usage"                                // GET: usage of every worker
	pathTasksAdmin = "/admin/tasks"                             // GET TaskTotals
)

// LeaseRequest grants the lease or renews it. A lease that lapsed is never granted
// again: the answer is 410, which fences a holder that was paused.
type LeaseRequest struct {
	Lease string `json:"lease"`
	TTLMS int    `json:"ttl_ms"`
}

// StartRequest starts a task. The answer is 201 with the TaskView, 200 if a task with
// this identity is known on the worker, 404 for an unknown worker, 409 if the task is
// known on another worker or too few accelerators are free, and 410 without a valid
// lease. Declared cores and memory are not enforced.
type StartRequest struct {
	Task         string      `json:"task"` // identity
	Lease        string      `json:"lease"`
	Cores        float64     `json:"cores"`
	MemoryMB     int64       `json:"memory_mb"`
	Accelerators int         `json:"accelerators,omitempty"`
	ResumeFrom   string      `json:"resume_from,omitempty"` // a task that was checkpointed
	Payload      TaskPayload `json:"payload"`
}

// TaskPayload is what the task really does, in contrast to what was declared.
type TaskPayload struct {
	RunMS    float64         `json:"run_ms"` // without throttling and contention
	Cores    float64         `json:"cores"`
	MemoryMB int64           `json:"memory_mb"`
	Fail     bool            `json:"fail,omitempty"`
	Echo     json.RawMessage `json:"echo,omitempty"` // the result
}

// ThrottleRequest sets the speed of a task.
type ThrottleRequest struct {
	Speed float64 `json:"speed"` // above 0, at most 1
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
	ProgressMS float64         `json:"progress_ms"` // of the payload's run_ms
	Result     json.RawMessage `json:"result,omitempty"`
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

// TaskUsage is the use of one task.
type TaskUsage struct {
	Task     string  `json:"task"`
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
}

// TaskTotals answers GET /admin/tasks.
type TaskTotals struct {
	StartMessages int               `json:"start_messages"`
	Starts        int               `json:"starts"`
	States        map[TaskState]int `json:"states"`
}
