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

// handoverBytes bounds the answers in one message, well below peer.MaxMessageBytes.
const handoverBytes = 8 << 20

// handoverCopies is how many peers hold a handed-over answer, so that it outlasts one more
// host.
const handoverCopies = 2

// handedAnswer is the encoded form of an answer in a StoredAnswer.
type handedAnswer struct {
	Digest uint64     `json:"digest,string"`
	Reply  *api.Reply `json:"reply"`
}

// handOver gives the final replies that no caller has fetched to peers.
func (d *Daemon) handOver() {
	var answers []dispatch.Answer
	d.loop.query(func(now time.Duration, s *core.State) {
		answers = append(s.Dispatch.Unfetched(now), s.Forward.Stored(now)...)
	})
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	peers := d.peersAfter(d.settings.Host)
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

// encodeAnswers splits the answers into messages. The time to keep an answer is cut by
// the time limit of the handover, so that a peer never keeps it beyond the lifetime.
func encodeAnswers(answers []dispatch.Answer) []*peerpb.StoreAnswersRequest {
	var out []*peerpb.StoreAnswersRequest
	size := handoverBytes
	for _, a := range answers {
		keep := a.Keep - handoverTimeout
		body, err := json.Marshal(handedAnswer{Digest: a.Digest, Reply: a.Reply})
		if err != nil || keep <= 0 {
			continue
		}
		if size+len(body) > handoverBytes {
			out = append(out, &peerpb.StoreAnswersRequest{})
			size = 0
		}
		size += len(body)
		last := out[len(out)-1]
		last.Answers = append(last.Answers, &peerpb.StoredAnswer{Ticket: string(a.ID), Reply: body, KeepMs: keep.Milliseconds()})
	}
	return out
}

// storeAtPeers offers the answers to one peer after the other until handoverCopies of them
// have taken them, the second one in another zone if there is one. It returns their number
// and moves peers that did not take them to the end, so that they cost time only once.
func (d *Daemon) storeAtPeers(ctx context.Context, peers []member.View, req *peerpb.StoreAnswersRequest) int {
	var holders, failed []member.View
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

// otherZonesFirst puts the peers of other zones first and otherwise keeps the order.
func otherZonesFirst(peers []member.View, zone string) {
	sort.SliceStable(peers, func(i, j int) bool { return peers[i].Zone != zone && peers[j].Zone == zone })
}

func (d *Daemon) storeAtPeer(ctx context.Context, address string, req *peerpb.StoreAnswersRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverTry)
	defer cancel()
	stub, err := d.peers.Peer(address)
	if err == nil {
		_, err = stub.StoreAnswers(ctx, req)
	}
	if err != nil {
		level.Debug(d.logs.daemon).Log("msg", "peer did not store answers", "peer", address, "err", err)
	}
	return err == nil
}

// peersAfter returns the live peers, beginning with the host that follows the given one by
// name. Hosts that drain together so use different peers, and who looks for an answer asks
// the likely ones first.
func (d *Daemon) peersAfter(host string) []member.View {
	var peers []member.View
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

// StoreAnswers keeps the unfetched answers of a draining host. A draining host refuses.
func (p *peerServer) StoreAnswers(_ context.Context, req *peerpb.StoreAnswersRequest) (*peerpb.StoreAnswersReply, error) {
	if p.d.draining.Load() {
		return nil, status.Error(codes.Unavailable, "this host is shutting down")
	}
	for _, stored := range req.Answers {
		var have handedAnswer
		if err := json.Unmarshal(stored.Reply, &have); err != nil || have.Reply == nil {
			return nil, status.Error(codes.InvalidArgument, "an answer cannot be decoded")
		}
		a := dispatch.Answer{ID: ticket.ID(stored.Ticket), Digest: have.Digest, Reply: have.Reply,
			Keep: time.Duration(stored.KeepMs) * time.Millisecond}
		kept := false
		p.d.loop.query(func(now time.Duration, s *core.State) {
			kept = s.Forward.Store(now, a, int64(len(stored.Reply)))
		})
		if !kept {
			return nil, status.Error(codes.ResourceExhausted, "no room for more answers")
		}
	}
	return &peerpb.StoreAnswersReply{}, nil
}
