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

// searchedPeers bounds the peers that are asked for an answer. More than one is asked,
// because hosts that are restarted one after the other pass their stored answers on.
const searchedPeers = 3

// findAnswer asks the peers to which a drained owner may have handed its answers. They are
// asked with the request itself, so that they check the job of a submission against the
// answer; none of them can start it, because it names another incarnation.
func (d *Daemon) findAnswer(e forward.FindAnswer) forward.AnswerSearched {
	peers := d.peersAfter(e.Request.Ticket.Host)
	if len(peers) > 1 {
		otherZonesFirst(peers[1:], peers[0].Zone) // where the second copy is
	}
	peers = peers[:min(len(peers), searchedPeers)]
	ctx, cancel := context.WithTimeout(d.ctx, e.Limit)
	defer cancel()
	replies := make(chan *api.Reply, len(peers))
	for _, p := range peers {
		go func() { replies <- d.askForAnswer(ctx, p.Address, e.Request) }()
	}
	for range peers {
		if r := <-replies; r != nil {
			return forward.AnswerSearched{Waiter: e.Request.Waiter, Reply: r}
		}
	}
	return forward.AnswerSearched{Waiter: e.Request.Waiter}
}

// askForAnswer returns nil if the peer does not have the answer or cannot be reached.
func (d *Daemon) askForAnswer(ctx context.Context, address string, req forward.Request) *api.Reply {
	reply, err := d.peers.Forward(ctx, address, encodeForward(req, 0))
	if err != nil || reply.WrongIncarnation {
		return nil
	}
	return decodeReply(reply)
}

// decodeReply returns nil if the reply cannot be decoded.
func decodeReply(reply *peerpb.ForwardReply) *api.Reply {
	r := new(api.Reply)
	if err := json.Unmarshal(reply.Reply, r); err != nil {
		return nil
	}
	return r
}

// keepsAnswer reports whether this host keeps an answer of a drained host for the ticket.
func (d *Daemon) keepsAnswer(id ticket.ID) bool {
	kept := false
	d.loop.query(func(now time.Duration, s *core.State) { kept = s.Forward.Keeps(now, id) })
	return kept
}

// storedReply answers for a drained host, or returns nil.
func (d *Daemon) storedReply(op operation) *api.Reply {
	var reply *api.Reply
	req := forward.Request{ID: op.id, Ticket: op.ticket, Operation: op.kind}
	if op.job != nil {
		req.Digest = jobDigest(op.job)
	}
	d.loop.query(func(now time.Duration, s *core.State) { reply = s.Forward.StoredReply(now, req) })
	return reply
}

func encodeForward(req forward.Request, wait time.Duration) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		Operation:   forwardOperation[req.Operation],
		Ticket:      string(req.ID),
		Incarnation: uint64(req.Ticket.Incarnation),
		Job:         req.Job,
		WaitMs:      wait.Milliseconds(),
	}
}
