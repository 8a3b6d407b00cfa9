package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"sesameledge.dev/sesameledge/standin/fleetsim"
)

const (
	// excusePeriod is how long after an unplanned fault of its host a broken request is excused.
	excusePeriod = 3 * time.Second
	// maxUnreadRequestTime limits how long after sending a request may break off that the host never read.
	maxUnreadRequestTime = 200 * time.Millisecond
	// configApplyTimeout limits the time from publishing a configuration until hosts use it.
	configApplyTimeout = 2 * time.Second
)

// checkJobs compares the answers that callers got with what the workers ran.
func (c *callers) checkJobs() {
	spansByTask := make(map[string][]fleetsim.EndedRun)
	for _, w := range c.deployment.workers {
		for _, s := range w.History() {
			spansByTask[s.Task] = append(spansByTask[s.Task], s)
		}
	}
	for task, spans := range spansByTask {
		c.deployment.checkNoOverlappingRuns(task, spans)
	}
	for _, j := range c.jobs {
		for i := range j.attempts {
			c.deployment.checkAttempt(j, &j.attempts[i], spansByTask)
		}
		c.deployment.checkRefused(j, spansByTask)
	}
}

// checkNoOverlappingRuns adds a finding for each two successive runs of a task that overlap in time.
func (d *deployment) checkNoOverlappingRuns(task string, spans []fleetsim.EndedRun) {
	slices.SortFunc(spans, func(a, b fleetsim.EndedRun) int { return a.Start.Compare(b.Start) })
	for i := 1; i < len(spans); i++ {
		if a, b := spans[i-1], spans[i]; b.Start.Before(a.End) {
			d.addFinding("task %s runs on %s (run %d) and on %s (run %d) for %v", task, a.Worker, a.Run, b.Worker, b.Run, a.End.Sub(b.Start))
		}
	}
}

// taskName returns the identifier that workers know a task of a job by.
func taskName(j *job, index int) string { return fmt.Sprintf("%s.0.0.%d", j.id, index) }

// checkAttempt checks the answer to one request. Cancelled requests, gateway errors and refusals need no
// check here; checkRefused checks refusals.
func (d *deployment) checkAttempt(j *job, a *attempt, spansByTask map[string][]fleetsim.EndedRun) {
	switch {
	case a.cancelled || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout:
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
	case a.status == 0:
		d.checkBrokenOff(j, a, spansByTask)
	case a.status == http.StatusOK && a.state == "completed":
		d.checkCompleted(j, a, spansByTask)
	case a.status == http.StatusOK && a.state == "failed":
		d.checkFailed(j, spansByTask)
	default:
		d.addFinding("job %s: status %d, state %q", j.id, a.status, a.state)
	}
}

// checkBrokenOff adds a finding if a request was broken off without an unplanned fault of its host. A
// host may close a connection before it reads a request from it. Such a request breaks off within
// maxUnreadRequestTime and starts no task. A connection that was silenced stays silent after the fault,
// so no later request on it reaches the host.
func (d *deployment) checkBrokenOff(j *job, a *attempt, spansByTask map[string][]fleetsim.EndedRun) {
	if a.host.hadUnplannedFault(a.sent.Add(-excusePeriod), a.ended) || d.stalls.overlap(a.sent, a.ended) || a.host.silenced(a.connOpened) {
		return
	}
	started := false
	for i := range j.tasks {
		started = started || slices.ContainsFunc(spansByTask[taskName(j, i)], func(s fleetsim.EndedRun) bool {
			return s.Start.After(a.sent) && s.Start.Before(a.ended)
		})
	}
	if took := a.ended.Sub(a.sent); started || took > maxUnreadRequestTime {
		d.addFinding("job %s: %s broke the request off after %v without a fault: %v", j.id, a.host.name, took, a.err)
	}
}

