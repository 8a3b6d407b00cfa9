package host

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// absurdFrames returns frames that decode and hold values that no host sends.
func absurdFrames(to uint64, now time.Duration) map[string]*meshpb.Frame {
	from := func(f *meshpb.Frame) *meshpb.Frame {
		f.From = &meshpb.Host{Name: "x", Zone: "south", Addr: "10.9.9.9:1", Id: 99}
		f.To = to
		return f
	}
	submit := func(m *meshpb.Submit) *meshpb.Frame {
		m.Seq, m.Cell, m.JobId, m.Measured = 1, "north", "job", 1
		message := &meshpb.Message{Kind: &meshpb.Message_Submit{Submit: m}}
		return from(&meshpb.Frame{Sent: 1, Echo: int64(now), First: 1, Messages: []*meshpb.Message{message}})
	}
	return map[string]*meshpb.Frame{
		"no sender":            {To: to},
		"echo from the future": from(&meshpb.Frame{Sent: 1, Echo: math.MaxInt64}),
		"negative times":       from(&meshpb.Frame{Sent: math.MinInt64, Echo: math.MinInt64}),
		"token beyond all":     from(&meshpb.Frame{Sent: 1, Status: &meshpb.Status{MaxFence: math.MaxInt64}}),
		"negative counts":      from(&meshpb.Frame{Sent: 1, Status: &meshpb.Status{Cells: []*meshpb.Cell{{Name: "north", Commanded: -1, Loads: []*meshpb.Load{{Service: "s", Capacity: -5, Rate: -1}}}}}}),
		"cell of a million":    from(&meshpb.Frame{Sent: 1, Status: &meshpb.Status{Cells: []*meshpb.Cell{{Name: "north:5/1000000", Commanded: 5}}}}),
		"negative tasks":       submit(&meshpb.Submit{Tasks: -1, LeftNs: 1e9}),
		"two billion tasks":    submit(&meshpb.Submit{Tasks: math.MaxInt32, LeftNs: 1e9}),
		"negative need":        submit(&meshpb.Submit{Tasks: 1, Cpu: math.MinInt64, LeftNs: 1e9}),
		"no number":            submit(&meshpb.Submit{Tasks: 1, LeftNs: 1e9, Route: &meshpb.Route{Service: "s", SlackFactor: math.NaN()}}),
		"acks the unsent":      from(&meshpb.Frame{Sent: 1, Ack: math.MaxUint64, First: math.MaxUint64}),
		"callers seen later":   from(&meshpb.Frame{Sent: 1, Echo: int64(now), CallersAgeNs: math.MinInt64}),
		"callers never seen":   from(&meshpb.Frame{Sent: 1, Echo: int64(now), CallersAgeNs: math.MaxInt64}),
		"empty message":        from(&meshpb.Frame{Sent: 1, First: 1, Messages: []*meshpb.Message{{}}}),
	}
}

// newFuzzState returns a host that commands a cell, and the time.
func newFuzzState() (*State, time.Duration) {
	p := newHostPair()
	return p.hosts[1], p.now
}

// applyFrame applies a frame and then lets some time pass.
func applyFrame(s *State, now time.Duration, f *meshpb.Frame) {
	for i := range 5 {
		s.Step(now+time.Duration(i)*hostPairStep, FrameReceived{Frame: f}, Tick{})
	}
}

// TestAbsurdFrames guards against a frame that ends the process of the host that receives it, or that
// makes it take a host for live, or a fencing token for usable, that are not.
func TestAbsurdFrames(t *testing.T) {
	_, now := newFuzzState()
	for name := range absurdFrames(0, now) {
		t.Run(name, func(t *testing.T) {
			s, now := newFuzzState()
			applyFrame(s, now, absurdFrames(s.opts.Self.ID, now)[name])
			if p := s.peers["10.9.9.9:1"]; p != nil && p.session.LastContact() > now+time.Second {
				t.Errorf("the last contact is in %v", p.session.LastContact()-now)
			}
			if fence := s.newFence(now); fence <= 0 || fence >= fenceLimit {
				t.Errorf("the next fencing token is %d", fence)
			}
			if err := s.sched.Check(); err != nil {
				t.Error(err)
			}
			if cells := len(s.zoneCells("north")); cells > 100 {
				t.Errorf("the zone is divided into %d cells", cells)
			}
		})
	}
}

// FuzzFrame guards against frames that end the process of the host that receives them.
func FuzzFrame(f *testing.F) {
	s, now := newFuzzState()
	for _, frame := range absurdFrames(s.opts.Self.ID, now) {
		encoded, err := proto.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		frame := &meshpb.Frame{}
		if proto.Unmarshal(encoded, frame) != nil {
			return
		}
		s, now := newFuzzState()
		frame.To = s.opts.Self.ID
		applyFrame(s, now, frame)
	})
}
