package worker

import (
	"context"
	"strconv"
	"strings"
	"time"

	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/fit"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/logapi"
	"sesameledge.dev/sesameledge/place"
)

// usageIdleTimeout is how long usage is still read after the last attempt has ended.
const usageIdleTimeout = 10 * time.Second

// usageLoop reads the usage of the workers while there are attempts, and reports it.
func (r *Runner) usageLoop(ctx context.Context) {
	if r.opts.ReportUsage == nil {
		return
	}
	var lastBusy time.Time
	for pause.For(ctx, r.opts.UsageInterval) {
		r.mu.Lock()
		if len(r.attempts) > 0 {
			lastBusy = time.Now()
		}
		r.mu.Unlock()
		if time.Since(lastBusy) > usageIdleTimeout {
			continue
		}
		r.counters.usageMessages.Add(1)
		if usage, err := r.opts.Platform.Usage(ctx); err == nil {
			r.opts.ReportUsage(dispatch.UsageReported{Workers: r.convertUsage(usage)})
		}
	}
}

// convertUsage converts the platform's usage report to the types that placement uses.
func (r *Runner) convertUsage(usage []logapi.Usage) []fit.WorkerUsage {
	out := make([]fit.WorkerUsage, len(usage))
	for i, u := range usage {
		out[i] = fit.WorkerUsage{Worker: place.EndpointID(u.Worker), SampleAge: time.Duration(u.AgeMS) * time.Millisecond}
		out[i].Tasks = make([]fit.TaskUsage, len(u.Tasks))
		for n := range u.Tasks {
			out[i].Tasks[n] = r.convertTask(&u.Tasks[n])
		}
	}
	return out
}

func (r *Runner) convertTask(t *logapi.TaskUsage) fit.TaskUsage {
	out := fit.TaskUsage{
		ID:       t.Task,
		Own:      strings.HasPrefix(t.Lease, r.opts.Incarnation+"/"),
		Kind:     t.Label,
		Speed:    t.Speed,
		Declared: place.Size{Cores: t.DeclaredCores, MemoryMB: t.DeclaredMemoryMB, Accelerators: t.Accelerators},
		Used:     place.Size{Cores: t.Cores, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators},
	}
	if out.Own {
		out.Job, out.Index = parseIdentity(t.Task)
	}
	return out
}

// parseIdentity returns the ticket and the task index that an identity contains, or "" and 0 if it
// is malformed.
func parseIdentity(id string) (job string, index int) {
	parts := strings.Split(id, "/")
	if len(parts) != 3 {
		return "", 0
	}
	index, _ = strconv.Atoi(parts[1])
	return parts[0], index
}
