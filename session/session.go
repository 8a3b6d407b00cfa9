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
	resendTime = 200 * time.Millisecond
	// maxPending bounds the messages kept for a process that does not acknowledge.
	maxPending = 4096
)

// Session is the state towards one process. Use New.
type Session struct {
	pending  []*meshpb.Message // sent or due, not acknowledged
	first    uint64            // number of the first of them
	sent     uint64            // number of the newest that was sent
	sentAt   time.Duration     // when the oldest unacknowledged one was last sent
	received uint64            // number of the newest message taken
	stamp    int64             // newest time stamp of the other side
	echoed   time.Duration     // newest own time stamp that came back
}

// New returns the state towards a process of which nothing is known.
func New() *Session { return &Session{first: 1} }

// Send queues a message. It reports false if the process has not acknowledged for so long
// that no more are kept.
func (s *Session) Send(m *meshpb.Message) bool {
	if len(s.pending) >= maxPending {
		return false
	}
	s.pending = append(s.pending, m)
	return true
}

// Withdraw drops the queued messages that are no longer meant, whether they were sent or not.
// Empty messages take their
// numbers, so that the receiver sees no gap.
func (s *Session) Withdraw(void func(*meshpb.Message) bool) {
	for i, m := range s.pending {
		if void(m) {
			s.pending[i] = &meshpb.Message{}
		}
	}
}

// Due reports whether messages wait for their first frame.
func (s *Session) Due() bool { return s.sent+1 < s.first+uint64(len(s.pending)) }

// Fill puts the messages that are due into a frame.
func (s *Session) Fill(now time.Duration, f *meshpb.Frame) {
	f.Sent = int64(now)
	f.Echo = s.stamp
	f.Ack = s.received
	from := s.sent + 1
	if len(s.pending) > 0 && s.sent >= s.first && now-s.sentAt >= resendTime {
		from = s.first
	}
	end := s.first + uint64(len(s.pending))
	if from >= end {
		return
	}
	f.First = from
	f.Messages = slices.Clone(s.pending[from-s.first:]) // read after later changes
	if from == s.first {
		s.sentAt = now
	}
	s.sent = end - 1
}

// Take takes a frame and returns its new messages.
func (s *Session) Take(now time.Duration, f *meshpb.Frame) []*meshpb.Message {
	s.stamp = max(s.stamp, f.GetSent())
	s.echoed = max(s.echoed, time.Duration(f.GetEcho()))
	s.acknowledged(now, f.GetAck())
	var fresh []*meshpb.Message
	for i, m := range f.GetMessages() {
		n := f.GetFirst() + uint64(i)
		if n != s.received+1 {
			continue // taken before, or behind a gap that will be sent again
		}
		s.received = n
		fresh = append(fresh, m)
	}
	return fresh
}

func (s *Session) acknowledged(now time.Duration, ack uint64) {
	if ack < s.first || ack > s.sent {
		return // known, or of another session
	}
	n := ack - s.first + 1
	s.pending = s.pending[n:]
	s.first += n
	s.sentAt = now
}

// Contact returns the newest time at which a frame left that the process has certainly
// received and answered. 0 means never.
func (s *Session) Contact() time.Duration { return s.echoed }

// Unacknowledged returns the messages that the process has not acknowledged.
func (s *Session) Unacknowledged() int { return len(s.pending) }
