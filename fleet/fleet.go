// Package fleet defines the types that the packages of an entry host share: routes, jobs, workers,
// runs, and the calls to workers. They hold what the product needs to know, independent of any
// encoding. Package platform converts them from and to the formats of the users' platform.
package fleet

import (
	"strconv"
	"time"
)

// Config is the decoded configuration of an entry host.
type Config struct {
	Version  int64 // increases with each change, possibly by more than one
	Routes   []Route
	Services []Service
	Limits   RequestLimits
}

// Route assigns the jobs sent to a host name and path prefix to the workers of a service. A job's
// objective, the response time to aim at, is SlackFactor times the predicted duration of its longest
// task, plus ObjectiveOffset.
type Route struct {
	Name            string
	Host            string // value of the Host header, without port
	Prefix          string // ends with a slash
	Service         string
	Priority        int           // 0 is the highest
	MaxAttempts     int           // limit of the failed runs of one task
	SlackFactor     float64       // values below 1 count as 1
	ObjectiveOffset time.Duration // constant part of the objective
	Timeout         time.Duration // 0: none
	PolicyAdvised   bool          // an external policy restricts the workers on which each step may run
}

// Service is a pool of workers.
type Service struct {
	Name             string
	EnforcesCapacity bool // its workers refuse tasks that exceed their capacity
	Standby          bool // its machines are switched off
}

// RequestLimits limit the requests of callers.
type RequestLimits struct {
	BodyBytes     int64         // size of a request body
	HeaderBytes   int64         // size of a request header; 0: none. Hosts do not apply it
	HeaderTimeout time.Duration // to send a header; 0: none. Hosts do not apply it
	IdleTimeout   time.Duration // of an unused connection; 0: none. Hosts do not apply it
}

// Resources is the capacity of a worker or the need of a task.
type Resources struct {
	CPU    int64 // thousandths of a core
	Memory int64 // MiB
	GPU    int64
}

// Fits reports whether r covers need in each resource.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// Sub returns r minus need.
func (r Resources) Sub(need Resources) Resources {
	return Resources{CPU: r.CPU - need.CPU, Memory: r.Memory - need.Memory, GPU: r.GPU - need.GPU}
}

// Add returns r plus more.
func (r Resources) Add(more Resources) Resources {
	return Resources{CPU: r.CPU + more.CPU, Memory: r.Memory + more.Memory, GPU: r.GPU + more.GPU}
}

// Worker is the decoded entry of a worker in the platform's directory.
type Worker struct {
	ID       string
	Service  string
	Addr     string // IP:port
	Zone     string
	Draining bool // accepts no new tasks
	Capacity Resources
	Kind     string // machine type
	Rack     string
	Labels   []string
	// ProcessStart is when the worker's process started, in Unix ms; 0 if unknown. A new value means a new
	// incarnation, which runs no tasks and has seen no fencing token.
	ProcessStart int64
}

// HasLabel reports whether the worker has a label.
func (w Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// MaxTasks limits the tasks of one job, to bound the memory that it takes on a host.
const MaxTasks = 10000

// JobSpec is a job as its caller submits it: one step of tasks, all of which must end as done for the
// job to complete.
type JobSpec struct {
	ID                string // chosen by the caller
	RequestID         string // ID of the request, for the logs; empty if the caller sent none
	Payload           string // passed to each task unchanged
	Tasks             int
	Need              Resources     // of each task
	Estimate          time.Duration // of the duration of a task, from the caller
	Rack              string        // rack that holds the data; tasks take longer elsewhere. Empty: any
	Label             string        // required of a worker. Empty: none
	MaxPerWorker      int           // limit of the tasks of the step on one worker. 0: none
	Ephemeral         bool          // need not be stored; the caller gets the answer when the job has ended
	UnsupportedReason string        // reason why this host cannot run the job. Empty: it can
}

// Task identifies a task of a job.
type Task struct {
	Job          string // ID of the job
	Occurrence   int    // always 0 for tasks that this product starts
	Step         int    // always 0 for tasks that this product starts
	Index        int    // number of the task in its step, from 0
	UnparsedName string // name as a worker reported it, if it could not be parsed
}

// String implements fmt.Stringer. The text is for logs; workers know a task by a name that package
// platform encodes.
func (t Task) String() string {
	if t.UnparsedName != "" {
		return t.UnparsedName
	}
	return t.Job + "/" + strconv.Itoa(t.Index)
}

// RunKey identifies a run of a task on a worker.
type RunKey struct {
	Task    Task
	Attempt int64 // a later run of the task has a higher number
}
