package fleet

import "time"

const (
	// MaxJobTime limits the durations in jobs and routes.
	MaxJobTime = 24 * time.Hour
	// MaxSlackFactor limits the slack factor of a route. With MaxJobTime, objectives do not overflow.
	MaxSlackFactor = 10000
	// maxCPU limits the CPU that a task needs or that a worker has, in thousandths of a core: 1,000 cores.
	// The sum over the tasks of a job, times their duration in ms, does not overflow.
	maxCPU = 1_000_000
	// maxMemory (in MiB) and maxGPU limit the other resources in the same way.
	maxMemory = 1_000_000_000
	maxGPU    = 1_000_000
)

// Sane reports whether each amount is between 0 and what a machine can have.
func (r Resources) Sane() bool {
	return r.CPU >= 0 && r.CPU <= maxCPU && r.Memory >= 0 && r.Memory <= maxMemory && r.GPU >= 0 && r.GPU <= maxGPU
}
