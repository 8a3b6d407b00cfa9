package session

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// TestContactIsIncompleteWithoutMessage guards against a contact that counts as complete while a message
// is missing, for example the cancellation of a job: heartbeats that arrive after it was lost would show
// that the sender still wants the job.
func TestContactIsIncompleteWithoutMessage(t *testing.T) {
	a, b := New(), New()
	exchange := func(now time.Duration, lost bool) {
		f := &meshpb.Frame{}
		b.FillFrame(now, f)
		a.Receive(f)
		f = &meshpb.Frame{}
		a.FillFrame(now, f)
		if !lost {
			b.Receive(f)
		}
	}
	exchange(time.Second, false)
	a.Send(&meshpb.Message{})
	exchange(2*time.Second, true)
	exchange(2*time.Second+100*time.Millisecond, false)
	if b.LastContact() <= 2*time.Second || b.CallersSeen() != time.Second {
		t.Errorf("contact of %v, complete of %v with a message missing since 2s", b.LastContact(), b.CallersSeen())
	}
	exchange(3*time.Second, false)
	if b.CallersSeen() != 3*time.Second {
		t.Errorf("complete contact of %v after the message arrived", b.CallersSeen())
	}
}
