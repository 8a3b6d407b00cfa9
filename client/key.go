package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/internal/pause"
)

// ErrNoKey means that RunKey was called with a job that has no key.
var ErrNoKey = errors.New("the job has no key")

// Epoch returns the epoch to send with new keys. The error is the context's error, or is marked with
// ErrNoHost if no host returned an epoch.
func (c *Client) Epoch(ctx context.Context) (uint64, error) {
	var epoch uint64
	_, err := c.tryHosts(ctx, 0, http.MethodGet, "/v1/epoch", nil, func(text []byte) error {
		var reply struct {
			Epoch *uint64 `json:"key_epoch"`
		}
		if err := json.Unmarshal(text, &reply); err != nil || reply.Epoch == nil {
			return errors.Newf("the host returned no epoch: %.200s", text)
		}
		epoch = *reply.Epoch
		return nil
	})
	return epoch, err
}

// RunKey submits a job under the caller's own key, which is unique in its team, and returns
// its final reply. It resubmits the same job with the same key and epoch, through the other
// hosts in turn, while replies are unknown or connections are lost. The job runs at most
// once.
//
// If the job has no KeyEpoch, RunKey fetches an epoch first. A caller whose key must survive a restart of
// its process fetches the epoch itself, stores key and epoch together, and passes both again after the
// restart:
//
//	epoch, err := c.Epoch(ctx)
//	if err != nil {
//		return err // nothing was submitted
//	}
//	order.Key, order.Epoch = "award-7731", epoch
//	if err := store.Save(order); err != nil {
//		return err
//	}
//	reply, err := c.RunKey(ctx, api.Job{
//		Key: order.Key, KeyEpoch: &order.Epoch, Team: "abzeichenwerk", Kind: "badge-award",
//		Tasks: []api.Task{{Payload: order.Payload}},
//	})
//
// If the context ends first, the error is the context's error, the job may have run, and the
// reply is the last one or nil. RunKey gives up with an unknown reply and no error only if
// all hosts in turn find the request bad, for example because the key belongs to another
// job. Other errors are ErrNoKey and ErrNoHost, the latter if no epoch could be fetched; the job
// was not submitted then.
func (c *Client) RunKey(ctx context.Context, job api.Job) (*api.Reply, error) {
	if job.Key == "" {
		return nil, ErrNoKey
	}
	run := keyRun{client: c}
	if job.KeyEpoch == nil {
		epoch, err := c.Epoch(ctx)
		if err != nil {
			return nil, err
		}
		job.KeyEpoch, run.epochIsNew = &epoch, true
	}
	job.Schema, job.Ticket = api.Schema, ""
	if job.WaitMS == nil {
		wait := defaultJobWait.Milliseconds()
		job.WaitMS = &wait
	}
	return run.untilFinal(ctx, &job)
}

// keyRun is the state of one call of RunKey.
type keyRun struct {
	client      *Client
	epochIsNew  bool // RunKey fetched the epoch, so no earlier process has submitted the job
	sent        int  // hosts that may have received the job
	badRequests int  // consecutive replies that found the request bad
}

// untilFinal submits the job until the outcome is final or submitting again is of no use.
func (k *keyRun) untilFinal(ctx context.Context, job *api.Job) (*api.Reply, error) {
	var last *api.Reply
	for {
		reply, n, err := k.client.submitOnce(ctx, job)
		k.sent += n
		if err == nil {
			last = reply
			if k.handleReply(reply) {
				return reply, nil
			}
		}
		if !pause.For(ctx, k.client.opts.RetryDelay) {
			return last, ctx.Err()
		}
	}
}

// handleReply reports whether submitting again is of no use. A refusal without a ticket, or an unknown
// outcome because of a bad request, comes from a host that could not read the submission. It proves that
// the job did not run only if this was the only submission.
func (k *keyRun) handleReply(r *api.Reply) bool {
	onlySubmission := k.epochIsNew && k.sent == 1
	switch {
	case r.Final(), r.Outcome == api.Refused && (onlySubmission || r.Ticket != ""):
		return true
	case r.BadRequest() && onlySubmission:
		r.Outcome = api.Refused
		return true
	case r.BadRequest():
		k.badRequests++
	default:
		k.badRequests = 0
	}
	if r.Outcome == api.Refused {
		r.Outcome = api.Unknown // another host may have run the job
	}
	if !hasReason(r, api.CodeRunning) {
		k.client.preferNextHost()
	}
	return k.badRequests >= max(len(k.client.opts.Hosts), 1)
}
