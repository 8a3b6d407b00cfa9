package member

import (
	"math/bits"

	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// MaxMessageBytes limits the encoded size of a message. A host makes two calls a second
// and answers two, so it sends and receives eight messages a second. With 300 B each and about
// 60 B of framing, the traffic stays below 3 KB/s.
const MaxMessageBytes = 300

const (
	// maxRandomMembers limits the members in the random part of a message.
	maxRandomMembers = 6
	// maxRequested limits the incarnations whose whole record a message asks for.
	maxRequested = 4
	// markBudgetBytes is the size up to which rumors about marks are added before rumors
	// about members.
	markBudgetBytes = 110
	// rumorSendsFactor is multiplied by the binary logarithm of the number of members to give
	// the number of times that a rumor is sent.
	rumorSendsFactor = 3
)

// Message is a gossip message, a call or its answer.
type Message struct {
	From      Record
	Members   []Record
	Marks     []LeavingMark
	Requested []ticket.Incarnation // incarnations whose whole record the sender asks for
}

// LeavingMark states that an endpoint is leaving. It applies to one identity of the endpoint and is
// never withdrawn.
type LeavingMark struct {
	Endpoint place.EndpointID
	Identity string
}

// Upper bounds of encoded sizes, in bytes. A field has a tag and, if it is a string or a
// message, a length. A varint of 64 bits takes up to 10 bytes.
const (
	stringOverhead    = 3
	fixed64Bytes      = 9
	statusBytes       = 2
	schemaBytes       = 6
	markOverhead      = 3
	recordOverhead    = 3
	requestedBytes    = 8
	requestedOverhead = 3
	heartbeatMargin   = 1
)

// maxEncodedBytes returns an upper bound of the encoded size of the record.
func (r *Record) maxEncodedBytes() int {
	n := recordOverhead + fixed64Bytes + statusBytes + heartbeatMargin + uvarintBytes(r.Heartbeat) + 1 + uvarintBytes(r.ConfigRevision)
	if r.ConfigSchema > 0 {
		n += schemaBytes
	}
	for _, text := range []string{r.Host, r.Zone, r.Address} {
		if text != "" {
			n += stringOverhead + len(text)
		}
	}
	return n
}

// maxEncodedBytes returns an upper bound of the encoded size of the mark.
func (m *LeavingMark) maxEncodedBytes() int {
	return markOverhead + 2*stringOverhead + 2 + len(m.Endpoint) + len(m.Identity)
}

// uvarintBytes returns the encoded size of a varint.
func uvarintBytes(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }

// rumorSends returns the number of times that a new rumor is sent.
func (s *State) rumorSends() int { return rumorSendsFactor * bits.Len(uint(len(s.peers)+1)) }

// messageBuilder fills a message up to MaxMessageBytes.
type messageBuilder struct {
	message      Message
	bytesLeft    int
	addedRecords map[ticket.Incarnation]bool
	addedMarks   map[LeavingMark]bool
}

// newMessageBuilder returns a builder for an empty message.
func (s *State) newMessageBuilder() *messageBuilder {
	left := MaxMessageBytes
	if s.disabled.sizeLimit {
		left = 1 << 20
	}
	return &messageBuilder{bytesLeft: left, addedRecords: make(map[ticket.Incarnation]bool), addedMarks: make(map[LeavingMark]bool)}
}

// addRecord adds a record if it fits and reports whether the message has a record of that
// incarnation.
func (b *messageBuilder) addRecord(r Record) bool {
	if b.addedRecords[r.Incarnation] {
		return true
	}
	if r.maxEncodedBytes() > b.bytesLeft {
		return false
	}
	b.bytesLeft -= r.maxEncodedBytes()
	b.addedRecords[r.Incarnation] = true
	b.message.Members = append(b.message.Members, r)
	return true
}

// addMark adds a mark if it fits and reports whether the message has it.
func (b *messageBuilder) addMark(m LeavingMark) bool {
	if b.addedMarks[m] {
		return true
	}
	if m.maxEncodedBytes() > b.bytesLeft {
		return false
	}
	b.bytesLeft -= m.maxEncodedBytes()
	b.addedMarks[m] = true
	b.message.Marks = append(b.message.Marks, m)
	return true
}

// addRequested asks for the whole records of as many incarnations as fit.
func (b *messageBuilder) addRequested(incs []ticket.Incarnation) {
	n := min(len(incs), maxRequested, max(b.bytesLeft-requestedOverhead, 0)/requestedBytes)
	if n == 0 {
		return
	}
	b.bytesLeft -= requestedOverhead + n*requestedBytes
	b.message.Requested = append(b.message.Requested, incs[:n]...)
}

// buildMessage builds a message for a process of a peer host. First come the records that
// concern the receiver, then rumors, then a random part of the view. wanted lists the
// incarnations whose whole record the receiver has asked for.
func (s *State) buildMessage(to *peer, process ticket.Incarnation, wanted []ticket.Incarnation) Message {
	b := s.newMessageBuilder()
	b.message.From = s.selfRecord(to, process)
	b.bytesLeft -= b.message.From.maxEncodedBytes()
	b.addedRecords[s.self.Incarnation] = true
	s.addForPeer(b, to, process, wanted)
	s.addMarkRumors(b)
	s.addRumors(b)
	if !s.disabled.randomSubset {
		b.addRequested(s.missing)
		s.missing = s.missing[:0]
		s.addRandomMembers(b)
		s.addRandomMarks(b)
	}
	return b.message
}

// selfRecord returns the record of this host for a message to a process. The record is whole
// in the first message to the process and while a change of it spreads, otherwise compact.
// A process that missed the whole record asks for it.
func (s *State) selfRecord(to *peer, process ticket.Incarnation) Record {
	if to != nil && to.introducedTo == process && process != 0 && s.selfSendsLeft == 0 {
		return s.self.compact()
	}
	s.selfSendsLeft = max(s.selfSendsLeft-1, 0)
	if to != nil {
		to.introducedTo = process
	}
	return s.self
}

// addForPeer adds the records that concern the receiver. One is the record of the receiver's
// host if it says suspect or gone or names another process, so that the receiver can refute
// it. The others are the records that the receiver has asked for.
func (s *State) addForPeer(b *messageBuilder, to *peer, process ticket.Incarnation, wanted []ticket.Incarnation) {
	switch {
	case to == nil || to.Incarnation == 0:
	case to.Incarnation != process:
		b.addRecord(to.Record)
	case statusPrecedence(to.Status) > 0:
		b.addRecord(to.compact())
	}
	for _, inc := range wanted {
		if inc == s.self.Incarnation {
			s.selfSendsLeft = max(s.selfSendsLeft, 1)
			b.bytesLeft -= s.self.maxEncodedBytes() - b.message.From.maxEncodedBytes()
			b.message.From = s.self
			continue
		}
		if p := s.peerByIncarnation(inc); p != nil {
			b.addRecord(p.Record)
		}
	}
}

// addRumors adds the records that are still to be sent as rumors. It skips and counts a record
// that is too large for any message.
func (s *State) addRumors(b *messageBuilder) {
	for _, name := range s.rumorOrder() {
		p := s.peers[name]
		r := p.Record
		if !p.sendWhole {
			r = r.compact()
		}
		if own := s.self.compact(); p.Record.maxEncodedBytes() > MaxMessageBytes-own.maxEncodedBytes() {
			s.counters.OversizedRecords++
			p.sendsLeft = 0
			continue
		}
		if b.addRecord(r) {
			p.sendsLeft--
		}
	}
}

// rumorOrder returns the members whose record is still to be sent, those sent least often
// first and otherwise in random order.
func (s *State) rumorOrder() []string {
	var out []string
	for _, name := range s.names {
		if s.peers[name].sendsLeft > 0 {
			out = append(out, name)
		}
	}
	s.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	sortStableDescending(out, func(name string) int { return s.peers[name].sendsLeft })
	return out
}

// addRandomMembers adds compact records of up to maxRandomMembers random members. Half of
// them are of this host's zone, or more if other zones have too few.
func (s *State) addRandomMembers(b *messageBuilder) {
	var sameZone, otherZones []*peer
	for _, name := range s.names {
		p := s.peers[name]
		switch {
		case p.Incarnation == 0:
		case p.Zone == s.opts.Zone:
			sameZone = append(sameZone, p)
		default:
			otherZones = append(otherZones, p)
		}
	}
	n := min(len(sameZone), max(maxRandomMembers/2, maxRandomMembers-len(otherZones)))
	for _, p := range s.sample(sameZone, n) {
		b.addRecord(p.compact())
	}
	for _, p := range s.sample(otherZones, maxRandomMembers-n) {
		b.addRecord(p.compact())
	}
}

// sample returns up to n random members. It changes the order of from.
func (s *State) sample(from []*peer, n int) []*peer {
	s.rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}
