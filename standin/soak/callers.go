package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/standin/fleetsim"
)

const (
	// callerPatience is how long a caller waits for an answer, and says so.
	callerPatience = 3 * time.Second
	// answerGrace is how much later an answer may come.
	answerGrace = time.Second
	// resendTime is how long a caller waits before it sends a job again whose fate is open.
	resendTime = 1300 * time.Millisecond
	// maxSends bounds how often a job is sent.
	maxSends = 4
	// thinkMS bounds the pause between two jobs of a caller, in ms.
	thinkMS = 300
	// leaveShare is the share of the requests that a caller breaks off.
	leaveShare = 0.05
)

// attempt is one request for a job.
type attempt struct {
	host        *hostNode
	sent, ended time.Time
	status      int // 0: no answer
	state       string
	left        bool // the caller broke it off
	err         error
}

// job is a job with all its requests.
type job struct {
	id       string
	tasks    int
	attempts []attempt
}

// callers submit jobs until they are told to stop.
type callers struct {
	d    *deployment
	mu   sync.Mutex
	jobs []*job
	next int
}

// run runs a caller. Its connections stay open for as long as their hosts keep them.
func (c *callers) run(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Timeout: callerPatience + answerGrace, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	h := c.d.anyHost(rng)
	for ctx.Err() == nil {
		if h == nil || h.running() == nil || rng.IntN(20) == 0 {
			h = c.d.anyHost(rng)
			time.Sleep(time.Millisecond)
			continue
		}
		c.submit(client, rng, h, maxSends)
		time.Sleep(time.Duration(rng.IntN(thinkMS)) * time.Millisecond)
	}
}

// submit sends a job until its fate is known, or so many times.
func (c *callers) submit(client *http.Client, rng *rand.Rand, h *hostNode, sends int) *job {
	c.mu.Lock()
	c.next++
	j := &job{id: fmt.Sprintf("%016x", c.next), tasks: 1 + rng.IntN(6)}
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	takes := fmt.Sprintf("%dms", 20+rng.IntN(600))
	if rng.IntN(10) == 0 {
		takes = fmt.Sprintf("%dms", 600+rng.IntN(2000))
	}
	for n := range sends {
		if n > 0 {
			time.Sleep(resendTime)
			if other := c.d.anyHost(rng); other != nil {
				h = other
			}
		}
		a := c.send(client, h, j, takes, rng.Float64() < leaveShare)
		c.mu.Lock()
		j.attempts = append(j.attempts, a)
		c.mu.Unlock()
		if a.left || a.status == http.StatusOK || a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			break
		}
	}
	return j
}

func (c *callers) send(client *http.Client, h *hostNode, j *job, takes string, leaves bool) attempt {
	a := attempt{host: h, sent: time.Now(), left: leaves}
	ctx := context.Background()
	if leaves {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, rand.N(300*time.Millisecond))
		defer cancel()
	}
	a.status, a.state, a.err = post(ctx, client, "http://"+h.front+"/jobs/"+j.id, fleetsim.Submission(takes, j.tasks, taskCPU))
	a.ended = time.Now()
	a.left = leaves && a.err != nil
	return a
}

func post(ctx context.Context, client *http.Client, url string, body any) (int, string, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return 0, "", err
	}
	req.Host = fleetsim.CallerHost
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerPatience.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	var decoded struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(answer, &decoded); err != nil {
		return 0, "", err
	}
	return resp.StatusCode, decoded.State, nil
}
