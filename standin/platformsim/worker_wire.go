package platformsim

import (
	"encoding/json"

	"sesameledge.dev/sesameledge/logapi"
)

const (
	pathTasksAdmin   = "/admin/tasks"   // GET TaskTotals
	pathWorkersAdmin = "/admin/workers" // POST WorkerFault
)

// TaskPayload is what a task really does, in contrast to what was declared.
type TaskPayload struct {
	RunMS    float64         `json:"run_ms"` // without throttling and contention
	Cores    float64         `json:"cores"`
	MemoryMB int64           `json:"memory_mb"`
	Fail     bool            `json:"fail,omitempty"`
	Echo     json.RawMessage `json:"echo,omitempty"` // the result
}

// TaskTotals answers GET /admin/tasks.
type TaskTotals struct {
	Messages map[string]int           `json:"messages"` // requests received by path
	Starts   int                      `json:"starts"`
	States   map[logapi.TaskState]int `json:"states"`
	// Repeated counts the tasks that started more than once, under any identity. An
	// identity is the task's name followed by a slash and the number of the attempt.
	Repeated int `json:"repeated"`
	// CoreMS, UsedCoreMS and WantedCoreMS sum up over the workers and the time what they
	// have, what their tasks were given, and what they wanted, in core milliseconds.
	CoreMS       float64 `json:"core_ms"`
	UsedCoreMS   float64 `json:"used_core_ms"`
	WantedCoreMS float64 `json:"wanted_core_ms"`
	// OverCoreMS is the part of WantedCoreMS beyond a worker's cores.
	OverCoreMS float64 `json:"over_core_ms"`
}

// WorkerFault changes how a worker behaves.
type WorkerFault struct {
	Worker  string `json:"worker"`
	FailAll bool   `json:"fail_all"` // every task fails when it starts
}