// checkCompleted adds a finding for each task of a completed job that was not done before the answer.
func (d *deployment) checkCompleted(j *job, a *attempt, spansByTask map[string][]fleetsim.EndedRun) {
	for i := range j.tasks {
		done := slices.ContainsFunc(spansByTask[taskName(j, i)], func(s fleetsim.EndedRun) bool {
			return s.Outcome == "done" && s.End.Before(a.ended)
		})
		if !done {
			d.addFinding("job %s is complete without its task %d", j.id, i)
		}
	}
}

// checkFailed adds a finding if a job failed although none of its tasks failed.
func (d *deployment) checkFailed(j *job, spansByTask map[string][]fleetsim.EndedRun) {
	for i := range j.tasks {
		if slices.ContainsFunc(spansByTask[taskName(j, i)], func(s fleetsim.EndedRun) bool { return s.Outcome == "failed" }) {
			return
		}
	}
	d.addFinding("job %s failed without a failed task", j.id)
}

// checkRefused adds a finding for each task that ran although every request for its job was refused.
func (d *deployment) checkRefused(j *job, spansByTask map[string][]fleetsim.EndedRun) {
	for _, a := range j.attempts {
		if a.cancelled || a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			return
		}
	}
	for i := range j.tasks {
		if len(spansByTask[taskName(j, i)]) > 0 {
			d.addFinding("job %s was refused, and its task %d has run", j.id, i)
		}
	}
}

// watchConfig polls a host for the routes of the newest configurations until stop is closed. It adds a
// finding if the host goes back to an older configuration or applies a new one too late.
func (d *deployment) watchConfig(h *hostNode, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var newestSeen int // newest configuration that the host's process has used, counted from 1
	var observed any
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		p := h.running()
		if p == nil || p != observed {
			observed, newestSeen = p, 0
			continue
		}
		d.mu.Lock()
		published := slices.Clone(d.publishTimes)
		d.mu.Unlock()
		asked := time.Now()
		for n := len(published); n >= 1; n-- {
			status := getStatus(client, "http://"+h.settings.Listen.Callers+versionPrefix(n-1))
			if status == http.StatusOK {
				newestSeen = max(newestSeen, n)
				break
			}
			if status != http.StatusNotFound || h.running() != p {
				break
			}
			if n <= newestSeen {
				d.addFinding("%s has gone back from configuration %d", h.name, newestSeen)
			}
			if since := asked.Sub(published[n-1]); since > configApplyTimeout && d.mustHaveApplied(h, published[n-1], asked) {
				d.addFinding("%s has not applied configuration %d after %v", h.name, n, since)
			}
		}
	}
}

// mustHaveApplied reports whether the host had to apply a configuration in time: neither an unplanned
// fault of the host, nor a stall of this process, nor a fault of the store since
// excusePeriod before its publication excuses it.
func (d *deployment) mustHaveApplied(h *hostNode, published, asked time.Time) bool {
	if h.hadUnplannedFault(published.Add(-excusePeriod), asked) || d.stalls.overlap(published, asked) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.activeStoreFaults == 0 && d.lastStoreFaultEnd.Before(published.Add(-excusePeriod))
}

// getStatus returns the HTTP status of a GET request, or 0 if there is no answer.
func getStatus(client *http.Client, url string) int {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	req.Host = fleetsim.CallerHost
	resp, err := client.Do(req)
	if err != nil {
		return 0 // a fault may be the cause; the calling function decides whether it is excused
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkLogs adds a finding for each log that shows a crash or the violation of an internal invariant.
func (d *deployment) checkLogs() {
	for _, h := range d.hosts {
		text, err := os.ReadFile(filepath.Join(d.runDir, h.name+".log"))
		if err != nil {
			continue // a spare host that was never started
		}
		for _, crashText := range []string{"panic:", "fatal error:", "invariant violated"} {
			if offset := bytes.Index(text, []byte(crashText)); offset >= 0 {
				line, _, _ := strings.Cut(string(text[offset:]), "\n")
				d.addFinding("%s: %s", h.name, line)
			}
		}
	}
}
