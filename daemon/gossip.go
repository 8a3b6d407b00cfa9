package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/peer"
	"sesameledge.dev/sesameledge/peer/peerpb"
	"sesameledge.dev/sesameledge/ticket"
)

// gossipTimeout limits one gossip call. A call that takes longer counts as failed.
const gossipTimeout = 500 * time.Millisecond

// pendingGossipCalls holds the peers' gossip calls that wait for the state machine's reply.
type pendingGossipCalls struct {
	mu        sync.Mutex
	lastToken uint64
	replies   map[uint64]chan member.Message
}

func newPendingGossipCalls() *pendingGossipCalls {
	return &pendingGossipCalls{replies: make(map[uint64]chan member.Message)}
}

func (g *pendingGossipCalls) add() (uint64, chan member.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastToken++
	ch := make(chan member.Message, 1)
	g.replies[g.lastToken] = ch
	return g.lastToken, ch
}

// remove removes the call with this token and returns its channel, or nil if it was removed before.
func (g *pendingGossipCalls) remove(token uint64) chan member.Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	ch := g.replies[token]
	delete(g.replies, token)
	return ch
}

// Gossip passes a peer's message to the state machine and returns its reply.
func (p *peerServer) Gossip(ctx context.Context, req *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	token, answer := p.daemon.pendingGossip.add()
	defer p.daemon.pendingGossip.remove(token)
	p.daemon.loop.send(member.Received{Token: token, Message: *peer.DecodeGossip(req)})
	select {
	case m := <-answer:
		return peer.EncodeGossip(&m), nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// runMemberEffect carries out an effect of the membership state machine.
func (d *Daemon) runMemberEffect(e member.Effect) {
	switch e := e.(type) {
	case member.Send:
		go d.sendGossip(e)
	case member.Reply:
		if ch := d.pendingGossip.remove(e.Token); ch != nil {
			ch <- e.Message
		}
	case member.StatusChanged:
		d.logStatusChange(e)
	case member.SelfReplaced:
		level.Error(d.logs.member).Log("msg", "another process uses this host's name; this one is no longer known to its peers",
			"address", e.By.Address, "incarnation", e.By.Incarnation)
	}
}

// sendGossip sends a gossip message and reports the result as an event. It reports nothing during
// shutdown.
func (d *Daemon) sendGossip(e member.Send) {
	ctx, cancel := context.WithTimeout(d.ctx, gossipTimeout)
	defer cancel()
	reply, err := d.peers.Gossip(ctx, e.Address, &e.Message)
	switch {
	case d.ctx.Err() != nil:
	case err != nil:
		d.loop.send(member.CallFailed{Host: e.Host, Incarnation: e.Incarnation})
	default:
		d.loop.send(member.Replied{Host: e.Host, Address: e.Address, Incarnation: e.Incarnation, Message: *reply})
	}
}

func (d *Daemon) logStatusChange(e member.StatusChanged) {
	logger := level.Info(d.logs.member)
	if e.Record.Status == member.Suspect || e.Before == member.Unknown {
		logger = level.Debug(d.logs.member)
	}
	logger.Log("msg", "member changed", "host", e.Record.Host, "zone", e.Record.Zone, "incarnation", e.Record.Incarnation,
		"state", e.Record.Status, "before", e.Before)
}

// reportForwardResult tells the membership state machine whether a forwarded request reached its host.
// Only a failed connection counts as unreachable, since a request may take long for other reasons.
func (d *Daemon) reportForwardResult(e forward.SendToOwner, err error) {
	host, inc := e.Request.Ticket.Host, e.Request.Ticket.Incarnation
	switch {
	case err == nil:
		d.loop.send(member.CallSucceeded{Host: host, Incarnation: inc})
	case status.Code(err) == codes.Unavailable && d.ctx.Err() == nil:
		d.loop.send(member.CallFailed{Host: host, Incarnation: inc})
	}
}

// peerAddress returns the address for requests about an incarnation of a host.
func (d *Daemon) peerAddress(host string, inc ticket.Incarnation) (address string, ok bool) {
	d.loop.query(func(_ time.Duration, s *core.State) { address, ok = s.Member.Address(host, inc) })
	return address, ok
}
