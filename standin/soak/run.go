package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// startTime bounds the start of a deployment.
	startTime = 15 * time.Second
	// recoverTime is the time after the last fault in which a deployment serves again.
	recoverTime = 10 * time.Second
	// faultLeast and faultMost bound how long a fault lasts, pauseMost the time between two.
	faultLeast = 100 * time.Millisecond
	faultMost  = 4 * time.Second
	pauseMost  = 1500 * time.Millisecond
)

// report is what a run has shown.
type report struct {
	seed      uint64
	faults    []string // in order, with their times
	jobs      int
	outcomes  map[string]int
	findings  []string
	logs      string
	peakBytes int64
	stalled   time.Duration // of the soak itself
}

// String implements fmt.Stringer.
func (r *report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d jobs, answers %v, peak memory of a host %d MB, %d findings",
		r.seed, len(r.faults), r.jobs, r.outcomes, r.peakBytes>>20, len(r.findings))
	if r.stalled > 0 {
		fmt.Fprintf(&b, " (the machine stalled for %.1f s; bounds on time were not checked then)", r.stalled.Seconds())
	}
	if len(r.findings) == 0 {
		return b.String()
	}
	for _, f := range r.findings {
		fmt.Fprintf(&b, "\n  FINDING: %s", f)
	}
	fmt.Fprintf(&b, "\n  faults: %s\n  logs in %s", strings.Join(r.faults, "; "), filepath.Base(r.logs))
	return b.String()
}

// soak runs one seed.
func soak(ctx context.Context, a args, seed uint64) (*report, error) {
	if a.Logs != "" {
		if err := os.MkdirAll(a.Logs, 0o755); err != nil {
			return nil, errors.Wrap(err, "keeping logs")
		}
	}
	dir, err := os.MkdirTemp(a.Logs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return nil, errors.Wrap(err, "keeping logs")
	}
	d, err := newDeployment(a.Bin, dir, size{zones: a.Zones, hosts: a.Hosts, spares: 1, workers: a.Workers, callers: a.Callers})
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.awaitReady(startTime); err != nil {
		return nil, err
	}
	r := &report{seed: seed, logs: dir}
	d.disturbUnderLoad(ctx, r, a.Length)
	d.checkLogs()
	r.findings = d.findings
	r.peakBytes = d.peakMemory()
	if len(r.findings) == 0 {
		_ = os.RemoveAll(dir) // what is left lies in the directory for temporary files
	}
	return r, nil
}

// disturbUnderLoad runs callers and faults, ends both, and checks all promises.
func (d *deployment) disturbUnderLoad(ctx context.Context, r *report, length time.Duration) {
	rng := rand.New(rand.NewPCG(r.seed, 1))
	load, stopLoad := context.WithCancel(ctx)
	c := &callers{d: d}
	var wg sync.WaitGroup
	for i := range d.size.callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(load, rand.New(rand.NewPCG(r.seed, uint64(2+i))))
		}()
	}
	stopWatch := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		d.stalls.watch(stopWatch)
	}()
	for _, h := range d.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.watchConfig(h, stopWatch)
		}()
	}
	d.disturb(ctx, rng, r, length)
	stopLoad()
	close(stopWatch)
	wg.Wait()
	d.checkRecovery(c, rng)
	c.checkJobs()
	r.count(c)
	r.stalled = d.stalls.total()
}

// disturb begins faults in series, some of which overlap, and returns when all have ended.
func (d *deployment) disturb(ctx context.Context, rng *rand.Rand, r *report, length time.Duration) {
	began := time.Now()
	var ends sync.WaitGroup
	for time.Since(began) < length && ctx.Err() == nil {
		time.Sleep(time.Duration(rng.Int64N(int64(pauseMost))))
		f := faults[rng.IntN(len(faults))]
		lasts := faultLeast + time.Duration(rng.Int64N(int64(faultMost-faultLeast)))
		r.faults = append(r.faults, fmt.Sprintf("%.2fs %s for %.2fs", time.Since(began).Seconds(), f.name, lasts.Seconds()))
		end := f.begin(d, rng)
		ends.Add(1)
		time.AfterFunc(lasts, func() {
			defer ends.Done()
			end()
		})
	}
	ends.Wait()
}

// awaitReady waits until every host with a process is ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for _, h := range d.hosts {
		for h.running() != nil && get(client, "http://"+h.settings.Listen.Ready+"/readyz") != http.StatusOK {
			if time.Now().After(deadline) {
				return errors.Newf("%s is not ready after %v", h.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// checkRecovery expects that each host serves again after the last fault.
func (d *deployment) checkRecovery(c *callers, rng *rand.Rand) {
	if err := d.awaitReady(recoverTime); err != nil {
		d.finding("after the last fault: %v", err)
	}
	client := &http.Client{Timeout: callerPatience + answerGrace}
	defer client.CloseIdleConnections()
	for _, h := range d.hosts {
		deadline := time.Now().Add(recoverTime)
		served := h.running() == nil
		for !served && time.Now().Before(deadline) {
			a := c.submit(client, rng, h, 1).attempts[0]
			served = a.status == http.StatusOK && a.state == "completed"
		}
		if !served {
			d.finding("%s does not serve %v after the last fault", h.name, recoverTime)
		}
	}
}

// count sums the answers up.
func (r *report) count(c *callers) {
	r.jobs = len(c.jobs)
	r.outcomes = make(map[string]int)
	for _, j := range c.jobs {
		for _, a := range j.attempts {
			switch {
			case a.left:
				r.outcomes["left"]++
			case a.status == 0:
				r.outcomes["broken"]++
			case a.state != "":
				r.outcomes[a.state]++
			default:
				r.outcomes[fmt.Sprint(a.status)]++
			}
		}
	}
}

// peakMemory returns the largest memory that a running host has had, in bytes.
func (d *deployment) peakMemory() int64 {
	var peak int64
	for _, h := range d.hosts {
		if p := h.running(); p != nil {
			peak = max(peak, residentPeak(p.PID()))
		}
	}
	return peak
}

// residentPeak reads the peak of a process's resident memory, in bytes; 0 if it has ended.
func residentPeak(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, found := strings.Cut(string(text), "VmHWM:")
	var kib int64
	if _, err := fmt.Sscan(after, &kib); !found || err != nil {
		return 0
	}
	return kib << 10
}
