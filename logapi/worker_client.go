package logapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrLeaseLapsed says that a lease lapsed. It is never granted again, and the platform
// has stopped its tasks.
var ErrLeaseLapsed = errors.New("the lease has lapsed")

// RenewLease grants a lease or renews it for ttl from now. The error is marked with
// ErrLeaseLapsed if the lease lapsed; after any other the lease may be granted.
func (c *Client) RenewLease(ctx context.Context, lease string, ttl time.Duration) error {
	req := LeaseRequest{Lease: lease, TTLMS: int(ttl.Milliseconds())}
	status, err := c.post(ctx, PathLeases, req, nil)
	if status == http.StatusGone {
		return errors.Wrapf(ErrLeaseLapsed, "renewing lease %s", lease)
	}
	return errors.Wrapf(err, "renewing lease %s", lease)
}

// StartTasks starts tasks under a lease. After an error, each of them may have started.
func (c *Client) StartTasks(ctx context.Context, batch StartBatch) ([]TaskAnswer, error) {
	return c.batch(ctx, PathStarts, batch, len(batch.Tasks))
}

// ReadTasks reads tasks back by identity.
func (c *Client) ReadTasks(ctx context.Context, tasks []TaskID) ([]TaskAnswer, error) {
	return c.batch(ctx, PathReads, TaskBatch{Tasks: tasks}, len(tasks))
}

// StopTasks stops tasks. It is idempotent. An identity that is not known is recorded, so
// that a start which arrives later has no effect; its view says that it never started.
func (c *Client) StopTasks(ctx context.Context, tasks []TaskID) ([]TaskAnswer, error) {
	return c.batch(ctx, PathStops, TaskBatch{Tasks: tasks}, len(tasks))
}

// ThrottleTasks sets the speed of running tasks. It is idempotent.
func (c *Client) ThrottleTasks(ctx context.Context, tasks []TaskSpeed) ([]TaskAnswer, error) {
	return c.batch(ctx, PathThrottles, ThrottleBatch{Tasks: tasks}, len(tasks))
}

// CheckpointTasks checkpoints and ends running tasks.
func (c *Client) CheckpointTasks(ctx context.Context, tasks []TaskID) ([]TaskAnswer, error) {
	return c.batch(ctx, PathCheckpoints, TaskBatch{Tasks: tasks}, len(tasks))
}

// EndedTasks returns the tasks of a lease that ended after a position, waiting up to
// wait for the first.
func (c *Client) EndedTasks(ctx context.Context, lease string, after int, wait time.Duration) (*EndedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	path := strings.Replace(PathEnded, "{lease}", url.PathEscape(lease), 1)
	reply := new(EndedReply)
	_, err := c.get(ctx, fmt.Sprintf("%s%s?after=%d&wait_ms=%d", c.base, path, after, wait.Milliseconds()), reply)
	return reply, errors.Wrapf(err, "reading the ended tasks of lease %s", lease)
}

// Usage returns the lagging usage of every worker.
func (c *Client) Usage(ctx context.Context) ([]Usage, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var reply []Usage
	_, err := c.get(ctx, c.base+PathUsage, &reply)
	return reply, errors.Wrap(err, "reading the usage of workers")
}

func (c *Client) batch(ctx context.Context, path string, body any, n int) ([]TaskAnswer, error) {
	var reply TaskReply
	if _, err := c.post(ctx, path, body, &reply); err != nil {
		return nil, errors.Wrapf(err, "posting %s", path)
	}
	if len(reply.Answers) != n {
		return nil, errors.Newf("posting %s: %d answers to %d operations", path, len(reply.Answers), n)
	}
	return reply.Answers, nil
}

// post sends a JSON message at most once and decodes the answer of status 200 into the
// target, unless that is nil. The status is 0 if there was no answer.
func (c *Client) post(ctx context.Context, path string, body, into any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	// A body that cannot be rewound keeps the transport from sending the message twice.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, io.MultiReader(bytes.NewReader(encoded)))
	if err != nil {
		return 0, err
	}
	req.ContentLength = int64(len(encoded))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, errors.Newf("the platform answered %s", resp.Status)
	}
	if into == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, decode(resp.Body, into)
}
