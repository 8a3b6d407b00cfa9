package daemon

import (
	"context"
	"encoding/json"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/peer/peerpb"
	"sesameledge.dev/sesameledge/ticket"
)

// maxAnswerSearchPeers is the largest number of peers that are asked for an answer. Several are asked
// because hosts that restart one after the other pass their stored answers on.
const maxAnswerSearchPeers = 3

// findAnswer asks the peers that may hold the answers of a drained owner. It sends them the request
// itself, so that for a submission they compare its job with that of the answer. None of them can
// start the job, because the request names another incarnation.
func (d *Daemon) findAnswer(e forward.FindAnswer) forward.AnswerSearched {
	peers := d.livePeersAfter(e.Request.Ticket.Host)
	if len(peers) > 1 {
		otherZonesFirst(peers[1:], peers[0].Zone) // the second copy is in another zone
	}
	peers = peers[:min(len(peers), maxAnswerSearchPeers)]
	ctx, cancel := context.WithTimeout(d.ctx, e.Limit)
	defer cancel()
	replies := make(chan *api.Reply, len(peers))
	for _, p := range peers {
		go func() { replies <- d.requestStoredAnswer(ctx, p.Address, e.Request) }()
	}
	for range peers {
		if r := <-replies; r != nil {
			return forward.AnswerSearched{Waiter: e.Request.Waiter, Reply: r}
		}
	}
	return forward.AnswerSearched{Waiter: e.Request.Waiter}
}

// requestStoredAnswer asks one peer for an answer. It returns nil if the peer does not have it or
// cannot be reached.
func (d *Daemon) requestStoredAnswer(ctx context.Context, address string, req forward.Request) *api.Reply {
	reply, err := d.peers.Forward(ctx, address, encodeForwardRequest(req, 0))
	if err != nil || reply.WrongIncarnation {
		return nil
	}
	return decodeReply(reply)
}

// decodeReply decodes the reply of a peer, or returns nil if that fails.
func decodeReply(reply *peerpb.ForwardReply) *api.Reply {
	r := new(api.Reply)
	if err := json.Unmarshal(reply.Reply, r); err != nil {
		return nil
	}
	return r
}

// hasStoredAnswer reports whether this host stores an answer of a drained host for the ticket.
func (d *Daemon) hasStoredAnswer(id ticket.ID) bool {
	kept := false
	d.loop.query(func(now time.Duration, s *core.State) { kept = s.Forward.HasStoredAnswer(now, id) })
	return kept
}

// storedReply returns the reply from the answer stored for a drained host, or nil if there is none.
func (d *Daemon) storedReply(op operation) *api.Reply {
	var reply *api.Reply
	req := forward.Request{ID: op.id, Ticket: op.ticket, Operation: op.kind}
	if op.job != nil {
		req.Digest = jobDigest(op.job)
	}
	d.loop.query(func(now time.Duration, s *core.State) { reply = s.Forward.StoredReply(now, req) })
	return reply
}

func encodeForwardRequest(req forward.Request, wait time.Duration) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		Operation:   operationToProto[req.Operation],
		Ticket:      string(req.ID),
		Incarnation: uint64(req.Ticket.Incarnation),
		Job:         req.Job,
		WaitMs:      wait.Milliseconds(),
	}
}
