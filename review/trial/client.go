package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// resendDelay is the time after which a client sends a job again that got no answer (resendMs).
const resendDelay = 1300 * time.Millisecond

// job is a job of one step that needs not be stored.
type job struct {
	id         string
	queue      queue
	count      int
	cpu        int64
	workMillis int
	label      string
	deadline   time.Duration // how long the client waits
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// body returns the body of a submission.
func (j job) body() []byte {
	step := map[string]any{"count": j.count, "cpu": j.cpu, "memMb": 64, "estimatedMs": j.workMillis}
	if j.label != "" {
		step["constraints"] = j.label
	}
	b, _ := json.Marshal(map[string]any{"spec": fmt.Sprint(j.workMillis), "phases": []any{step}, "bestEffort": true})
	return b
}

// client sends the requests of one client, over connections of its own.
type client struct {
	rec    *record
	fleet  *fleet
	client *http.Client
}

func newClient(rec *record, f *fleet) *client {
	return &client{rec: rec, fleet: f, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

// send sends a request for a job to a host and returns the status, 0 if there was no answer within the
// job's deadline.
func (c *client) send(method string, h *host, j job, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), j.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+j.queue.prefix+j.id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = j.queue.host
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(j.deadline.Milliseconds()))
	c.rec.line("client sends %s for job %s to %s", method, j.id, h.name)
	resp, err := c.client.Do(req)
	if err != nil {
		c.rec.line("client gets no answer to %s for job %s: %v", method, j.id, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.rec.line("client gets no whole answer to %s for job %s: %v", method, j.id, err)
		return 0, err.Error()
	}
	c.rec.line("client gets %d to %s for job %s: %s", resp.StatusCode, method, j.id, strings.TrimSpace(string(text)))
	return resp.StatusCode, string(text)
}

// submit hands in a job at the first of the hosts. While there is no answer, 502 or 504, it sends the
// job again resendDelay later, at the next host in turn, three times at most.
func (c *client) submit(j job, hosts ...*host) int {
	c.fleet.addJob(j.id, j.cpu, j.label)
	status := 0
	for i := range 4 {
		status, _ = c.send(http.MethodPost, hosts[i%len(hosts)], j, j.body())
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(resendDelay)
	}
	return status
}
