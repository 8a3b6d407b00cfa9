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
	// pullInterval is the pause between requests to peers while the log cannot be read. Together with
	// the time to detect an outage (configPollWait + readGrace) it ensures that a revision held by any
	// peer reaches every host connected to that peer within 3 s.
	pullInterval = 500 * time.Millisecond
	// peersPerPull is the number of peers asked at once. Some of them may be cut off from the log as
	// well.
	peersPerPull = 3
	// pullTimeout limits one request to a peer.
	pullTimeout = 800 * time.Millisecond
	// aheadRevisionGrace is how long this host waits for the log to deliver a revision that a peer has
	// reported, before it asks that peer.
	aheadRevisionGrace = 300 * time.Millisecond
)

// FetchConfig returns this host's latest revision, with a snapshot if it is higher than the peer's.
func (p *peerServer) FetchConfig(_ context.Context, req *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	reply := new(peerpb.FetchConfigReply)
	var err error
	p.daemon.loop.query(func(_ time.Duration, s *core.State) {
		reply.Revision = s.Config.Revision()
		if reply.Revision > req.AboveRevision {
			reply.Snapshot, err = s.Config.Snapshot()
		}
	})
	return reply, err
}

// HandlePeerRevision handles the configuration revision reported by a peer. If it is higher than this
// host's and the log does not deliver it soon, the configuration is fetched from that peer. It never
// blocks and may be called from the event loop's goroutine.
func (d *Daemon) HandlePeerRevision(host string, revision uint64) {
	if revision <= d.latestAccepted.Load() {
		return
	}
	select {
	case d.aheadPeers <- host:
	default: // a pull is due already
	}
}

func (d *Daemon) latestRevision() (n uint64) {
	d.loop.query(func(_ time.Duration, s *core.State) { n = s.Config.Revision() })
	return n
}

// pullConfig fetches the configuration from peers: once at start, which avoids reading a long log; at
// intervals while the log cannot deliver it; and from a peer that reports a higher revision.
func (d *Daemon) pullConfig(ctx context.Context) {
	d.pullFromRandomPeers(ctx)
	for {
		timer := time.NewTimer(pullInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case host := <-d.aheadPeers:
			d.pullFromAheadPeer(ctx, host)
		case <-timer.C:
			if d.needsPeerConfig() {
				d.pullFromRandomPeers(ctx)
			}
		}
		timer.Stop()
	}
}

// needsPeerConfig reports whether the log cannot deliver the configuration: it cannot be read, or it
// has dropped records and no snapshot has been found yet.
func (d *Daemon) needsPeerConfig() bool {
	seeking := false
	d.loop.query(func(_ time.Duration, s *core.State) { seeking = s.Config.Seeking() })
	return seeking || !d.configFollower.readable()
}

func (d *Daemon) pullFromAheadPeer(ctx context.Context, host string) {
	previous := d.latestRevision()
	if d.configFollower.readable() && (!pause.For(ctx, aheadRevisionGrace) || d.latestRevision() > previous) {
		return
	}
	for _, p := range d.otherHosts() {
		if p.Host == host {
			d.pullFromPeer(ctx, p.Host, p.Address)
		}
	}
}

// otherHosts returns the other entry hosts that are not known to be gone.
func (d *Daemon) otherHosts() []member.MemberView {
	var members []member.MemberView
	d.loop.query(func(now time.Duration, s *core.State) { members = s.Member.Members(now) })
	return slices.DeleteFunc(members, func(m member.MemberView) bool {
		return m.Self || m.Address == "" || m.Status == member.Gone
	})
}

// pullFromRandomPeers fetches the configuration from up to peersPerPull random peers concurrently.
func (d *Daemon) pullFromRandomPeers(ctx context.Context) {
	peers := d.otherHosts()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	done := make(chan struct{}, peersPerPull)
	asked := min(len(peers), peersPerPull)
	for _, p := range peers[:asked] {
		go func() {
			d.pullFromPeer(ctx, p.Host, p.Address)
			done <- struct{}{}
		}()
	}
	for range asked {
		<-done
	}
}

func (d *Daemon) pullFromPeer(ctx context.Context, host, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	stub, err := d.peers.Stub(address)
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
