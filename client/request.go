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
	return c.jobRequest(ctx, jobWait(job), http.MethodPost, "/v1/jobs", body)
}

// jobWait is how long the host may wait for the job's answer.
func jobWait(job *api.Job) time.Duration {
	if job.WaitMS == nil {
		return maxJobWait
	}
	return time.Duration(*job.WaitMS) * time.Millisecond
}

func (c *Client) jobRequest(ctx context.Context, wait time.Duration, method, path string, body []byte) (*api.Reply, int, error) {
	var reply *api.Reply
	sent, err := c.request(ctx, wait, method, path, body, func(text []byte) error {
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

// request tries each host once, beginning with the one that answered last, until decode
// takes a reply. A host may take wait and a margin. It returns the number of hosts that
// may have received the request.
func (c *Client) request(ctx context.Context, wait time.Duration, method, path string, body []byte, decode func([]byte) error) (int, error) {
	c.mu.Lock()
	first := c.first
	c.mu.Unlock()
	var lastErr error
	sent := 0
	for i := range c.opts.Hosts {
		n := (first + i) % len(c.opts.Hosts)
		limited, cancel := context.WithTimeout(ctx, wait+silence)
		err := c.requestTo(limited, c.opts.Hosts[n], method, path, body, decode)
		cancel()
		if !notSent(err) {
			sent++
		}
		if err == nil {
			c.mu.Lock()
			c.first = n
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

// notSent reports whether a request failed because no connection could be opened.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) requestTo(ctx context.Context, host, method, path string, body []byte, decode func([]byte) error) error {
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
