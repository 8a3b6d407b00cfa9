package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/peer/peerpb"
	"sesameledge.dev/sesameledge/ticket"
)

func incarnation(n uint64) ticket.Incarnation { return ticket.Incarnation(n) }

// peerServer serves the requests of other entry hosts.
type peerServer struct {
	peerpb.UnimplementedPeerServer
	d *Daemon
}

// Forward performs a request about a ticket of this incarnation. For a ticket of another one
// it only gives an answer that this host keeps for a drained host.
func (p *peerServer) Forward(ctx context.Context, req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	if incarnation(req.Incarnation) != p.d.incarnation {
		return p.forOtherIncarnation(req)
	}
	op, err := p.d.forwardedOperation(req)
	if err != nil {
		return nil, err
	}
	reply := p.d.perform(ctx, op)
	if reply == nil {
		return nil, status.Error(codes.Canceled, "the request was cancelled")
	}
	encoded, err := p.encode(reply)
	if err == nil {
		p.d.noteFetched(op.ticket.Incarnation, reply, true)
	}
	return encoded, err
}

// forOtherIncarnation decodes the request only if this host keeps an answer for its ticket. A
// job of a newer schema version that it could not decode proves the same as any other.
func (p *peerServer) forOtherIncarnation(req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	if p.d.keepsAnswer(ticket.ID(req.Ticket)) {
		op, err := p.d.forwardedOperation(req)
		if err != nil {
			return nil, err
		}
		if reply := p.d.storedReply(op); reply != nil {
			return p.encode(reply)
		}
	}
	return &peerpb.ForwardReply{WrongIncarnation: true, Incarnation: uint64(p.d.incarnation)}, nil
}

func (p *peerServer) encode(reply *api.Reply) (*peerpb.ForwardReply, error) {
	encoded, err := json.Marshal(reply)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peerpb.ForwardReply{Incarnation: uint64(p.d.incarnation), Reply: encoded}, nil
}

// forwardedOperation decodes a forwarded request. Errors are gRPC statuses.
func (d *Daemon) forwardedOperation(req *peerpb.ForwardRequest) (operation, error) {
	id := ticket.ID(req.Ticket)
	parsed, err := ticket.Parse(id)
	if err != nil {
		return operation{}, status.Error(codes.InvalidArgument, err.Error())
	}
	op := operation{id: id, ticket: parsed, wait: time.Duration(req.WaitMs) * time.Millisecond}
	switch req.Operation {
	case peerpb.Operation_OPERATION_SUBMIT:
		op.kind = forward.Submit
		job, refusal := api.DecodeJob(bytes.NewReader(req.Job), d.apiLimits())
		if refusal != nil {
			return operation{}, status.Error(codes.InvalidArgument, refusal.Error())
		}
		op.job = job
	case peerpb.Operation_OPERATION_AWAIT:
		op.kind = forward.Await
	case peerpb.Operation_OPERATION_CANCEL:
		op.kind = forward.Cancel
	default:
		return operation{}, status.Error(codes.InvalidArgument, "unknown operation")
	}
	return op, nil
}
