package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/core"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/peer/peerpb"
	"sesameledge.dev/sesameledge/ticket"
)

// maxHandoverMessageBytes limits the encoded answers in one message, well below peer.MaxMessageBytes.
const maxHandoverMessageBytes = 8 << 20

// handoverCopies is the number of peers that store each answer, so that it survives the loss of one of
// them.
const handoverCopies = 2

// handedOverAnswer is the encoded form of an answer in a StoredAnswer.
type handedOverAnswer struct {
	Digest uint64     `json:"digest,string"`
	Reply  *api.Reply `json:"reply"`
}

// handOverAnswers sends the final replies that no caller has fetched to peers. These include answers
// that this host stores for other drained hosts.
func (d *Daemon) handOverAnswers() {
	var answers []dispatch.Answer
	d.loop.query(func(now time.Duration, s *core.State) {
		answers = append(s.Dispatch.UnfetchedAnswers(now), s.Forward.StoredAnswers(now)...)
	})
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	peers := d.livePeersAfter(d.settings.Host)
	handed, copies := 0, 0
	for _, batch := range encodeAnswers(answers) {
		if n := d.storeAtPeers(ctx, peers, batch); n > 0 {
			handed += len(batch.Answers)
			copies += n * len(batch.Answers)
		}
	}
	if len(answers) > 0 {
		level.Info(d.logs.daemon).Log("msg", "answers handed over", "answers", len(answers), "stored", handed, "copies", copies)
	}
}

// encodeAnswers encodes the answers and splits them into messages. It shortens the remaining lifetime
// of each answer by handoverTimeout, so that a peer never keeps it too long.
func encodeAnswers(answers []dispatch.Answer) []*peerpb.StoreAnswersRequest {
	var out []*peerpb.StoreAnswersRequest
	size := maxHandoverMessageBytes
	for _, a := range answers {
		keep := a.RemainingLifetime - handoverTimeout
		body, err := json.Marshal(handedOverAnswer{Digest: a.Digest, Reply: a.Reply})
		if err != nil || keep <= 0 {
			continue
		}
		if size+len(body) > maxHandoverMessageBytes {
			out = append(out, &peerpb.StoreAnswersRequest{})
			size = 0
		}
		size += len(body)
		last := out[len(out)-1]
		last.Answers = append(last.Answers, &peerpb.StoredAnswer{Ticket: string(a.ID), Reply: body, KeepMs: keep.Milliseconds()})
	}
	return out
}

// storeAtPeers offers the answers to one peer after the other until handoverCopies peers have stored
// them, if possible in two zones. It returns the number of these peers. It reorders peers: those that
// stored the answers come first, those that failed come last, so that the next batch loses no time on
// them.
func (d *Daemon) storeAtPeers(ctx context.Context, peers []member.MemberView, req *peerpb.StoreAnswersRequest) int {
	var holders, failed []member.MemberView
	rest := slices.Clone(peers)
	for len(rest) > 0 && len(holders) < handoverCopies && ctx.Err() == nil {
		next := rest[0]
		rest = rest[1:]
		if !d.storeAtPeer(ctx, next.Address, req) {
			failed = append(failed, next)
			continue
		}
		holders = append(holders, next)
		otherZonesFirst(rest, next.Zone)
	}
	copy(peers, slices.Concat(holders, rest, failed))
	return len(holders)
}

// otherZonesFirst moves the peers of other zones to the front and otherwise keeps the order.
func otherZonesFirst(peers []member.MemberView, zone string) {
	sort.SliceStable(peers, func(i, j int) bool { return peers[i].Zone != zone && peers[j].Zone == zone })
}

func (d *Daemon) storeAtPeer(ctx context.Context, address string, req *peerpb.StoreAnswersRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverAttemptTimeout)
	defer cancel()
	stub, err := d.peers.Stub(address)
	if err == nil {
		_, err = stub.StoreAnswers(ctx, req)
	}
	if err != nil {
		level.Debug(d.logs.daemon).Log("msg", "peer did not store answers", "peer", address, "err", err)
	}
	return err == nil
}

// livePeersAfter returns the live peers in the order of their names, beginning after the given host.
// So hosts that drain at the same time use different peers, and a search for an answer asks the most
// likely peers first.
func (d *Daemon) livePeersAfter(host string) []member.MemberView {
	var peers []member.MemberView
	d.loop.query(func(now time.Duration, s *core.State) {
		for _, m := range s.Member.Members(now) {
			if m.Host != d.settings.Host && m.Host != host && m.Status == member.Live {
				peers = append(peers, m)
			}
		}
	})
	sort.SliceStable(peers, func(i, j int) bool { return peers[i].Host > host && peers[j].Host < host })
	return peers
}

// StoreAnswers stores the unfetched answers of a draining host. It refuses while this host drains
// itself.
func (p *peerServer) StoreAnswers(_ context.Context, req *peerpb.StoreAnswersRequest) (*peerpb.StoreAnswersReply, error) {
	if p.daemon.draining.Load() {
		return nil, status.Error(codes.Unavailable, "this host is shutting down")
	}
	for _, stored := range req.Answers {
		var decoded handedOverAnswer
		if err := json.Unmarshal(stored.Reply, &decoded); err != nil || decoded.Reply == nil {
			return nil, status.Error(codes.InvalidArgument, "an answer cannot be decoded")
		}
		a := dispatch.Answer{ID: ticket.ID(stored.Ticket), Digest: decoded.Digest, Reply: decoded.Reply,
			RemainingLifetime: time.Duration(stored.KeepMs) * time.Millisecond}
		kept := false
		p.daemon.loop.query(func(now time.Duration, s *core.State) {
			kept = s.Forward.StoreAnswer(now, a, int64(len(stored.Reply)))
		})
		if !kept {
			return nil, status.Error(codes.ResourceExhausted, "no room for more answers")
		}
	}
	return &peerpb.StoreAnswersReply{}, nil
}
