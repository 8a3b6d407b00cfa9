// Package session delivers messages to another process in order and exactly once, over a transport
// that may lose, delay or duplicate frames. Messages are numbered. Each frame acknowledges the
// messages received from the other side. Messages are sent again when an acknowledgement shows that they were
// lost: the other side has received a later frame and lacks them. A message that is on its way is not sent
// again however long it takes, since on a slow link copies would only delay it further.
//
// A session also measures the age of the contact. Each frame echoes the newest time stamp received
// from the other side, so that a sender measures the age on its own clock only. Frames that were
// buffered while a host was suspended therefore do not refresh an old contact. A frame also tells how long ago its
// sender has looked at its callers: a process that was suspended is in contact again before it knows who has left.
//
// Package mesh carries the frames, and package host interprets the messages and decides when to send
// a frame and when a contact is lost.
package session

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

const (
	// maxUnacked limits the messages kept for a process that does not acknowledge them, and
	// maxUnackedBytes their encoded size.
	maxUnacked      = 4096
	maxUnackedBytes = 32 << 20
	// MaxMessageBytes limits the encoded size of one message. With the status of its sender the frame has
	// to stay below mesh.MaxFrameBytes, above which no receiver takes it.
	MaxMessageBytes = 3 << 20
	// maxFrameMessageBytes is the size of the messages from which on a frame takes no further one, so
	// that a heartbeat does not wait for long behind other frames.
	maxFrameMessageBytes = 64 << 10
)

// Session is the state of the exchange with one process. Create it with New.
type Session struct {
	unacked      []*meshpb.Message // messages without acknowledgement, sent or not
	unackedBytes int               // encoded size of unacked
	firstUnacked uint64            // number of unacked[0]; message numbers begin at 1
	next         uint64            // number of the next message to put into a frame
	highestSent  uint64            // highest message number that was in a frame
	inFlight     []sentFrame       // frames with messages that are not acknowledged, in the order of their stamps
	lastStamp    time.Duration     // of the newest frame
	lastReceived uint64            // number of the newest message received in order
	peerStamp    int64             // newest time stamp of the other side, in ns on its clock
	lastEcho     time.Duration     // newest own time stamp echoed by the other side
	refusals     []Refusal
	callersSeen  time.Duration // see CallersSeen
}

// sentFrame is a frame that held messages.
type sentFrame struct {
	stamp       time.Duration // its time stamp
	lastMessage uint64        // number of its last message
}

// Refusal is a message that Send has not taken.
type Refusal struct {
	Message *meshpb.Message
	Err     error
}

// ErrFull is the reason for a refusal while too many messages wait for an acknowledgement. The same
// message may be taken later; for other reasons it never is.
var ErrFull = errors.New("too many messages wait for an acknowledgement")

// New returns a session with a process from which nothing has been received.
func New() *Session { return &Session{firstUnacked: 1, next: 1} }

// Send queues a message for the next frame. It drops the message and returns false if it cannot be
// encoded or is too large, since its frame would never arrive and would be sent again for ever, or if too
// many messages are already waiting for an acknowledgement. Refusals returns the reason.
func (s *Session) Send(m *meshpb.Message) bool {
	size, err := checkMessage(m)
	if err == nil && !s.hasRoom(m, size) {
		err = ErrFull
	}
	if err != nil {
		s.refusals = append(s.refusals, Refusal{Message: m, Err: err})
		return false
	}
	s.unacked = append(s.unacked, m)
	s.unackedBytes += size
	return true
}

// hasRoom reports whether the queue takes a message of a size. Submissions leave one half to other messages:
// a job that is refused can go elsewhere, but its cancellation or outcome cannot.
func (s *Session) hasRoom(m *meshpb.Message, size int) bool {
	count, bytes := maxUnacked, maxUnackedBytes
	if m.GetSubmit() != nil {
		count, bytes = count/2, bytes/2
	}
	return len(s.unacked) < count && s.unackedBytes+size <= bytes
}

// checkMessage returns the encoded size of a message, or the reason why it cannot be delivered.
func checkMessage(m *meshpb.Message) (int, error) {
	encoded, err := proto.Marshal(m)
	switch {
	case err != nil:
		return 0, errors.Wrap(err, "encoding the message")
	case len(encoded) > MaxMessageBytes:
		return 0, errors.Newf("the message has %d bytes, %d are possible", len(encoded), MaxMessageBytes)
	}
	return len(encoded), nil
}

// Refusals returns the messages that Send has not taken since the last call.
func (s *Session) Refusals() []Refusal {
	out := s.refusals
	s.refusals = nil
	return out
}

