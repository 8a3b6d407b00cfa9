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
	// excuseTime is how long after a fault of its host a broken request is excused.
	excuseTime = 3 * time.Second
	// lossSlack is how late a request may break off that was never read.
	lossSlack = 200 * time.Millisecond
	// applyTime is how soon a configuration has to be in force.
	applyTime = 2 * time.Second
)

// checkJobs holds what callers were told against what the workers ran.
func (c *callers) checkJobs() {
	spans := make(map[string][]fleetsim.Span)
	for _, w := range c.d.workers {
		for _, s := range w.History() {
			spans[s.Task] = append(spans[s.Task], s)
		}
	}
	for task, list := range spans {
		c.d.checkOnce(task, list)
	}
	for _, j := range c.jobs {
		for i := range j.attempts {
			c.d.checkAttempt(j, &j.attempts[i], spans)
		}
		c.d.checkRefused(j, spans)
	}
}

// checkOnce looks for two runs of a task at one time.
func (d *deployment) checkOnce(task string, list []fleetsim.Span) {
	slices.SortFunc(list, func(a, b fleetsim.Span) int { return a.From.Compare(b.From) })
	for i := 1; i < len(list); i++ {
		if a, b := list[i-1], list[i]; b.From.Before(a.To) {
			d.finding("task %s runs on %s (run %d) and on %s (run %d) for %v", task, a.Worker, a.Run, b.Worker, b.Run, a.To.Sub(b.From))
		}
	}
}

func taskName(j *job, index int) string { return fmt.Sprintf("%s.0.0.%d", j.id, index) }

func (d *deployment) checkAttempt(j *job, a *attempt, spans map[string][]fleetsim.Span) {
	switch {
	case a.left || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout:
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
	case a.status == 0:
		d.checkBroken(j, a, spans)
	case a.status == http.StatusOK && a.state == "completed":
		d.checkWhole(j, a, spans)
	case a.status == http.StatusOK && a.state == "failed":
		d.checkFailed(j, spans)
	default:
		d.finding("job %s: status %d, state %q", j.id, a.status, a.state)
	}
}

// checkBroken looks for a request that was broken off without an unplanned fault of its host. A
// connection may close under a request that has not been read: it ends soon, and nothing runs.
func (d *deployment) checkBroken(j *job, a *attempt, spans map[string][]fleetsim.Span) {
	if a.host.disturbed(a.sent.Add(-excuseTime), a.ended) || d.stalls.during(a.sent, a.ended) {
		return
	}
	begun := false
	for i := range j.tasks {
		begun = begun || slices.ContainsFunc(spans[taskName(j, i)], func(s fleetsim.Span) bool {
			return s.From.After(a.sent) && s.From.Before(a.ended)
		})
	}
	if took := a.ended.Sub(a.sent); begun || took > lossSlack {
		d.finding("job %s: %s broke the request off after %v without a fault: %v", j.id, a.host.name, took, a.err)
	}
}

// checkWhole looks for a completed job with a task that has not ended done before the answer.
func (d *deployment) checkWhole(j *job, a *attempt, spans map[string][]fleetsim.Span) {
	for i := range j.tasks {
		done := slices.ContainsFunc(spans[taskName(j, i)], func(s fleetsim.Span) bool {
			return s.How == "done" && s.To.Before(a.ended)
		})
		if !done {
			d.finding("job %s is complete without its task %d", j.id, i)
		}
	}
}

// checkFailed looks for a failed job without a failed task.
func (d *deployment) checkFailed(j *job, spans map[string][]fleetsim.Span) {
	for i := range j.tasks {
		if slices.ContainsFunc(spans[taskName(j, i)], func(s fleetsim.Span) bool { return s.How == "failed" }) {
			return
		}
	}
	d.finding("job %s failed without a failed task", j.id)
}

// checkRefused looks for a job that has run and of which every request was refused.
func (d *deployment) checkRefused(j *job, spans map[string][]fleetsim.Span) {
	for _, a := range j.attempts {
		if a.left || a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			return
		}
	}
	for i := range j.tasks {
		if len(spans[taskName(j, i)]) > 0 {
			d.finding("job %s was refused, and its task %d has run", j.id, i)
		}
	}
}

// watchConfig asks a host for the routes of the newest configurations until stop is closed.
func (d *deployment) watchConfig(h *hostNode, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var seen int // configurations in force in this process
	var of any
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		p := h.running()
		if p == nil || p != of {
			of, seen = p, 0
			continue
		}
		d.mu.Lock()
		published := slices.Clone(d.versions)
		d.mu.Unlock()
		asked := time.Now()
		for n := len(published); n >= 1; n-- {
			status := get(client, "http://"+h.settings.Listen.Callers+versionPrefix(n-1))
			if status == http.StatusOK {
				seen = max(seen, n)
				break
			}
			if status != http.StatusNotFound || h.running() != p {
				break
			}
			if n <= seen {
				d.finding("%s has gone back from configuration %d", h.name, seen)
			}
			if since := asked.Sub(published[n-1]); since > applyTime && d.mustApply(h, published[n-1], asked) {
				d.finding("%s has not applied configuration %d after %v", h.name, n, since)
			}
		}
	}
}

// mustApply reports whether nothing excuses a host from applying a configuration in time.
func (d *deployment) mustApply(h *hostNode, published, asked time.Time) bool {
	if h.disturbed(published.Add(-excuseTime), asked) || d.stalls.during(published, asked) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeFaults == 0 && d.storeCalm.Before(published.Add(-excuseTime))
}

// get returns the status of a request, 0 if there is no answer.
func get(client *http.Client, url string) int {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	req.Host = fleetsim.CallerHost
	resp, err := client.Do(req)
	if err != nil {
		return 0 // the host is disturbed; what excuses that is looked up by the caller
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkLogs looks for crashes and for starts that an internal check has stopped.
func (d *deployment) checkLogs() {
	for _, h := range d.hosts {
		text, err := os.ReadFile(filepath.Join(d.dir, h.name+".log"))
		if err != nil {
			continue // a spare host that was never started
		}
		for _, sign := range []string{"panic:", "fatal error:", "invariant violated"} {
			if i := bytes.Index(text, []byte(sign)); i >= 0 {
				line, _, _ := strings.Cut(string(text[i:]), "\n")
				d.finding("%s: %s", h.name, line)
			}
		}
	}
}
