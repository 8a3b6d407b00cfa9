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

// ErrLeaseLapsed marks the error for a lease that has lapsed. The lease is never granted again, and the
// platform has stopped its tasks.
var ErrLeaseLapsed = errors.New("the lease has lapsed")

// RenewLease requests a lease, or renews it, for ttl from now. The error is marked with ErrLeaseLapsed if
// the lease has lapsed. After any other error the lease may or may not have been granted.
func (c *Client) RenewLease(ctx context.Context, lease string, ttl time.Duration) error {
	req := LeaseRequest{Lease: lease, TTLMS: int(ttl.Milliseconds())}
	status, err := c.post(ctx, PathLeases, req, nil)
	if status == http.StatusGone {
		return errors.Wrapf(ErrLeaseLapsed, "renewing lease %s", lease)
	}
	return errors.Wrapf(err, "renewing lease %s", lease)
}

// StartTasks starts tasks under a lease and returns one answer for each task, in order. After an error, any
// of the tasks may have started.
func (c *Client) StartTasks(ctx context.Context, batch StartBatch) ([]TaskAnswer, error) {
	return c.postBatch(ctx, PathStartTasks, batch, len(batch.Tasks))
}

// ReadTasks returns the current state of tasks, in the order of their IDs.
func (c *Client) ReadTasks(ctx context.Context, tasks []TaskID) ([]TaskAnswer, error) {
	return c.postBatch(ctx, PathReadTasks, TaskBatch{Tasks: tasks}, len(tasks))
}

// StopTasks stops tasks. It is idempotent. The platform records a task that it does not know, so that a start
// which arrives later has no effect; the TaskView of such a task has Started false.
func (c *Client) StopTasks(ctx context.Context, tasks []TaskID) ([]TaskAnswer, error) {
	return c.postBatch(ctx, PathStopTasks, TaskBatch{Tasks: tasks}, len(tasks))
}

// ThrottleTasks sets the speed of running tasks. It is idempotent.
func (c *Client) ThrottleTasks(ctx context.Context, tasks []TaskSpeed) ([]TaskAnswer, error) {
	return c.postBatch(ctx, PathThrottleTasks, ThrottleBatch{Tasks: tasks}, len(tasks))
}

// CheckpointTasks checkpoints running tasks and ends them. They can be resumed with TaskStart.ResumeFrom.
func (c *Client) CheckpointTasks(ctx context.Context, tasks []TaskID) ([]TaskAnswer, error) {
	return c.postBatch(ctx, PathCheckpointTasks, TaskBatch{Tasks: tasks}, len(tasks))
}

// EndedTasks returns the ended tasks of a lease from position after on, which is EndedTasksReply.Next of the
// previous call. If there is none yet, it waits for up to wait.
func (c *Client) EndedTasks(ctx context.Context, lease string, after int, wait time.Duration) (*EndedTasksReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	path := strings.Replace(PathEndedTasks, "{lease}", url.PathEscape(lease), 1)
	reply := new(EndedTasksReply)
	_, err := c.get(ctx, fmt.Sprintf("%s%s?after=%d&wait_ms=%d", c.base, path, after, wait.Milliseconds()), reply)
	return reply, errors.Wrapf(err, "reading the ended tasks of lease %s", lease)
}

// Usage returns the resource usage of every worker; Usage.AgeMS says how old each entry is.
func (c *Client) Usage(ctx context.Context) ([]Usage, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var reply []Usage
	_, err := c.get(ctx, c.base+PathUsage, &reply)
	return reply, errors.Wrap(err, "reading the usage of workers")
}

// postBatch posts a batch and checks that the platform answers each of its operations.
func (c *Client) postBatch(ctx context.Context, path string, body any, operations int) ([]TaskAnswer, error) {
	var reply TaskReply
	if _, err := c.post(ctx, path, body, &reply); err != nil {
		return nil, errors.Wrapf(err, "posting %s", path)
	}
	if len(reply.Answers) != operations {
		return nil, errors.Newf("posting %s: %d answers to %d operations", path, len(reply.Answers), operations)
	}
	return reply.Answers, nil
}

// post sends a JSON message at most once and decodes an answer of status 200 into target, unless target is
// nil. It returns the status, or 0 if there was no answer; any status but 200 is an error.
func (c *Client) post(ctx context.Context, path string, body, target any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	// The transport cannot rewind a MultiReader, so it cannot send the message twice.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, io.MultiReader(bytes.NewReader(encoded)))
	if err != nil {
		return 0, err
	}
	req.ContentLength = int64(len(encoded))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, errors.Newf("the platform answered %s", resp.Status)
	}
	if target == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, decodeReply(resp.Body, target)
}
