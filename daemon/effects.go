package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc"
	grpcpeer "google.golang.org/grpc/peer"

	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/peer/peerpb"
)

// cancelTimeout limits a cancellation request to a minion.
const cancelTimeout = time.Second

// forwardMargin is added to the wait of a forwarded request for the round trip to the owner.
const forwardMargin = 500 * time.Millisecond

// runEffect carries out one effect of the state machine. It must not block, because the event loop
// waits for it.
func (d *Daemon) runEffect(e core.Effect) {
	switch e := e.(type) {
	case dispatch.StartAttempt:
		if e.Endpoint.Worker {
			d.workers.Start(e)
			return
		}
		go func() { d.loop.send(d.runAttempt(e)) }()
	case dispatch.CancelAttempts:
		if e.Endpoint.Worker {
			d.workers.Cancel(e)
			return
		}
		go d.cancelAttempts(e)
	case dispatch.ReduceWorkerLoad:
		d.workers.ReduceLoad(e)
	case dispatch.ReplyTo:
		d.loop.deliverReply(e.Waiter, e.Reply)
	case dispatch.Violation:
		level.Error(d.logs.dispatch).Log("msg", "invariant violated; the job was failed", "ticket", e.Ticket, "detail", e.Message)
	case forward.SendToOwner:
		go func() { d.loop.send(d.forwardToOwner(e)) }()
	case forward.FindAnswer:
		go func() { d.loop.send(d.findAnswer(e)) }()
	case forward.ReplyTo:
		d.loop.deliverReply(e.Waiter, e.Reply)
	case member.PeerConfigAhead:
		d.HandlePeerRevision(e.Host, e.Revision)
	case member.Effect:
		d.runMemberEffect(e)
	default:
		d.runLogEffect(e)
	}
}

// runAttempt runs an attempt within its remaining time. It recomputes that time, because the process
// may have been paused since the state machine decided to start the attempt.
func (d *Daemon) runAttempt(e dispatch.StartAttempt) dispatch.AttemptEnded {
	e.Remaining = min(e.Remaining, e.Deadline-d.loop.now())
	if e.Remaining <= 0 {
		return dispatch.AttemptEnded{Task: e.Task, Attempt: e.Attempt, Outcome: dispatch.AttemptNotStarted,
			Reason: "the deadline passed before the attempt", ReportedLoad: -1}
	}
	return d.backend.Run(d.ctx, e)
}

func (d *Daemon) cancelAttempts(e dispatch.CancelAttempts) {
	ctx, cancel := context.WithTimeout(d.ctx, cancelTimeout)
	defer cancel()
	if err := d.backend.Cancel(ctx, e); err != nil {
		level.Debug(d.logs.backend).Log("msg", "cancellation failed", "endpoint", e.Endpoint.ID, "tasks", len(e.Tasks), "err", err)
	}
}

// forwardToOwner forwards a request to the owner of its ticket and returns the result as an event.
func (d *Daemon) forwardToOwner(e forward.SendToOwner) forward.Event {
	waiter := e.Request.Waiter
	address, ok := d.peerAddress(e.Request.Ticket.Host, e.Request.Ticket.Incarnation)
	if !ok {
		return forward.OwnerFailed{Waiter: waiter, Reason: "host " + e.Request.Ticket.Host + " is not known", NotSent: true}
	}
	ctx, cancel := context.WithTimeout(d.ctx, e.Wait+forwardMargin)
	defer cancel()
	// gRPC leaves the address empty if it opened no stream; then nothing was sent.
	var remote grpcpeer.Peer
	reply, err := d.peers.Forward(ctx, address, encodeForwardRequest(e.Request, e.Wait), grpc.Peer(&remote))
	d.reportForwardResult(e, err)
	if err != nil {
		return forward.OwnerFailed{Waiter: waiter, Reason: "no answer from " + e.Request.Ticket.Host, NotSent: remote.Addr == nil}
	}
	if reply.WrongIncarnation {
		return forward.OwnerReplaced{Waiter: waiter, Host: e.Request.Ticket.Host, CurrentIncarnation: decodeIncarnation(reply.Incarnation)}
	}
	r := decodeReply(reply)
	if r == nil {
		return forward.OwnerFailed{Waiter: waiter, Reason: "unreadable answer from " + e.Request.Ticket.Host}
	}
	return forward.OwnerReplied{Waiter: waiter, Reply: r}
}

var operationToProto = map[forward.Operation]peerpb.Operation{
	forward.Submit: peerpb.Operation_OPERATION_SUBMIT,
	forward.Await:  peerpb.Operation_OPERATION_AWAIT,
	forward.Cancel: peerpb.Operation_OPERATION_CANCEL,
}