// Withdraw replaces the unacknowledged messages that are obsolete by empty ones, whether they were
// sent or not. The empty messages keep the numbers, so that the receiver sees no gap.
func (s *Session) Withdraw(obsolete func(*meshpb.Message) bool) {
	for i, m := range s.unacked {
		if obsolete(m) {
			s.unackedBytes -= proto.Size(m)
			s.unacked[i] = &meshpb.Message{}
		}
	}
}

// HasUnsent reports whether there are messages that have not been in any frame yet, or that are sent
// again and do not all fit into one frame.
func (s *Session) HasUnsent() bool { return s.next < s.firstUnacked+uint64(len(s.unacked)) }

// FillFrame sets the time stamps and the acknowledgement of a frame and adds the messages that are
// due, as many as fit: the unsent ones, and those that were lost. now is the time on the sender's clock.
func (s *Session) FillFrame(now time.Duration, f *meshpb.Frame) {
	s.lastStamp = max(now, s.lastStamp+1) // each frame has another one
	f.Sent = int64(s.lastStamp)
	f.Echo = s.peerStamp
	f.Ack = s.lastReceived
	f.Last = s.firstUnacked + uint64(len(s.unacked)) - 1
	due := s.unacked[s.next-s.firstUnacked:]
	n, size := 0, 0
	for n < len(due) && (n == 0 || size+proto.Size(due[n]) <= maxFrameMessageBytes) {
		size += proto.Size(due[n])
		n++
	}
	if n == 0 {
		return
	}
	f.First = s.next
	f.Messages = slices.Clone(due[:n]) // the frame is read after later changes of unacked
	s.next += uint64(n)
	s.inFlight = append(s.inFlight, sentFrame{stamp: s.lastStamp, lastMessage: s.next - 1})
	s.highestSent = max(s.highestSent, s.next-1)
}

// Receive processes a received frame and returns the messages that were not received before, in order.
func (s *Session) Receive(f *meshpb.Frame) []*meshpb.Message {
	s.peerStamp = max(s.peerStamp, f.GetSent())
	s.lastEcho = max(s.lastEcho, time.Duration(f.GetEcho()))
	s.handleAck(f.GetAck())
	s.detectLoss()
	var newMessages []*meshpb.Message
	for i, m := range f.GetMessages() {
		n := f.GetFirst() + uint64(i)
		if n != s.lastReceived+1 {
			continue // received before, or after a gap, in which case it will be sent again
		}
		s.lastReceived = n
		newMessages = append(newMessages, m)
	}
	if s.lastReceived >= f.GetLast() {
		s.callersSeen = max(s.callersSeen, time.Duration(f.GetEcho()-f.GetCallersAgeNs()))
	}
	return newMessages
}

// LacksMessages reports whether a message that its sender had queued when it made the frame has not been received.
func (s *Session) LacksMessages(f *meshpb.Frame) bool { return s.lastReceived < f.GetLast() }

// handleAck removes the messages up to number ack, which the other side has received.
func (s *Session) handleAck(ack uint64) {
	if ack < s.firstUnacked || ack > s.highestSent {
		return // already processed, or from another session
	}
	n := ack - s.firstUnacked + 1
	for _, m := range s.unacked[:n] {
		s.unackedBytes -= proto.Size(m)
	}
	s.unacked = s.unacked[n:]
	s.firstUnacked += n
	s.next = max(s.next, s.firstUnacked)
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f sentFrame) bool { return f.lastMessage < s.firstUnacked })
}

// detectLoss makes all unacknowledged messages due again if the first of them was lost: the other side has echoed
// the frame that held it, or a later one, and has not acknowledged it. It takes no message out of order.
func (s *Session) detectLoss() {
	if len(s.inFlight) > 0 && s.inFlight[0].stamp <= s.lastEcho {
		s.next = s.firstUnacked
		s.inFlight = nil
	}
}

// LastContact returns when the newest frame was sent that the other process has received, as shown by
// its echo. 0 means that no frame has been echoed.
func (s *Session) LastContact() time.Duration { return s.lastEcho }

// CallersSeen returns a time, on this side's clock, at or after which the other process has looked at the connections
// of its callers and has wanted all its jobs that it has not withdrawn. Only those frames count before which all its
// messages had arrived, so what it has withdrawn by then is known here. 0 means that there was none.
func (s *Session) CallersSeen() time.Duration { return s.callersSeen }

// Unacknowledged returns the number of messages that the process has not acknowledged.
func (s *Session) Unacknowledged() int { return len(s.unacked) }

// HighestSent returns the number of the newest message that was in a frame.
func (s *Session) HighestSent() uint64 { return s.highestSent }
