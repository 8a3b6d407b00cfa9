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

func manyConnections(_ int, s *settings.Settings) { s.Backend.Connections = 64 }

const (
	// settle is how long the daemon may rest before its idle cost is measured.
	settle = time.Second
	// latencySamples is how many calls the latency is taken from.
	latencySamples = 2000
	// openJobs jobs of openJobRunMS a task stay open while memory is read.
	openJobs     = 400
	openJobRunMS = 250
)

func measureIdle(ctx context.Context, a args, bed *testbed.Bed, r *report) error {
	time.Sleep(settle)
	before, err := readUsage(bed.Hosts[0].PID())
	if err != nil {
		return err
	}
	time.Sleep(a.For)
	after, err := readUsage(bed.Hosts[0].PID())
	if err != nil {
		return err
	}
	r.IdleCPUPercent = 100 * float64(after.cpu-before.cpu) / float64(a.For)
	r.IdleMemoryMB = after.memory / (1 << 20)
	return ctx.Err()
}

// measureLatency alternates direct calls to a minion with jobs of one task, so that both
// see the same machine.
func measureLatency(ctx context.Context, _ args, bed *testbed.Bed, r *report) error {
	views, err := bed.MinionViews(ctx)
	if err != nil {
		return err
	}
	cl := client.New(client.Options{Hosts: []string{bed.Hosts[0].CallersURL()}})
	direct := make([]float64, 0, latencySamples)
	dispatched := make([]float64, 0, latencySamples)
	for i := range latencySamples {
		took, err := directCall(ctx, views[0].Host.Address, i)
		if err != nil {
			return err
		}
		direct = append(direct, took)
		began := time.Now()
		reply, err := cl.Run(ctx, job(1, 0))
		if err != nil {
			return err
		}
		if reply.Outcome != api.Complete {
			return errors.Newf("a job of one task ended %s: %v", reply.Outcome, reply.Reason)
		}
		dispatched = append(dispatched, micros(time.Since(began)))
	}
	sort.Float64s(direct)
	sort.Float64s(dispatched)
	r.DirectMedianUs, r.DirectP99Us = quantile(direct, 0.5), quantile(direct, 0.99)
	r.DispatchMedianUs, r.DispatchP99Us = quantile(dispatched, 0.5), quantile(dispatched, 0.99)
	r.AddedMedianUs = r.DispatchMedianUs - r.DirectMedianUs
	return nil
}

func directCall(ctx context.Context, address string, n int) (float64, error) {
	url := fmt.Sprintf("http://%s/v1/tasks/direct-%d/0", address, n)
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
	return micros(time.Since(began)), nil
}

// measureLoad keeps the daemon busy with a fixed number of callers.
func measureLoad(ctx context.Context, a args, bed *testbed.Bed, r *report) error {
	ctx, cancel := context.WithTimeout(ctx, a.For)
	defer cancel()
	before, err := readUsage(bed.Hosts[0].PID())
	if err != nil {
		return err
	}
	began := time.Now()
	var done atomic.Int64
	var wg sync.WaitGroup
	if a.Profile != "" {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := fetchProfile(ctx, bed.Hosts[0].OperatorsURL(), a); err != nil {
				fmt.Fprintln(os.Stderr, "cost: no profile:", err)
			}
		}()
	}
	for range a.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl := client.New(client.Options{Hosts: []string{bed.Hosts[0].CallersURL()}})
			for ctx.Err() == nil {
				reply, err := cl.Run(ctx, job(a.Tasks, 0))
				if err == nil && reply.Outcome == api.Complete {
					done.Add(int64(a.Tasks))
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
	if done.Load() == 0 {
		return errors.New("no job completed under load")
	}
	tasks := float64(done.Load())
	r.TasksPerSecond = tasks / took.Seconds()
	r.CPUMicrosPerTask = micros(after.cpu-before.cpu) / tasks
	r.TasksPerCoreSec = 1e6 / r.CPUMicrosPerTask
	return nil
}

// measureOpenJobs reads the growth of the resident memory by open jobs. The collector's
// slack is part of it, as it is in production.
func measureOpenJobs(ctx context.Context, a args, bed *testbed.Bed, r *report) error {
	before, err := readUsage(bed.Hosts[0].PID())
	if err != nil {
		return err
	}
	cl := client.New(client.Options{Hosts: []string{bed.Hosts[0].CallersURL()}})
	tickets := make([]ticket.ID, 0, openJobs)
	for range openJobs {
		j := job(a.Tasks, openJobRunMS)
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
	r.OpenJobBytes = (after.memory - before.memory) / openJobs
	r.OpenTaskBytes = r.OpenJobBytes / float64(a.Tasks)
	for _, id := range tickets {
		if _, err := cl.Cancel(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

func job(tasks int, runMS int64) api.Job {
	j := api.Job{Team: "team", Kind: "short", Tasks: make([]api.Task, tasks)}
	payload := json.RawMessage(fmt.Sprintf(`{"run_ms":%d}`, runMS))
	for i := range j.Tasks {
		j.Tasks[i] = api.Task{RunMS: runMS, Payload: payload}
	}
	return j
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// quantile returns the q quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// fetchProfile stores a processor profile of the daemon that covers most of the load.
func fetchProfile(ctx context.Context, operators string, a args) error {
	url := fmt.Sprintf("%s/debug/pprof/profile?seconds=%d", operators, max(int(a.For.Seconds())-2, 1))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return os.WriteFile(a.Profile, text, 0o644)
}
