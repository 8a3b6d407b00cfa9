// Package session delivers messages to another process in order and exactly once, over a transport
// that may lose, delay or duplicate frames. Messages are numbered. Each frame acknowledges the
// messages received from the other side, and unacknowledged messages are sent again.
//
// A session also measures the age of the contact. Each frame echoes the newest time stamp received
// from the other side, so that a sender measures the age on its own clock only. Frames that were
// buffered while a host was suspended therefore do not refresh an old contact.
//
// Package mesh carries the frames, and package host interprets the messages and decides when to send
// a frame and when a contact is lost.
package session

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

const (
	// resendInterval is the time after which unacknowledged messages are sent again.
	resendInterval = 200 * time.Millisecond
	// maxUnacked limits the messages kept for a process that does not acknowledge them.
	maxUnacked = 4096
)

// Session is the state of the exchange with one process. Create it with New.
type Session struct {
	unacked          []*meshpb.Message // messages without acknowledgement, sent or not
	firstUnacked     uint64            // number of unacked[0]; message numbers begin at 1
	lastSent         uint64            // highest message number sent so far
	resendTimerStart time.Duration     // when unacked[0] was last sent, or when the newest acknowledgement arrived
	lastReceived     uint64            // number of the newest message received in order
	peerStamp        int64             // newest time stamp of the other side, in ns on its clock
	lastEcho         time.Duration     // newest own time stamp echoed by the other side
	lastCompleteEcho time.Duration     // the same of frames that no missing message came before
}

// New returns a session with a process from which nothing has been received.
func New() *Session { return &Session{firstUnacked: 1} }

// Send queues a message for the next frame. It returns false and drops the message if maxUnacked
// messages are already waiting for an acknowledgement.
func (s *Session) Send(m *meshpb.Message) bool {
	if len(s.unacked) >= maxUnacked {
		return false
	}
	s.unacked = append(s.unacked, m)
	return true
}

// Withdraw replaces the unacknowledged messages that are obsolete by empty ones, whether they were
// sent or not. The empty messages keep the numbers, so that the receiver sees no gap.
func (s *Session) Withdraw(obsolete func(*meshpb.Message) bool) {
	for i, m := range s.unacked {
		if obsolete(m) {
			s.unacked[i] = &meshpb.Message{}
		}
	}
}

// HasUnsent reports whether there are messages that have not been in any frame yet.
func (s *Session) HasUnsent() bool { return s.lastSent+1 < s.firstUnacked+uint64(len(s.unacked)) }

// FillFrame sets the time stamps and the acknowledgement of a frame and adds the messages that are
// due: the unsent ones, or all unacknowledged ones after resendInterval. now is the time on the
// sender's clock.
func (s *Session) FillFrame(now time.Duration, f *meshpb.Frame) {
	f.Sent = int64(now)
	f.Echo = s.peerStamp
	f.Ack = s.lastReceived
	f.Last = s.firstUnacked + uint64(len(s.unacked)) - 1
	from := s.lastSent + 1
	if len(s.unacked) > 0 && s.lastSent >= s.firstUnacked && now-s.resendTimerStart >= resendInterval {
		from = s.firstUnacked
	}
	end := s.firstUnacked + uint64(len(s.unacked))
	if from >= end {
		return
	}
	f.First = from
	f.Messages = slices.Clone(s.unacked[from-s.firstUnacked:]) // the frame is read after later changes of unacked
	if from == s.firstUnacked {
		s.resendTimerStart = now
	}
	s.lastSent = end - 1
}

// Receive processes a received frame and returns the messages that were not received before, in order.
func (s *Session) Receive(now time.Duration, f *meshpb.Frame) []*meshpb.Message {
	s.peerStamp = max(s.peerStamp, f.GetSent())
	s.lastEcho = max(s.lastEcho, time.Duration(f.GetEcho()))
	s.handleAck(now, f.GetAck())
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
		s.lastCompleteEcho = max(s.lastCompleteEcho, time.Duration(f.GetEcho()))
	}
	return newMessages
}

// handleAck removes the messages up to number ack, which the other side has received.
func (s *Session) handleAck(now time.Duration, ack uint64) {
	if ack < s.firstUnacked || ack > s.lastSent {
		return // already processed, or from another session
	}
	n := ack - s.firstUnacked + 1
	s.unacked = s.unacked[n:]
	s.firstUnacked += n
	s.resendTimerStart = now
}

// LastContact returns when the newest frame was sent that the other process has received, as shown by
// its echo. 0 means that no frame has been echoed.
func (s *Session) LastContact() time.Duration { return s.lastEcho }

// LastCompleteContact returns the same as LastContact of those frames before which all messages of the
// other process had arrived. What it has withdrawn before that time is known here.
func (s *Session) LastCompleteContact() time.Duration { return s.lastCompleteEcho }

// Unacknowledged returns the number of messages that the process has not acknowledged.
func (s *Session) Unacknowledged() int { return len(s.unacked) }
