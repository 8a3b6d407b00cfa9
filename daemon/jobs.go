package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/ticket"
)

// replyMargin is how much longer than its wait a request stays open for the state machine's reply.
const replyMargin = 2 * time.Second

// operation is one request about a job, from a caller or a peer.
type operation struct {
	kind   forward.Operation
	id     ticket.ID
	ticket ticket.Ticket
	job    *api.Job
	wait   time.Duration
}

// perform runs an operation and returns the reply, or nil if the caller has disconnected.
func (d *Daemon) perform(ctx context.Context, op operation) *api.Reply {
	waiter, replies := d.loop.newWaiter()
	defer d.loop.dropWaiter(waiter)
	owned := op.ticket.Incarnation == d.incarnation
	ev, err := d.operationEvent(op, owned, waiter)
	if err != nil {
		return api.Refusal(err)
	}
	d.loop.send(ev)
	return awaitReply(ctx, replies, op.wait, replyWaitOptions{
		onTimeout: func() {
			if owned {
				d.loop.send(dispatch.WaiterTimeout{ID: op.id, Waiter: waiter})
			}
		},
		onAbandoned: func() { d.sendWaiterGone(op.id, owned, waiter) },
		ticket:      op.id,
		field:       "ticket",
	})
}

// replyWaitOptions configures awaitReply.
type replyWaitOptions struct {
	onTimeout   func() // called at the end of the wait; the state machine then owes a reply
	onAbandoned func() // called when nobody waits for the reply any more
	// ticket and field go into the reply that is returned if the state machine's reply does not come
	// in time.
	ticket ticket.ID
	field  string
}

// awaitReply waits for the reply, and replyMargin longer after the wait has ended. It returns nil if
// the caller has disconnected, and outcome unknown if no reply came.
func awaitReply(ctx context.Context, replies <-chan *api.Reply, wait time.Duration, w replyWaitOptions) *api.Reply {
	for _, period := range []struct {
		length time.Duration
		onEnd  func()
	}{{wait, w.onTimeout}, {replyMargin, w.onAbandoned}} {
		timer := time.NewTimer(period.length)
		defer timer.Stop()
		select {
		case r := <-replies:
			return r
		case <-ctx.Done():
			w.onAbandoned()
			return nil
		case <-timer.C:
			period.onEnd()
		}
	}
	return &api.Reply{Schema: api.Schema, Ticket: w.ticket, Outcome: api.Unknown,
		Reason: api.Errorf(api.CodeOwnerAway, w.field, "no reply about the job came in time; ask again")}
}

func (d *Daemon) sendWaiterGone(id ticket.ID, owned bool, waiter dispatch.WaiterID) {
	if owned {
		d.loop.send(dispatch.WaiterGone{ID: id, Waiter: waiter})
		return
	}
	d.loop.send(forward.WaiterGone{Waiter: waiter})
}

// operationEvent returns the event for an operation: of package dispatch if this process owns the
// ticket, otherwise of package forward.
func (d *Daemon) operationEvent(op operation, owned bool, waiter dispatch.WaiterID) (core.Event, *api.Error) {
	if !owned {
		return newForwardRequest(op, waiter)
	}
	noWait := op.wait <= 0
	switch op.kind {
	case forward.Submit:
		return dispatch.Submit{ID: op.id, Ticket: op.ticket, Job: op.job, Digest: jobDigest(op.job), Waiter: waiter, NoWait: noWait}, nil
	case forward.Cancel:
		return dispatch.Cancel{ID: op.id, Waiter: waiter}, nil
	}
	return dispatch.Await{ID: op.id, Waiter: waiter, NoWait: noWait}, nil
}

func newForwardRequest(op operation, waiter dispatch.WaiterID) (core.Event, *api.Error) {
	req := forward.Request{ID: op.id, Ticket: op.ticket, Operation: op.kind, Wait: op.wait, Waiter: waiter}
	if op.job != nil {
		encoded, err := json.Marshal(op.job)
		if err != nil {
			return nil, api.Errorf(api.CodeMalformed, "", "the job cannot be encoded: %v", err)
		}
		req.Job = encoded
		req.Digest = jobDigest(op.job)
	}
	return req, nil
}

// jobDigest returns a hash of the job without its ticket and its wait, so that a repeated submission
// has the same digest.
func jobDigest(job *api.Job) uint64 {
	body := *job
	body.Ticket, body.WaitMS = "", nil
	// Encoding cannot fail for a job that was decoded from JSON.
	encoded, _ := json.Marshal(&body)
	return xxhash.Sum64(encoded)
}

// mintTickets returns n tickets of this incarnation.
func (d *Daemon) mintTickets(n int, maxDeadline time.Duration) []ticket.Ticket {
	var out []ticket.Ticket
	d.loop.query(func(now time.Duration, s *core.State) {
		out = s.Dispatch.Mint(now, n, d.settings.Tickets.Window, maxDeadline)
	})
	return out
}

// recordFetch records that the final reply of a job of this process was passed on, to its caller or to
// another host (relayed).
func (d *Daemon) recordFetch(owner ticket.Incarnation, reply *api.Reply, relayed bool) {
	if reply.Final() && owner == d.incarnation {
		d.loop.send(dispatch.AnswerFetched{ID: reply.Ticket, Relayed: relayed})
	}
}
