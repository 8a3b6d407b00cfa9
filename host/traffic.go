package host

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// MessageBytes counts the encoded bytes of the messages of one kind that were sent to other hosts.
type MessageBytes struct {
	First int64 // sent for the first time
	Again int64 // sent again
}

// countMessageBytes counts the messages of a frame. Those up to the number sentBefore were in an earlier frame.
func (s *State) countMessageBytes(f *meshpb.Frame, sentBefore uint64) {
	for i, m := range f.GetMessages() {
		kind := messageKind(m)
		n := s.messageBytes[kind]
		size := int64(proto.Size(m))
		if f.GetFirst()+uint64(i) <= sentBefore {
			n.Again += size
		} else {
			n.First += size
		}
		s.messageBytes[kind] = n
	}
}

// MessageBytes returns the bytes sent to other hosts since the start, by the kind of message.
func (s *State) MessageBytes() map[string]MessageBytes { return maps.Clone(s.messageBytes) }
