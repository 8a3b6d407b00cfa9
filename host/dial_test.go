package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// TestNewProcessIsDialedImmediately guards against waiting for the backoff of a connection whose
// address refused connections before: two hosts that start at the same time would take a cell
// without having heard of each other.
func TestNewProcessIsDialedImmediately(t *testing.T) {
	s := newTestState("a", 1)
	s.Step(time.Second, HostsDiscovered{Hosts: []*meshpb.Host{{Addr: "127.0.0.1:2"}}})
	frame := &meshpb.Frame{
		From: &meshpb.Host{Name: "b", Zone: "z", Addr: "127.0.0.1:2", Id: 7},
		Sent: int64(time.Second), Status: &meshpb.Status{},
	}
	redialed := false
	for _, e := range s.Step(time.Second+time.Millisecond, FrameReceived{Frame: frame}) {
		switch e := e.(type) {
		case Redial:
			redialed = redialed || e.Addr == "127.0.0.1:2"
		case SendFrame:
			if e.Frame.GetTo() == 7 && e.Frame.GetEcho() == frame.GetSent() && redialed {
				return
			}
		}
	}
	t.Fatal("no frame to the new process on a new connection")
}
