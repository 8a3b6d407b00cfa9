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
	// startTimeout limits the time until all hosts of a new deployment are ready.
	startTimeout = 15 * time.Second
	// recoveryTimeout limits the time from the end of the last fault until all hosts are ready, and then
	// for each host the time until it completes a job.
	recoveryTimeout = 10 * time.Second
	// minFaultDuration and maxFaultDuration limit how long a fault lasts.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// maxFaultPause limits the pause before each fault begins.
	maxFaultPause = 1500 * time.Millisecond
)

// report is the result of the run of one seed.
type report struct {
	seed          uint64
	startedFaults []string // in order of their start, with start and duration
	evacuations   []string // with start and duration
	jobs          int
	outcomes      map[string]int // number of requests by answer
	findings      []string
	logs          string        // directory
	peakBytes     int64         // largest resident memory of a host
	stallTime     time.Duration // sum of the stalls of this process itself
}

// String implements fmt.Stringer.
func (r *report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d jobs, answers %v, peak memory of a host %d MB, %d findings",
		r.seed, len(r.startedFaults), r.jobs, r.outcomes, r.peakBytes>>20, len(r.findings))
	if r.stallTime > 0 {
		fmt.Fprintf(&b, " (the machine stalled for %.1f s; bounds on time were not checked then)", r.stallTime.Seconds())
	}
	if len(r.findings) == 0 {
		return b.String()
	}
	for _, f := range r.findings {
		fmt.Fprintf(&b, "\n  FINDING: %s", f)
	}
	fmt.Fprintf(&b, "\n  faults: %s\n  evacuations: %s\n  logs in %s",
		strings.Join(r.startedFaults, "; "), strings.Join(r.evacuations, "; "), filepath.Base(r.logs))
	return b.String()
}

// runSeed runs a new deployment with the faults of one seed and returns its report. It returns an error
// if the deployment does not start. The run's directory is kept if there are findings or an error.
func runSeed(ctx context.Context, a args, seed uint64) (*report, error) {
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
	if err := d.waitUntilReady(startTimeout); err != nil {
		return nil, err
	}
	r := &report{seed: seed, logs: dir}
	d.injectFaultsUnderLoad(ctx, r, a.Length, !a.NoEvacuations)
	d.checkLogs()
	r.findings = d.findings
	r.peakBytes = d.peakMemory()
	if len(r.findings) == 0 {
		_ = os.RemoveAll(dir) // leftovers do no harm; without --logs they are in the directory for temporary files
	}
	return r, nil
}

// injectFaultsUnderLoad runs callers and faults, waits until both have ended, and checks that every host
// recovers and that the answers of all jobs agree with what the workers ran.
func (d *deployment) injectFaultsUnderLoad(ctx context.Context, r *report, length time.Duration, evacuations bool) {
	rng := rand.New(rand.NewPCG(r.seed, 1))
	load, stopLoad := context.WithCancel(ctx)
	c := &callers{deployment: d}
	var wg sync.WaitGroup
	for i := range d.size.callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.runCaller(load, rand.New(rand.NewPCG(r.seed, uint64(2+i))))
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
	var evacuated <-chan struct{} // closed when the last zone was taken back
	if evacuations {
		evacuated = d.evacuateZones(ctx, rand.New(rand.NewPCG(r.seed, 0)), r, length)
	}
	d.injectFaults(ctx, rng, r, length)
	if evacuations {
		<-evacuated
	}
	stopLoad()
	close(stopWatch)
	wg.Wait()
	d.checkRecovery(c, rng)
	c.checkJobs()
	d.checkEvacuations()
	r.countAnswers(c)
	r.stallTime = d.stalls.total()
}

// injectFaults starts faults one after the other for the given time. Faults may overlap. It returns
// when all have ended.
func (d *deployment) injectFaults(ctx context.Context, rng *rand.Rand, r *report, length time.Duration) {
	start := time.Now()
	var running sync.WaitGroup
	for time.Since(start) < length && ctx.Err() == nil {
		time.Sleep(time.Duration(rng.Int64N(int64(maxFaultPause))))
		f := faultKinds[rng.IntN(len(faultKinds))]
		duration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		r.startedFaults = append(r.startedFaults, fmt.Sprintf("%.2fs %s for %.2fs", time.Since(start).Seconds(), f.name, duration.Seconds()))
		end := f.begin(d, rng)
		running.Add(1)
		time.AfterFunc(duration, func() {
			defer running.Done()
			end()
		})
	}
	running.Wait()
}

// waitUntilReady waits until every host with a process is ready. It returns an error after the timeout.
func (d *deployment) waitUntilReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(timeout)
	for _, h := range d.hosts {
		for h.running() != nil && getStatus(client, "http://"+h.settings.Listen.Ready+"/readyz") != http.StatusOK {
			if time.Now().After(deadline) {
				return errors.Newf("%s is not ready after %v", h.name, timeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// checkRecovery adds a finding for each host that does not complete a job again after the last fault.
func (d *deployment) checkRecovery(c *callers, rng *rand.Rand) {
	if err := d.waitUntilReady(recoveryTimeout); err != nil {
		d.addFinding("after the last fault: %v", err)
	}
	client := newCallerClient()
	defer client.CloseIdleConnections()
	for _, h := range d.hosts {
		deadline := time.Now().Add(recoveryTimeout)
		served := h.running() == nil
		for !served && time.Now().Before(deadline) {
			a := c.submit(client, rng, h, 1).attempts[0]
			served = a.status == http.StatusOK && a.state == "completed"
		}
		if !served {
			d.addFinding("%s does not serve %v after the last fault", h.name, recoveryTimeout)
		}
	}
}

// countAnswers counts the jobs, and the requests by answer.
func (r *report) countAnswers(c *callers) {
	r.jobs = len(c.jobs)
	r.outcomes = make(map[string]int)
	for _, j := range c.jobs {
		for _, a := range j.attempts {
			switch {
			case a.cancelled:
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

// peakMemory returns the largest resident memory of the running hosts since they started, in bytes.
func (d *deployment) peakMemory() int64 {
	var peak int64
	for _, h := range d.hosts {
		if p := h.running(); p != nil {
			peak = max(peak, peakResidentMemory(p.PID()))
		}
	}
	return peak
}

// peakResidentMemory returns the peak of a process's resident memory in bytes, or 0 if the process has
// ended.
func peakResidentMemory(pid int) int64 {
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
