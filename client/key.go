package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/internal/pause"
)

// ErrNoKey means that a job was to run under a key and has none.
var ErrNoKey = errors.New("the job has no key")

// Epoch returns the epoch to send with new keys. The error is marked with ErrNoHost if no
// host could tell.
func (c *Client) Epoch(ctx context.Context) (uint64, error) {
	var epoch uint64
	_, err := c.request(ctx, 0, http.MethodGet, "/v1/epoch", nil, func(text []byte) error {
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
// Without KeyEpoch RunKey asks for an epoch first. A caller whose key must outlive its
// process asks itself, stores key and epoch together, and passes both again after a
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
// job. Other errors are ErrNoKey and ErrNoHost, the latter if no epoch could be had; the job
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
		job.KeyEpoch, run.fresh = &epoch, true
	}
	job.Schema, job.Ticket = api.Schema, ""
	if job.WaitMS == nil {
		wait := pollWait.Milliseconds()
		job.WaitMS = &wait
	}
	return run.untilFinal(ctx, &job)
}

// keyRun is the state of one RunKey.
type keyRun struct {
	client *Client
	fresh  bool // the epoch is new, so no earlier process has submitted the job
	sent   int  // hosts that may have received the job
	bad    int  // replies in a row that found the request bad
}

func (k *keyRun) untilFinal(ctx context.Context, job *api.Job) (*api.Reply, error) {
	var last *api.Reply
	for {
		reply, n, err := k.client.submitOnce(ctx, job)
		k.sent += n
		if err == nil {
			last = reply
			if k.accept(reply) {
				return reply, nil
			}
		}
		if !pause.For(ctx, k.client.opts.RetryDelay) {
			return last, ctx.Err()
		}
	}
}

// accept reports whether there is no use in submitting again. A refusal that names no ticket,
// or a complaint about the request, comes from a host that could not read the submission; it
// proves that the job did not run only if this was the only submission.
func (k *keyRun) accept(r *api.Reply) bool {
	only := k.fresh && k.sent == 1
	switch {
	case r.Final(), r.Outcome == api.Refused && (only || r.Ticket != ""):
		return true
	case r.BadRequest() && only:
		r.Outcome = api.Refused
		return true
	case r.BadRequest():
		k.bad++
	default:
		k.bad = 0
	}
	if r.Outcome == api.Refused {
		r.Outcome = api.Unknown // another host may have run the job
	}
	if !ownerIs(r, api.CodeRunning) {
		k.client.next()
	}
	return k.bad >= max(len(k.client.opts.Hosts), 1)
}
