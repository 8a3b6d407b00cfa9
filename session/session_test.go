package session

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

func numbered(n uint64) *meshpb.Message {
	return &meshpb.Message{Kind: &meshpb.Message_Cancel{Cancel: &meshpb.Cancel{Seq: n}}}
}

// TestForeignAck guards against a crash on a late frame whose acknowledgement belongs to an
// earlier session with the same host.
func TestForeignAck(t *testing.T) {
	s := New()
	s.Send(numbered(1))
	s.Take(0, &meshpb.Frame{Ack: 50})
	f := new(meshpb.Frame)
	s.Fill(time.Second, f)
	if len(f.GetMessages()) != 1 || f.GetFirst() != 1 {
		t.Fatalf("first %d with %d messages, want the unsent message 1", f.GetFirst(), len(f.GetMessages()))
	}
}

// TestOldStamps guards against taking a contact for fresh because frames that lay in a buffer
// arrive: only the sender's own time stamps count.
func TestOldStamps(t *testing.T) {
	s := New()
	s.Take(10*time.Second, &meshpb.Frame{Echo: int64(2 * time.Second)})
	s.Take(10*time.Second, &meshpb.Frame{Echo: int64(1 * time.Second)})
	if s.Contact() != 2*time.Second {
		t.Fatalf("contact %v, want 2s", s.Contact())
	}
}

// TestDelivery drives two sessions over a transport that loses frames and delivers others
// late and twice, and checks that each message arrives once and in order.
func TestDelivery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		var late []*meshpb.Frame
		var now time.Duration
		var sent, received uint64
		take := func(f *meshpb.Frame) {
			for _, m := range b.Take(now, f) {
				received++
				if m.GetCancel().GetSeq() != received {
					t.Fatalf("message %d arrived in place of %d", m.GetCancel().GetSeq(), received)
				}
			}
		}
		exchange := func(lose bool) {
			now += 50 * time.Millisecond
			f, back := new(meshpb.Frame), new(meshpb.Frame)
			a.Fill(now, f)
			late = append(late, f)
			if !lose {
				take(f)
				b.Fill(now, back)
				a.Take(now, back)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(*rapid.T) {
				sent++
				a.Send(numbered(sent))
			},
			"frame":     func(*rapid.T) { exchange(false) },
			"lostFrame": func(*rapid.T) { exchange(true) },
			"lateFrame": func(t *rapid.T) {
				if len(late) > 0 {
					take(late[rapid.IntRange(0, len(late)-1).Draw(t, "frame")])
				}
			},
		})
		for range 10 {
			exchange(false)
		}
		if received != sent || a.Unacknowledged() != 0 {
			t.Fatalf("%d of %d messages arrived, %d unacknowledged", received, sent, a.Unacknowledged())
		}
	})
}
