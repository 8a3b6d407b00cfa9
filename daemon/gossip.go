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

// gossipTimeout bounds one gossip call. A call that takes longer counts as failed.
const gossipTimeout = 500 * time.Millisecond

// gossipReplies holds the calls of peers that wait for the reducer's answer.
type gossipReplies struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan member.Message
}

func newGossipReplies() *gossipReplies {
	return &gossipReplies{waiting: make(map[uint64]chan member.Message)}
}

func (g *gossipReplies) open() (uint64, chan member.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	ch := make(chan member.Message, 1)
	g.waiting[g.next] = ch
	return g.next, ch
}

// take returns the call with a token once, or nil.
func (g *gossipReplies) take(token uint64) chan member.Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	ch := g.waiting[token]
	delete(g.waiting, token)
	return ch
}

// Gossip hands a peer's message to the reducer and returns its answer.
func (p *peerServer) Gossip(ctx context.Context, req *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	token, answer := p.d.gossip.open()
	defer p.d.gossip.take(token)
	p.d.loop.send(member.Received{Token: token, Message: *peer.DecodeGossip(req)})
	select {
	case m := <-answer:
		return peer.EncodeGossip(&m), nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// runMemberEffect runs an effect of the membership reducer.
func (d *Daemon) runMemberEffect(e member.Effect) {
	switch e := e.(type) {
	case member.Send:
		go d.callPeer(e)
	case member.Reply:
		if ch := d.gossip.take(e.Token); ch != nil {
			ch <- e.Message
		}
	case member.StatusChanged:
		d.logMember(e)
	case member.SelfReplaced:
		level.Error(d.logs.member).Log("msg", "another process uses this host's name; this one is no longer known to its peers",
			"address", e.By.Address, "incarnation", e.By.Incarnation)
	}
}

// callPeer sends a gossip message and reports how the call ended.
func (d *Daemon) callPeer(e member.Send) {
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

func (d *Daemon) logMember(e member.StatusChanged) {
	logger := level.Info(d.logs.member)
	if e.Record.Status == member.Suspect || e.Before == member.Unknown {
		logger = level.Debug(d.logs.member)
	}
	logger.Log("msg", "member changed", "host", e.Record.Host, "zone", e.Record.Zone, "incarnation", e.Record.Incarnation,
		"state", e.Record.Status, "before", e.Before)
}

// observeForward tells the membership reducer whether a forwarded request reached its
// host. Only a host that cannot be connected to counts as unreachable: a request may take
// long for other reasons.
func (d *Daemon) observeForward(e forward.SendToOwner, err error) {
	host, inc := e.Request.Ticket.Host, e.Request.Ticket.Incarnation
	switch {
	case err == nil:
		d.loop.send(member.CallSucceeded{Host: host, Incarnation: inc})
	case status.Code(err) == codes.Unavailable && d.ctx.Err() == nil:
		d.loop.send(member.CallFailed{Host: host, Incarnation: inc})
	}
}

// peerAddress returns where to ask about an incarnation of a host.
func (d *Daemon) peerAddress(host string, inc ticket.Incarnation) (address string, ok bool) {
	d.loop.query(func(_ time.Duration, s *core.State) { address, ok = s.Member.Address(host, inc) })
	return address, ok
}
