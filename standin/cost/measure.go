package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/backend"
	"sesameledge.dev/sesameledge/client"
	"sesameledge.dev/sesameledge/settings"
	"sesameledge.dev/sesameledge/standin/testbed"
	"sesameledge.dev/sesameledge/ticket"
)

// raiseConnectionLimit raises the number of connections from the daemon to the back end.
func raiseConnectionLimit(_ int, s *settings.Settings) { s.Backend.ConnsPerMinion = 64 }

const (
	// idleSettleTime is the delay between the start of the deployment and the idle measurement.
	idleSettleTime = time.Second
	// latencySamples is the number of direct calls and the number of jobs that are timed.
	latencySamples = 2000
	// openJobCount is the number of jobs that are open while the memory is read. Each of their
	// tasks runs for openJobTaskRunMS milliseconds.
	openJobCount     = 400
	openJobTaskRunMS = 250
)

// measureIdle measures the processor time and the memory of a daemon without jobs.
func measureIdle(ctx context.Context, opts args, bed *testbed.Deployment, r *report) error {
	time.Sleep(idleSettleTime)
	before, err := readUsage(bed.Hosts[0].PID())
	if err != nil {
		return err
	}
	time.Sleep(opts.For)
	after, err := readUsage(bed.Hosts[0].PID())
	if err != nil {
		return err
	}
	r.IdleCPUPercent = 100 * float64(after.cpuTime-before.cpuTime) / float64(opts.For)
	r.IdleMemoryMB = after.residentBytes / (1 << 20)
	return ctx.Err()
}

// measureLatency times direct calls to a minion and jobs of one task. The two alternate, so
// that both are measured under the same load of the machine.
func measureLatency(ctx context.Context, _ args, bed *testbed.Deployment, r *report) error {
	views, err := bed.MinionViews(ctx)
	if err != nil {
		return err
	}
	cl := client.New(client.Options{Hosts: []string{bed.Hosts[0].CallersURL()}})
	direct := make([]float64, 0, latencySamples)
	dispatched := make([]float64, 0, latencySamples)
	for i := range latencySamples {
		took, err := timeDirectCall(ctx, views[0].Host.Address, i)
		if err != nil {
			return err
		}
		direct = append(direct, took)
		began := time.Now()
		reply, err := cl.Run(ctx, newJob(1, 0))
		if err != nil {
			return err
		}
		if reply.Outcome != api.Complete {
			return errors.Newf("a job of one task ended %s: %v", reply.Outcome, reply.Reason)
		}
		dispatched = append(dispatched, microseconds(time.Since(began)))
	}
	sort.Float64s(direct)
	sort.Float64s(dispatched)
	r.DirectMedianUs, r.DirectP99Us = quantile(direct, 0.5), quantile(direct, 0.99)
	r.DispatchMedianUs, r.DispatchP99Us = quantile(dispatched, 0.5), quantile(dispatched, 0.99)
	r.AddedMedianUs = r.DispatchMedianUs - r.DirectMedianUs
	return nil
}

// timeDirectCall sends a task directly to a minion and returns the duration of the call in
// microseconds. The number makes the task's path unique.
func timeDirectCall(ctx context.Context, address string, number int) (float64, error) {
	url := fmt.Sprintf("http://%s/v1/tasks/direct-%d/0", address, number)
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(`{"run_ms":0}`)))
	if err != nil {
		return 0, err
	}
	req.Header.Set(backend.HeaderAttempt, "1")
	req.Header.Set(backend.HeaderDeadlineMS, "10000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Newf("a direct call was answered %s", resp.Status)
	}
	return microseconds(time.Since(began)), nil
}

// measureLoad measures throughput and processor time per task while a fixed number of callers
// submit jobs, each of them one job at a time.
func measureLoad(ctx context.Context, opts args, bed *testbed.Deployment, r *report) error {
	ctx, cancel := context.WithTimeout(ctx, opts.For)
	defer cancel()
	before, err := readUsage(bed.Hosts[0].PID())
	if err != nil {
		return err
	}
	began := time.Now()
	var completedTasks atomic.Int64
	var wg sync.WaitGroup
	if opts.Profile != "" {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := saveProfile(ctx, bed.Hosts[0].OperatorsURL(), opts); err != nil {
				fmt.Fprintln(os.Stderr, "cost: no profile:", err)
			}
		}()
	}
	for range opts.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl := client.New(client.Options{Hosts: []string{bed.Hosts[0].CallersURL()}})
			for ctx.Err() == nil {
				reply, err := cl.Run(ctx, newJob(opts.Tasks, 0))
				if err == nil && reply.Outcome == api.Complete {
					completedTasks.Add(int64(opts.Tasks))
				}
			}
		}()
	}
	wg.Wait()
	took := time.Since(began)
	after, err := readUsage(bed.Hosts[0].PID())
	if err != nil {
		return err
	}
	if completedTasks.Load() == 0 {
		return errors.New("no job completed under load")
	}
	tasks := float64(completedTasks.Load())
	r.TasksPerSecond = tasks / took.Seconds()
	r.CPUMicrosPerTask = microseconds(after.cpuTime-before.cpuTime) / tasks
	r.TaskStartsPerCoreSecond = 1e6 / r.CPUMicrosPerTask
	return nil
}

// measureOpenJobs measures how much the resident memory grows through open jobs. The result
// includes memory that the garbage collector has not yet freed, as it does in production.
func measureOpenJobs(ctx context.Context, opts args, bed *testbed.Deployment, r *report) error {
	before, err := readUsage(bed.Hosts[0].PID())
	if err != nil {
		return err
	}
	cl := client.New(client.Options{Hosts: []string{bed.Hosts[0].CallersURL()}})
	tickets := make([]ticket.ID, 0, openJobCount)
	for range openJobCount {
		j := newJob(opts.Tasks, openJobTaskRunMS)
		noWait := int64(0)
		j.Schema, j.WaitMS = api.Schema, &noWait
		reply, err := cl.Submit(ctx, &j)
		if err != nil {
			return err
		}
		if reply.Outcome != api.Unknown {
			return errors.Newf("a job was not accepted: %v", reply.Reason)
		}
		tickets = append(tickets, reply.Ticket)
	}
	after, err := readUsage(bed.Hosts[0].PID())
	if err != nil {
		return err
	}
	r.OpenJobBytes = (after.residentBytes - before.residentBytes) / openJobCount
	r.OpenTaskBytes = r.OpenJobBytes / float64(opts.Tasks)
	for _, id := range tickets {
		if _, err := cl.Cancel(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// newJob returns a job whose tasks each run for runMS milliseconds.
func newJob(tasks int, runMS int64) api.Job {
	j := api.Job{Team: "team", Kind: "short", Tasks: make([]api.Task, tasks)}
	payload := json.RawMessage(fmt.Sprintf(`{"run_ms":%d}`, runMS))
	for i := range j.Tasks {
		j.Tasks[i] = api.Task{RunMS: runMS, Payload: payload}
	}
	return j
}

// microseconds converts a duration to microseconds.
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// quantile returns the q quantile, with q from 0 to 1, of values in ascending order.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// saveProfile writes a processor profile of the daemon to the file opts.Profile. The profile
// ends about two seconds before the load does, so that it arrives in time.
func saveProfile(ctx context.Context, operatorsURL string, opts args) error {
	url := fmt.Sprintf("%s/debug/pprof/profile?seconds=%d", operatorsURL, max(int(opts.For.Seconds())-2, 1))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	profile, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return os.WriteFile(opts.Profile, profile, 0o644)
}
