package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/internal/pause"
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/peer/peerpb"
)

const (
	// pullEvery is the pause between requests to peers while the log cannot be read. With
	// the time to notice an outage (configPoll + readGrace) it keeps a revision that any peer
	// holds within 3 s of every host that reaches that peer.
	pullEvery = 500 * time.Millisecond
	// pullPeers is the number of peers asked at a time; some may be cut off as well.
	pullPeers = 3
	// pullTimeout bounds a request to a peer.
	pullTimeout = 800 * time.Millisecond
	// hintGrace is how long the log may take to deliver a revision that a peer showed
	// before that peer is asked for it.
	hintGrace = 300 * time.Millisecond
)

// FetchConfig returns this host's configuration if it is ahead of the peer's.
func (p *peerServer) FetchConfig(_ context.Context, req *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	reply := new(peerpb.FetchConfigReply)
	var err error
	p.d.loop.query(func(_ time.Duration, s *core.State) {
		reply.Revision = s.Config.Revision()
		if reply.Revision > req.AboveRevision {
			reply.Snapshot, err = s.Config.Snapshot()
		}
	})
	return reply, err
}

// PeerShowsRevision tells the daemon the configuration revision that a peer's message
// carried. If it is higher than this host's and the log does not deliver it soon, the
// configuration is fetched from that peer. It never blocks and may be called from the
// reducer's goroutine.
func (d *Daemon) PeerShowsRevision(host string, revision uint64) {
	if revision <= d.latest.Load() {
		return
	}
	select {
	case d.configPulls <- host:
	default: // a pull is due already
	}
}

func (d *Daemon) latestRevision() (n uint64) {
	d.loop.query(func(_ time.Duration, s *core.State) { n = s.Config.Revision() })
	return n
}

// pullConfig fetches configuration from peers: once at start, which saves the reading of a
// long log, regularly while the log cannot tell, and from a peer that shows a higher
// revision.
func (d *Daemon) pullConfig(ctx context.Context) {
	d.pullFromSome(ctx)
	for {
		timer := time.NewTimer(pullEvery)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case host := <-d.configPulls:
			d.pullFromHinted(ctx, host)
		case <-timer.C:
			if d.needsPeers() {
				d.pullFromSome(ctx)
			}
		}
		timer.Stop()
	}
}

// needsPeers reports whether the log cannot tell the configuration: it cannot be read, or
// it has dropped records and no snapshot has been found yet.
func (d *Daemon) needsPeers() bool {
	seeking := false
	d.loop.query(func(_ time.Duration, s *core.State) { seeking = s.Config.Seeking() })
	return seeking || !d.configLog.readable()
}

func (d *Daemon) pullFromHinted(ctx context.Context, host string) {
	before := d.latestRevision()
	if d.configLog.readable() && (!pause.For(ctx, hintGrace) || d.latestRevision() > before) {
		return
	}
	for _, p := range d.otherHosts() {
		if p.Host == host {
			d.pullFrom(ctx, p.Host, p.Address)
		}
	}
}

// otherHosts returns the other entry hosts that are not known to be gone.
func (d *Daemon) otherHosts() []member.View {
	var members []member.View
	d.loop.query(func(now time.Duration, s *core.State) { members = s.Member.Members(now) })
	return slices.DeleteFunc(members, func(m member.View) bool {
		return m.Self || m.Address == "" || m.Status == member.Gone
	})
}

// pullFromSome asks a few peers at once, chosen at random.
func (d *Daemon) pullFromSome(ctx context.Context) {
	peers := d.otherHosts()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	done := make(chan struct{}, pullPeers)
	asked := min(len(peers), pullPeers)
	for _, p := range peers[:asked] {
		go func() {
			d.pullFrom(ctx, p.Host, p.Address)
			done <- struct{}{}
		}()
	}
	for range asked {
		<-done
	}
}

func (d *Daemon) pullFrom(ctx context.Context, host, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	stub, err := d.peers.Peer(address)
	if err != nil {
		return
	}
	reply, err := stub.FetchConfig(ctx, &peerpb.FetchConfigRequest{AboveRevision: d.latestRevision()})
	if err != nil {
		level.Debug(d.logs.peer).Log("msg", "configuration cannot be fetched", "peer", host, "err", err)
		return
	}
	if len(reply.Snapshot) > 0 {
		d.loop.send(core.ConfigFetched{Peer: host, Data: reply.Snapshot})
	}
}
