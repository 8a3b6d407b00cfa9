package member

import (
	"math/bits"

	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// MaxMessageBytes bounds an encoded message. With two calls a second each way, eight
// messages a second are sent and received; 300 B each and about 60 B of framing stay
// under 3 KB/s.
const MaxMessageBytes = 300

const (
	// maxSubset is how many members of the random part a message carries.
	maxSubset = 6
	// maxWanted is how many unknown incarnations a message asks about.
	maxWanted = 4
	// markBytes is the part of a message that marks may take before other content.
	markBytes = 110
	// rumorFactor times the logarithm of the members is how often a rumor is sent.
	rumorFactor = 3
)

// Message is one gossip message, in either direction.
type Message struct {
	From    Record
	Members []Record
	Marks   []Mark
	Wanted  []ticket.Incarnation // the sender asks for the whole record of these
}

// Mark says that an endpoint is leaving. It holds for one identity and is final.
type Mark struct {
	Endpoint place.EndpointID
	Identity string
}

// Upper bounds of encoded sizes, in bytes: a field takes a tag and a length, a varint of
// 64 bits up to 10 bytes.
const (
	stringOverhead  = 3
	fixed64Bytes    = 9
	statusBytes     = 2
	schemaBytes     = 6
	markOverhead    = 3
	recordOverhead  = 3
	wantedBytes     = 8
	wantedOverhead  = 3
	heartbeatMargin = 1
)

// bytes is an upper bound of the encoded size.
func (r *Record) bytes() int {
	n := recordOverhead + fixed64Bytes + statusBytes + heartbeatMargin + uvarint(r.Heartbeat) + 1 + uvarint(r.ConfigRevision)
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

func (m *Mark) bytes() int {
	return markOverhead + 2*stringOverhead + 2 + len(m.Endpoint) + len(m.Identity)
}

func uvarint(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }

// rumorSends is how often a new rumor is sent.
func (s *State) rumorSends() int { return rumorFactor * bits.Len(uint(len(s.peers)+1)) }

// builder fills a message up to its bound.
type builder struct {
	msg   Message
	left  int
	added map[ticket.Incarnation]bool
	marks map[Mark]bool
}

func (s *State) newBuilder() *builder {
	left := MaxMessageBytes
	if s.faults.noBound {
		left = 1 << 20
	}
	return &builder{left: left, added: make(map[ticket.Incarnation]bool), marks: make(map[Mark]bool)}
}

// record adds a record and reports whether it is in the message.
func (b *builder) record(r Record) bool {
	if b.added[r.Incarnation] {
		return true
	}
	if r.bytes() > b.left {
		return false
	}
	b.left -= r.bytes()
	b.added[r.Incarnation] = true
	b.msg.Members = append(b.msg.Members, r)
	return true
}

func (b *builder) mark(m Mark) bool {
	if b.marks[m] {
		return true
	}
	if m.bytes() > b.left {
		return false
	}
	b.left -= m.bytes()
	b.marks[m] = true
	b.msg.Marks = append(b.msg.Marks, m)
	return true
}

// want asks for as many records as have room.
func (b *builder) want(incs []ticket.Incarnation) {
	n := min(len(incs), maxWanted, max(b.left-wantedOverhead, 0)/wantedBytes)
	if n == 0 {
		return
	}
	b.left -= wantedOverhead + n*wantedBytes
	b.msg.Wanted = append(b.msg.Wanted, incs[:n]...)
}

// message builds the message for a process of a peer host. The parts that it needs come
// first, then rumors, then a random part of the view.
func (s *State) message(to *peer, process ticket.Incarnation, wanted []ticket.Incarnation) Message {
	b := s.newBuilder()
	b.msg.From = s.ownRecord(to, process)
	b.left -= b.msg.From.bytes()
	b.added[s.self.Incarnation] = true
	s.addForPeer(b, to, process, wanted)
	s.addMarkRumors(b)
	s.addRumors(b)
	if !s.faults.noSubset {
		b.want(s.wanted)
		s.wanted = s.wanted[:0]
		s.addSubset(b)
		s.addMarkSubset(b)
	}
	return b.msg
}

// ownRecord is whole in the first message to a process, and while it changes. A process
// that missed it asks for it.
func (s *State) ownRecord(to *peer, process ticket.Incarnation) Record {
	if to != nil && to.greeted == process && process != 0 && s.selfSend == 0 {
		return s.self.compact()
	}
	s.selfSend = max(s.selfSend-1, 0)
	if to != nil {
		to.greeted = process
	}
	return s.self
}

// addForPeer adds what concerns the receiver: the record held of its host if that calls
// it suspect or gone, or names another process, so that it can refute; and the records
// that it asked for.
func (s *State) addForPeer(b *builder, to *peer, process ticket.Incarnation, wanted []ticket.Incarnation) {
	switch {
	case to == nil || to.Incarnation == 0:
	case to.Incarnation != process:
		b.record(to.Record)
	case rank(to.Status) > 0:
		b.record(to.compact())
	}
	for _, inc := range wanted {
		if inc == s.self.Incarnation {
			s.selfSend = max(s.selfSend, 1)
			b.left -= s.self.bytes() - b.msg.From.bytes()
			b.msg.From = s.self
			continue
		}
		if p := s.byIncarnation(inc); p != nil {
			b.record(p.Record)
		}
	}
}

func (s *State) addRumors(b *builder) {
	for _, name := range s.rumorOrder() {
		p := s.peers[name]
		r := p.Record
		if !p.full {
			r = r.compact()
		}
		if own := s.self.compact(); p.Record.bytes() > MaxMessageBytes-own.bytes() {
			s.counters.Oversized++
			p.sends = 0
			continue
		}
		if b.record(r) {
			p.sends--
		}
	}
}

// rumorOrder returns the members with rumors left, those sent least first.
func (s *State) rumorOrder() []string {
	var out []string
	for _, name := range s.names {
		if s.peers[name].sends > 0 {
			out = append(out, name)
		}
	}
	s.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	stableByDescending(out, func(name string) int { return s.peers[name].sends })
	return out
}

// addSubset adds random members, half of them from the own zone.
func (s *State) addSubset(b *builder) {
	var own, other []*peer
	for _, name := range s.names {
		p := s.peers[name]
		switch {
		case p.Incarnation == 0:
		case p.Zone == s.opts.Zone:
			own = append(own, p)
		default:
			other = append(other, p)
		}
	}
	n := min(len(own), max(maxSubset/2, maxSubset-len(other)))
	for _, p := range s.sample(own, n) {
		b.record(p.compact())
	}
	for _, p := range s.sample(other, maxSubset-n) {
		b.record(p.compact())
	}
}

// sample returns up to n random members.
func (s *State) sample(from []*peer, n int) []*peer {
	s.rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}
