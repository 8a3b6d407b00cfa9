package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"sesameledge.dev/sesameledge/standin/fleetsim"
)

const (
	// callerDeadline is the deadline that a caller sends with its request.
	callerDeadline = 3 * time.Second
	// answerGracePeriod is how long after callerDeadline the caller still waits for the answer.
	answerGracePeriod = time.Second
	// resendDelay is how long a caller waits before it sends a job with an unknown outcome again.
	resendDelay = 1300 * time.Millisecond
	// maxSends limits how often a job is sent.
	maxSends = 4
	// maxPauseMS limits the pause between two jobs of a caller, in ms.
	maxPauseMS = 300
	// cancelShare is the fraction of the requests that a caller cancels before the answer.
	cancelShare = 0.05
	// leaveShare is the fraction of the callers of a paused host that leave during the pause, within maxLeaveDelay
	// of its beginning, and send their jobs again.
	leaveShare    = 0.5
	maxLeaveDelay = time.Second
)

// attempt is one request that submits a job, and its answer.
type attempt struct {
	host        *hostNode
	sent, ended time.Time
	connOpened  time.Time // when the connection that carried the request was opened; zero if there was none
	status      int       // HTTP status, 0 if there was no answer
	state       string    // of the job, from the answer
	cancelled   bool      // by the caller, before the answer
	returns     bool      // the caller that has cancelled sends the job again
	err         error
}

// job is a job with all its requests.
type job struct {
	id       string
	tasks    int
	attempts []attempt
}

// callers submits jobs and records all requests.
type callers struct {
	deployment    *deployment
	mu            sync.Mutex
	jobs          []*job
	lastJobNumber int
}

// runCaller submits jobs, one at a time, until ctx ends. Connections stay open until a host closes them.
func (c *callers) runCaller(ctx context.Context, rng *rand.Rand) {
	client := newCallerClient()
	defer client.CloseIdleConnections()
	h := c.deployment.randomRunningHost(rng)
	for ctx.Err() == nil {
		if h == nil || h.running() == nil || rng.IntN(20) == 0 {
			h = c.deployment.randomRunningHost(rng)
			time.Sleep(time.Millisecond)
			continue
		}
		c.submit(client, rng, h, maxSends)
		time.Sleep(time.Duration(rng.IntN(maxPauseMS)) * time.Millisecond)
	}
}

// datedConn is a connection that knows when it was opened.
type datedConn struct {
	net.Conn
	opened time.Time
}

// newCallerClient returns a client that keeps one connection to each host open.
func newCallerClient() *http.Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &datedConn{Conn: conn, opened: time.Now()}, nil
	}
	return &http.Client{Timeout: callerDeadline + answerGracePeriod, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: dial}}
}

// recordConnection makes a request note when the connection that carries it was opened.
func (a *attempt) recordConnection(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*datedConn); ok {
			a.connOpened = conn.opened
		}
	}})
}

// submit sends a new job until its outcome is known or the caller cancels, at most sendLimit times.
func (c *callers) submit(client *http.Client, rng *rand.Rand, h *hostNode, sendLimit int) *job {
	c.mu.Lock()
	c.lastJobNumber++
	j := &job{id: fmt.Sprintf("%016x", c.lastJobNumber), tasks: 1 + rng.IntN(6)}
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	taskDuration := fmt.Sprintf("%dms", 20+rng.IntN(600))
	if rng.IntN(10) == 0 {
		taskDuration = fmt.Sprintf("%dms", 600+rng.IntN(2000))
	}
	for n := range sendLimit {
		if n > 0 {
			time.Sleep(resendDelay)
			if other := c.deployment.randomRunningHost(rng); other != nil {
				h = other
			}
		}
		a := c.send(client, h, j, taskDuration, rng.Float64() < cancelShare)
		c.mu.Lock()
		j.attempts = append(j.attempts, a)
		c.mu.Unlock()
		if a.cancelled && !a.returns || a.status == http.StatusOK || a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			break
		}
	}
	return j
}

// send sends a job once. If cancels is set, the caller cancels the request after at most 300 ms. Otherwise it may do so
// while the host is paused, and returns then unless the host could not hear of it.
func (c *callers) send(client *http.Client, h *hostNode, j *job, taskDuration string, cancels bool) attempt {
	a := attempt{host: h, sent: time.Now(), cancelled: cancels}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if cancels {
		time.AfterFunc(rand.N(300*time.Millisecond), cancel)
	} else if rand.Float64() < leaveShare {
		go leaveInPause(ctx, h, cancel)
	}
	a.status, a.state, a.err = postJob(a.recordConnection(ctx), client, "http://"+h.callersAddress+"/jobs/"+j.id, fleetsim.JobBody(taskDuration, j.tasks, taskMillicores))
	a.ended = time.Now()
	a.cancelled = a.err != nil && ctx.Err() != nil
	a.returns = !cancels && !h.hadFrontFault(a.sent, a.ended.Add(resendDelay)) && !h.silenced(a.connOpened)
	return a
}

// leaveInPause cancels a request during the next pause of its host, unless the request ends before.
func leaveInPause(ctx context.Context, h *hostNode, cancel func()) {
	select {
	case <-h.nextPause():
		time.Sleep(rand.N(maxLeaveDelay))
		cancel()
	case <-ctx.Done():
	}
}

// postJob posts a submission with callerDeadline and returns the HTTP status and the job's state.
func postJob(ctx context.Context, client *http.Client, url string, body any) (int, string, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return 0, "", err
	}
	req.Host = fleetsim.CallerHost
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	answerBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	var decoded struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(answerBody, &decoded); err != nil {
		return 0, "", err
	}
	return resp.StatusCode, decoded.State, nil
}
