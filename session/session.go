// Package session delivers messages to another process in order and once each, over a
// transport that may lose frames: messages are numbered, acknowledged with each frame of
// the other side, and sent again until they are.
//
// It also tells how fresh the contact is. Each frame returns the newest time stamp of the
// other side, so the age of a contact is measured on one clock, and bytes that lay in a
// buffer while a host stood still do not make an old contact look new.
package session

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

const (
	// resendTime is how long a message may stay unacknowledged before it is sent again.
	resendInterval = 200 * time.Millisecond
	// maxPending bounds the messages kept for a process that does not acknowledge.
	maxUnacked = 4096
)

// Session is the state towards one process. Use New.
type Session struct {
	unacked          []*meshpb.Message // sent or due, not acknowledged
	firstUnacked     uint64            // number of the first of them
	lastSent         uint64            // number of the newest that was sent
	resendTimerStart time.Duration     // when the oldest unacknowledged one was last sent
	lastReceived     uint64            // number of the newest message taken
	peerStamp        int64             // newest time stamp of the other side
	lastEcho         time.Duration     // newest own time stamp that came back
}

// New returns the state towards a process of which nothing is known.
func New() *Session { return &Session{firstUnacked: 1} }

// Send queues a message. It reports false if the process has not acknowledged for so long
// that no more are kept.
func (s *Session) Send(m *meshpb.Message) bool {
	if len(s.unacked) >= maxUnacked {
		return false
	}
	s.unacked = append(s.unacked, m)
	return true
}

// Withdraw drops the queued messages that are no longer meant, whether they were sent or not.
// Empty messages take their
// numbers, so that the receiver sees no gap.
func (s *Session) Withdraw(obsolete func(*meshpb.Message) bool) {
	for i, m := range s.unacked {
		if obsolete(m) {
			s.unacked[i] = &meshpb.Message{}
		}
	}
}

// HasUnsent reports whether there are messages that were not in any frame yet.
func (s *Session) HasUnsent() bool { return s.lastSent+1 < s.firstUnacked+uint64(len(s.unacked)) }

// FillFrame sets the frame's stamps and acknowledgement and adds the messages that are due.
func (s *Session) FillFrame(now time.Duration, f *meshpb.Frame) {
	f.Sent = int64(now)
	f.Echo = s.peerStamp
	f.Ack = s.lastReceived
	from := s.lastSent + 1
	if len(s.unacked) > 0 && s.lastSent >= s.firstUnacked && now-s.resendTimerStart >= resendInterval {
		from = s.firstUnacked
	}
	end := s.firstUnacked + uint64(len(s.unacked))
	if from >= end {
		return
	}
	f.First = from
	f.Messages = slices.Clone(s.unacked[from-s.firstUnacked:]) // read after later changes
	if from == s.firstUnacked {
		s.resendTimerStart = now
	}
	s.lastSent = end - 1
}

// Receive processes a received frame and returns its new messages.
func (s *Session) Receive(now time.Duration, f *meshpb.Frame) []*meshpb.Message {
	s.peerStamp = max(s.peerStamp, f.GetSent())
	s.lastEcho = max(s.lastEcho, time.Duration(f.GetEcho()))
	s.handleAck(now, f.GetAck())
	var fresh []*meshpb.Message
	for i, m := range f.GetMessages() {
		n := f.GetFirst() + uint64(i)
		if n != s.lastReceived+1 {
			continue // taken before, or behind a gap that will be sent again
		}
		s.lastReceived = n
		fresh = append(fresh, m)
	}
	return fresh
}

func (s *Session) handleAck(now time.Duration, ack uint64) {
	if ack < s.firstUnacked || ack > s.lastSent {
		return // known, or of another session
	}
	n := ack - s.firstUnacked + 1
	s.unacked = s.unacked[n:]
	s.firstUnacked += n
	s.resendTimerStart = now
}

// LastContact returns the newest time at which a frame left that the process has certainly
// received and answered. 0 means never.
func (s *Session) LastContact() time.Duration { return s.lastEcho }

// Unacknowledged returns the messages that the process has not acknowledged.
func (s *Session) Unacknowledged() int { return len(s.unacked) }
