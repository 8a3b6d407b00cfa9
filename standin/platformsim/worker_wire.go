package platformsim

import (
	"encoding/json"

	"sesameledge.dev/sesameledge/logapi"
)

// Paths of the admin interface for the workers.
const (
	pathTasksAdmin   = "/admin/tasks"   // GET answers TaskTotals
	pathWorkersAdmin = "/admin/workers" // POST takes a WorkerFault
)

// TaskPayload defines what a task actually does and uses, in contrast to the resources declared in
// its start request.
type TaskPayload struct {
	RunMS    float64         `json:"run_ms"` // run time without throttling and contention, in milliseconds
	Cores    float64         `json:"cores"`
	MemoryMB int64           `json:"memory_mb"`
	Fail     bool            `json:"fail,omitempty"`
	Echo     json.RawMessage `json:"echo,omitempty"` // returned as the task's result
}

// TaskTotals is the answer to GET /admin/tasks: what the workers did since the Sim started.
type TaskTotals struct {
	RequestsByPath map[string]int           `json:"messages"` // requests to the worker interface by path
	Starts         int                      `json:"starts"`
	States         map[logapi.TaskState]int `json:"states"`
	// RepeatedTasks is the number of task names that were started more than once, in whatever attempt. A
	// task's identity is its name followed by a slash and the attempt number.
	RepeatedTasks int `json:"repeated"`
	// CoreMS, UsedCoreMS and DemandedCoreMS are the core time that the workers had, that their tasks
	// received and that their tasks demanded. They are sums over all workers and the elapsed time,
	// in core milliseconds.
	CoreMS         float64 `json:"core_ms"`
	UsedCoreMS     float64 `json:"used_core_ms"`
	DemandedCoreMS float64 `json:"wanted_core_ms"`
	// ExcessCoreMS is the part of DemandedCoreMS that exceeds the cores of the worker in question.
	ExcessCoreMS float64 `json:"over_core_ms"`
}

// WorkerFault is the body of a request that injects a fault into a worker, or removes it.
type WorkerFault struct {
	Worker  string `json:"worker"`
	FailAll bool   `json:"fail_all"` // every task fails when it starts
}
