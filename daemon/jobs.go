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

// replyMargin is how long a request is held beyond its wait, for the reducer's reply.
const replyMargin = 2 * time.Second

// operation is one request about a job, from a caller or from a peer.
type operation struct {
	kind   forward.Operation
	id     ticket.ID
	ticket ticket.Ticket
	job    *api.Job
	wait   time.Duration
}

// perform runs an operation and returns the reply, or nil if the caller went away.
func (d *Daemon) perform(ctx context.Context, op operation) *api.Reply {
	waiter, replies := d.loop.newWaiter()
	defer d.loop.dropWaiter(waiter)
	own := op.ticket.Incarnation == d.incarnation
	ev, err := d.operationEvent(op, own, waiter)
	if err != nil {
		return api.Refusal(err)
	}
	d.loop.send(ev)
	return awaitReply(ctx, replies, op.wait, replyWait{
		timedOut: func() {
			if own {
				d.loop.send(dispatch.WaiterTimeout{ID: op.id, Waiter: waiter})
			}
		},
		gone:   func() { d.waiterGone(op.id, own, waiter) },
		ticket: op.id,
		field:  "ticket",
	})
}

// replyWait says what to do while a request waits for its reply.
type replyWait struct {
	timedOut func() // at the end of the wait, after which the reducer owes a reply
	gone     func() // when nobody waits any more
	// ticket and field are those of the reply if the reducer's does not come in time.
	ticket ticket.ID
	field  string
}

// awaitReply returns the reply, or nil if the caller went away.
func awaitReply(ctx context.Context, replies <-chan *api.Reply, wait time.Duration, w replyWait) *api.Reply {
	for _, period := range []struct {
		time time.Duration
		over func()
	}{{wait, w.timedOut}, {replyMargin, w.gone}} {
		timer := time.NewTimer(period.time)
		defer timer.Stop()
		select {
		case r := <-replies:
			return r
		case <-ctx.Done():
			w.gone()
			return nil
		case <-timer.C:
			period.over()
		}
	}
	return &api.Reply{Schema: api.Schema, Ticket: w.ticket, Outcome: api.Unknown,
		Reason: api.Errorf(api.CodeOwnerAway, w.field, "no reply about the job came in time; ask again")}
}

func (d *Daemon) waiterGone(id ticket.ID, own bool, waiter dispatch.WaiterID) {
	if own {
		d.loop.send(dispatch.WaiterGone{ID: id, Waiter: waiter})
		return
	}
	d.loop.send(forward.WaiterGone{Waiter: waiter})
}

// operationEvent translates an operation into the event of the reducer that owns it.
func (d *Daemon) operationEvent(op operation, own bool, waiter dispatch.WaiterID) (core.Event, *api.Error) {
	if !own {
		return forwardRequest(op, waiter)
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

func forwardRequest(op operation, waiter dispatch.WaiterID) (core.Event, *api.Error) {
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

// jobDigest identifies what a submission asks for, without its ticket and its wait.
func jobDigest(job *api.Job) uint64 {
	body := *job
	body.Ticket, body.WaitMS = "", nil
	// A job that was decoded from JSON always encodes.
	encoded, _ := json.Marshal(&body)
	return xxhash.Sum64(encoded)
}

// mint returns n tickets of this incarnation.
func (d *Daemon) mint(n int, maxDeadline time.Duration) []ticket.Ticket {
	var out []ticket.Ticket
	d.loop.query(func(now time.Duration, s *core.State) {
		out = s.Dispatch.Mint(now, n, d.settings.Tickets.Window, maxDeadline)
	})
	return out
}

// noteFetched records that the final reply of an own job was handed on.
func (d *Daemon) noteFetched(owner ticket.Incarnation, reply *api.Reply, relayed bool) {
	if reply.Final() && owner == d.incarnation {
		d.loop.send(dispatch.AnswerFetched{ID: reply.Ticket, Relayed: relayed})
	}
}
