// Package fleet holds the types that the parts of an entry host share: routes, jobs,
// workers and runs. They say what the product needs to know; package platform fills them
// from the formats of the users' platform.
package fleet

import (
	"strconv"
	"time"
)

// Config is a configuration in force on a host.
type Config struct {
	Version  int64 // rises with each change, not by one
	Routes   []Route
	Services []Service
	Limits   RequestLimits
}

// Route sends the jobs under a host name and path prefix to the workers of a service.
type Route struct {
	Name        string
	Host        string // value of the Host header, without port
	Prefix      string // ends with a slash
	Service     string
	Priority    int           // 0 comes first
	MaxAttempts int           // runs of one task that may end failed
	SlackFactor float64       // objective in multiples of a job's longest task
	Target      time.Duration // added to the objective
	Timeout     time.Duration // 0 if there is none
	Advised     bool          // an external policy restricts the workers of each step
}

// Service is a pool of workers.
type Service struct {
	Name       string
	ChecksRoom bool // workers refuse tasks that exceed their capacity
	Standby    bool // the machines are switched off
}

// RequestLimits bound what a caller may send.
type RequestLimits struct {
	BodyBytes int64
}

// Resources of a worker or a task.
type Resources struct {
	CPU    int64 // thousandths of a core
	Memory int64 // MiB
	GPU    int64
}

// Fits reports whether need can be taken from r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// Sub returns r less need.
func (r Resources) Sub(need Resources) Resources {
	return Resources{CPU: r.CPU - need.CPU, Memory: r.Memory - need.Memory, GPU: r.GPU - need.GPU}
}

// Add returns the sum of r and more.
func (r Resources) Add(more Resources) Resources {
	return Resources{CPU: r.CPU + more.CPU, Memory: r.Memory + more.Memory, GPU: r.GPU + more.GPU}
}

// Worker is the entry of a worker in the platform's directory.
type Worker struct {
	ID       string
	Service  string
	Addr     string // IP:port
	Zone     string
	Draining bool // takes no new tasks
	Capacity Resources
	Kind     string // machine type
	Rack     string
	Labels   []string
	// Born is the start of the worker's process in Unix milliseconds. A new value is a new
	// incarnation, which runs nothing and knows no fencing token. 0 if unknown.
	Born int64
}

// HasLabel reports whether the worker carries a label.
func (w Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// JobSpec is what a caller submits: one step of tasks that all have to end done.
type JobSpec struct {
	ID           string // chosen by the caller
	RequestID    string // of the request, for the logs; empty if the caller sent none
	Payload      string // handed to each task unchanged
	Tasks        int
	Need         Resources // of each task
	Estimate     time.Duration
	Rack         string // where the data is; elsewhere tasks take longer. Empty: anywhere
	Label        string // that a worker must carry. Empty: any
	MaxPerWorker int    // tasks of the step on one worker. 0: any number
	Ephemeral    bool   // need not be stored; answered when it has ended
	Unsupported  string // why this host cannot run the job. Empty: it can
}

// Task identifies a task of a job.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
	Unread     string // the name as a worker told it, if it could not be read
}

// String implements fmt.Stringer.
func (t Task) String() string {
	if t.Unread != "" {
		return t.Unread
	}
	return t.Job + "/" + strconv.Itoa(t.Index)
}

// RunKey identifies a run of a task on a worker.
type RunKey struct {
	Task    Task
	Attempt int64
}
