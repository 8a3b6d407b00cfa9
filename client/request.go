package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
)

// submitOnce returns the reply and the number of hosts that may have received the job.
func (c *Client) submitOnce(ctx context.Context, job *api.Job) (*api.Reply, int, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, 0, errors.Wrap(err, "encoding the job")
	}
	return c.requestReply(ctx, jobWait(job), http.MethodPost, "/v1/jobs", body)
}

// jobWait returns how long a host may hold the submission while it waits for the job's answer.
func jobWait(job *api.Job) time.Duration {
	if job.WaitMS == nil {
		return maxJobWait
	}
	return time.Duration(*job.WaitMS) * time.Millisecond
}

// requestReply sends a request about a job and decodes the reply. It returns the number of hosts that may
// have received the request.
func (c *Client) requestReply(ctx context.Context, wait time.Duration, method, path string, body []byte) (*api.Reply, int, error) {
	var reply *api.Reply
	sent, err := c.tryHosts(ctx, wait, method, path, body, func(text []byte) error {
		reply = new(api.Reply)
		if err := json.Unmarshal(text, reply); err != nil {
			return errors.Wrap(err, "decoding the reply")
		}
		if reply.Outcome == "" {
			return errors.New("the host's reply has no outcome")
		}
		return nil
	})
	return reply, sent, err
}

// tryHosts sends the request to each host once, first to the one that answered last, until decode accepts
// a response. Each host may take wait plus responseMargin. tryHosts returns the number of hosts that may
// have received the request. The error is the context's error, or is marked with ErrNoHost.
func (c *Client) tryHosts(ctx context.Context, wait time.Duration, method, path string, body []byte, decode func([]byte) error) (int, error) {
	c.mu.Lock()
	first := c.firstHost
	c.mu.Unlock()
	lastErr := errors.New("no host is configured")
	sent := 0
	for i := range c.opts.Hosts {
		index := (first + i) % len(c.opts.Hosts)
		hostCtx, cancel := context.WithTimeout(ctx, wait+responseMargin)
		err := c.sendTo(hostCtx, c.opts.Hosts[index], method, path, body, decode)
		cancel()
		if !dialFailed(err) {
			sent++
		}
		if err == nil {
			c.mu.Lock()
			c.firstHost = index
			c.mu.Unlock()
			return sent, nil
		}
		if ctx.Err() != nil {
			return sent, ctx.Err()
		}
		lastErr = err
	}
	return sent, errors.Mark(errors.Wrap(lastErr, "no entry host answered"), ErrNoHost)
}

// dialFailed reports whether a request failed because no connection could be opened.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// sendTo sends the request to one host and decodes the response.
func (c *Client) sendTo(ctx context.Context, host, method, path string, body []byte, decode func([]byte) error) error {
	req, err := http.NewRequestWithContext(ctx, method, host+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building the request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "reading the reply")
	}
	return decode(text)
}
