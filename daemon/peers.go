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

func decodeIncarnation(n uint64) ticket.Incarnation { return ticket.Incarnation(n) }

// peerServer serves the gRPC requests of other entry hosts.
type peerServer struct {
	peerpb.UnimplementedPeerServer
	daemon *Daemon
}

// Forward performs a request about a ticket of this incarnation. For a ticket of another incarnation
// it only returns an answer that this host stores for a drained host.
func (p *peerServer) Forward(ctx context.Context, req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	if decodeIncarnation(req.Incarnation) != p.daemon.incarnation {
		return p.replyForOtherIncarnation(req)
	}
	op, err := p.daemon.decodeOperation(req)
	if err != nil {
		return nil, err
	}
	reply := p.daemon.perform(ctx, op)
	if reply == nil {
		return nil, status.Error(codes.Canceled, "the request was cancelled")
	}
	encoded, err := p.encodeReply(reply)
	if err == nil {
		p.daemon.recordFetch(op.ticket.Incarnation, reply, true)
	}
	return encoded, err
}

// replyForOtherIncarnation replies to a request for another incarnation. It decodes the request only
// if this host stores an answer for its ticket. Otherwise the reply WrongIncarnation is valid also for
// a job of a newer schema version that this host could not decode.
func (p *peerServer) replyForOtherIncarnation(req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	if p.daemon.hasStoredAnswer(ticket.ID(req.Ticket)) {
		op, err := p.daemon.decodeOperation(req)
		if err != nil {
			return nil, err
		}
		if reply := p.daemon.storedReply(op); reply != nil {
			return p.encodeReply(reply)
		}
	}
	return &peerpb.ForwardReply{WrongIncarnation: true, Incarnation: uint64(p.daemon.incarnation)}, nil
}

func (p *peerServer) encodeReply(reply *api.Reply) (*peerpb.ForwardReply, error) {
	encoded, err := json.Marshal(reply)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peerpb.ForwardReply{Incarnation: uint64(p.daemon.incarnation), Reply: encoded}, nil
}

// decodeOperation decodes a forwarded request. Its errors are gRPC status errors.
func (d *Daemon) decodeOperation(req *peerpb.ForwardRequest) (operation, error) {
	id := ticket.ID(req.Ticket)
	parsed, err := ticket.Parse(id)
	if err != nil {
		return operation{}, status.Error(codes.InvalidArgument, err.Error())
	}
	op := operation{id: id, ticket: parsed, wait: time.Duration(req.WaitMs) * time.Millisecond}
	switch req.Operation {
	case peerpb.Operation_OPERATION_SUBMIT:
		op.kind = forward.Submit
		job, refusal := api.DecodeJob(bytes.NewReader(req.Job), d.requestLimits())
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
