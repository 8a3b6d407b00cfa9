package peer

import (
	"context"

	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/peer/peerpb"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// Gossip sends a gossip message to the peer at an address (IP:port) and returns its reply.
// Errors are those of Stub and the gRPC status of the call.
func (c *Client) Gossip(ctx context.Context, address string, m *member.Message) (*member.Message, error) {
	stub, err := c.Stub(address)
	if err != nil {
		return nil, err
	}
	reply, err := stub.Gossip(ctx, EncodeGossip(m))
	if err != nil {
		return nil, err
	}
	return DecodeGossip(reply), nil
}

// statusToProto maps a member status to its wire form.
var statusToProto = map[member.Status]peerpb.MemberState{
	member.Live:    peerpb.MemberState_MEMBER_STATE_LIVE,
	member.Leaving: peerpb.MemberState_MEMBER_STATE_LEAVING,
	member.Suspect: peerpb.MemberState_MEMBER_STATE_SUSPECT,
	member.Gone:    peerpb.MemberState_MEMBER_STATE_GONE,
}

// statusFromProto maps a wire state to a member status. A state of a newer version is missing
// here and becomes member.Unknown, which the membership state machine ignores.
var statusFromProto = map[peerpb.MemberState]member.Status{
	peerpb.MemberState_MEMBER_STATE_LIVE:    member.Live,
	peerpb.MemberState_MEMBER_STATE_LEAVING: member.Leaving,
	peerpb.MemberState_MEMBER_STATE_SUSPECT: member.Suspect,
	peerpb.MemberState_MEMBER_STATE_GONE:    member.Gone,
}

// EncodeGossip converts a message of the membership state machine to its wire form.
func EncodeGossip(m *member.Message) *peerpb.GossipMessage {
	out := &peerpb.GossipMessage{From: encodeRecord(&m.From)}
	for i := range m.Members {
		out.Members = append(out.Members, encodeRecord(&m.Members[i]))
	}
	for _, mark := range m.Marks {
		out.Marks = append(out.Marks, &peerpb.EndpointMark{Endpoint: string(mark.Endpoint), Identity: mark.Identity, Leaving: true})
	}
	for _, inc := range m.Requested {
		out.Wanted = append(out.Wanted, uint64(inc))
	}
	return out
}

// DecodeGossip converts a message from its wire form. Marks of endpoints that are not leaving are
// dropped.
func DecodeGossip(m *peerpb.GossipMessage) *member.Message {
	out := &member.Message{From: decodeRecord(m.GetFrom())}
	for _, r := range m.GetMembers() {
		out.Members = append(out.Members, decodeRecord(r))
	}
	for _, mark := range m.GetMarks() {
		if mark.GetLeaving() {
			out.Marks = append(out.Marks, member.LeavingMark{Endpoint: place.EndpointID(mark.GetEndpoint()), Identity: mark.GetIdentity()})
		}
	}
	for _, inc := range m.GetWanted() {
		out.Requested = append(out.Requested, ticket.Incarnation(inc))
	}
	return out
}

func encodeRecord(r *member.Record) *peerpb.Member {
	return &peerpb.Member{
		Host:           r.Host,
		Zone:           r.Zone,
		PeerAddress:    r.Address,
		Incarnation:    uint64(r.Incarnation),
		State:          statusToProto[r.Status],
		Heartbeat:      r.Heartbeat,
		ConfigRevision: r.ConfigRevision,
		ConfigSchema:   r.ConfigSchema,
	}
}

func decodeRecord(r *peerpb.Member) member.Record {
	return member.Record{
		Host:           r.GetHost(),
		Zone:           r.GetZone(),
		Address:        r.GetPeerAddress(),
		Incarnation:    ticket.Incarnation(r.GetIncarnation()),
		Status:         statusFromProto[r.GetState()],
		Heartbeat:      r.GetHeartbeat(),
		ConfigRevision: r.GetConfigRevision(),
		ConfigSchema:   r.GetConfigSchema(),
	}
}
