package mesh

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/session"
)

// meshPair is a sender and a receiver of frames over a loopback connection.
type meshPair struct {
	links           *Links
	addr            string
	received        chan *meshpb.Frame
	sendFailures    atomic.Int64
	receiveFailures atomic.Int64
}

func newMeshPair(t *testing.T) *meshPair {
	p := &meshPair{links: NewLinks(net.IPv4(127, 0, 0, 1)), received: make(chan *meshpb.Frame, 100)}
	p.links.ReportFailure = func(string, error) { p.sendFailures.Add(1) }
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = l.Addr().String()
	s := NewServer(func(f *meshpb.Frame) { p.received <- f })
	s.ReportFailure = func(error) { p.receiveFailures.Add(1) }
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		p.links.Close()
		s.Stop()
	})
	return p
}

// next returns the next received frame, or nil if none comes.
func (p *meshPair) next() *meshpb.Frame {
	select {
	case f := <-p.received:
		return f
	case <-time.After(3 * time.Second):
		return nil
	}
}

// TestFailedFrameIsReported guards against frames that vanish without a trace because they cannot be
// encoded or are too large. Later frames have to arrive.
func TestFailedFrameIsReported(t *testing.T) {
	p := newMeshPair(t)
	for i, name := range []string{"\xff\xfe", strings.Repeat("x", MaxFrameBytes)} {
		p.links.Send(p.addr, &meshpb.Frame{From: &meshpb.Host{Name: name}})
		p.links.Send(p.addr, &meshpb.Frame{Sent: int64(i + 1)})
		if f := p.next(); f.GetSent() != int64(i+1) {
			t.Fatalf("received %v, want the frame after the one that failed", f)
		}
		if n := p.sendFailures.Load(); n != int64(i+1) {
			t.Errorf("%d failures were reported, want %d", n, i+1)
		}
	}
}

// hostileText draws strings that callers and other writers may send: not UTF-8, long, or with characters
// that encoders treat specially.
func hostileText() *rapid.Generator[string] {
	return rapid.OneOf(
		rapid.SampledFrom([]string{"", "\xff\xfe0", "a\x00b", "\ufffd", "\xed\xa0\x80", "north:1/3", "\r\n"}),
		rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 40), func(b []byte) string { return string(b) }),
		rapid.Map(rapid.SampledFrom([]int{1 << 10, 64 << 10, 1 << 20, 3 << 20, 5 << 20}), func(n int) string { return strings.Repeat("x", n) }),
	)
}

func hostileNumber() *rapid.Generator[int64] {
	return rapid.OneOf(rapid.SampledFrom([]int64{0, 1, -1, 1 << 53, -1 << 63, 1<<63 - 1}), rapid.Int64())
}

// drawMessage draws a message of any kind.
func drawMessage(t *rapid.T) *meshpb.Message {
	text := func(label string) string { return hostileText().Draw(t, label) }
	number := func(label string) int64 { return hostileNumber().Draw(t, label) }
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return &meshpb.Message{Kind: &meshpb.Message_Submit{Submit: &meshpb.Submit{
			Seq: uint64(number("seq")), Cell: text("cell"), JobId: text("job"), RequestId: text("request"), Payload: text("payload"), Tasks: int32(number("tasks")),
			Cpu: number("cpu"), Rack: text("rack"), Label: text("label"), Route: &meshpb.Route{Name: text("route"), SlackFactor: rapid.Float64().Draw(t, "slack")},
		}}}
	case 1:
		return &meshpb.Message{Kind: &meshpb.Message_Cancel{Cancel: &meshpb.Cancel{Seq: uint64(number("seq"))}}}
	case 2:
		return &meshpb.Message{Kind: &meshpb.Message_Outcome{Outcome: &meshpb.Outcome{Outcome: int32(number("outcome")), Reason: text("reason")}}}
	case 3:
		return &meshpb.Message{Kind: &meshpb.Message_Config{Config: &meshpb.Config{Version: number("version"), Record: []byte(text("record"))}}}
	case 4:
		return &meshpb.Message{Kind: &meshpb.Message_Workers{Workers: &meshpb.Workers{Workers: []*meshpb.Worker{{Id: text("id"), Record: []byte(text("record")), Offset: number("offset")}, nil}}}}
	case 5:
		return &meshpb.Message{Kind: &meshpb.Message_Hosts{Hosts: &meshpb.Hosts{Hosts: []*meshpb.Host{{Name: text("name"), Zone: text("zone"), Addr: text("addr"), Weight: number("weight")}}}}}
	case 6:
		return &meshpb.Message{Kind: &meshpb.Message_CancelJob{CancelJob: &meshpb.CancelJob{Seq: uint64(number("seq")), JobId: text("job")}}}
	case 7:
		return &meshpb.Message{Kind: &meshpb.Message_CancelJobReply{CancelJobReply: &meshpb.CancelJobReply{Seq: uint64(number("seq")), Found: true}}}
	case 8:
		return &meshpb.Message{Kind: &meshpb.Message_Evacuations{Evacuations: &meshpb.Evacuations{Evacuations: []*meshpb.Evacuation{{Zone: text("zone"), Offset: number("offset")}}}}}
	default:
		return &meshpb.Message{}
	}
}

// TestHostileMessagesStopNothing sends messages of every kind with hostile strings, sizes and numbers
// through two sessions, the encoder, a connection and the decoder. It guards against a message that keeps
// later ones from arriving, in the queue, in a frame or on the stream.
func TestHostileMessagesStopNothing(t *testing.T) {
	p := newMeshPair(t)
	rapid.Check(t, func(t *rapid.T) {
		a, b := session.New(), session.New()
		taken := 0
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			if a.Send(drawMessage(t)) {
				taken++
			}
		}
		const last = 1<<40 + 7
		if !a.Send(&meshpb.Message{Kind: &meshpb.Message_Cancel{Cancel: &meshpb.Cancel{Seq: last}}}) {
			t.Fatal("a sound message was refused")
		}
		var received []*meshpb.Message
		for now := time.Second; len(received) <= taken; now += 10 * time.Millisecond {
			f, back := new(meshpb.Frame), new(meshpb.Frame)
			a.FillFrame(now, f)
			p.links.Send(p.addr, f)
			got := p.next()
			if got == nil {
				t.Fatalf("a frame did not arrive; %d of %d messages have", len(received), taken+1)
			}
			received = append(received, b.Receive(now, got)...)
			b.FillFrame(now, back)
			a.Receive(now, back)
		}
		if got := received[taken].GetCancel().GetSeq(); got != last || a.Unacknowledged() != 0 {
			t.Errorf("the last message is %d; %d are unacknowledged", got, a.Unacknowledged())
		}
	})
	if n, m := p.sendFailures.Load(), p.receiveFailures.Load(); n+m != 0 {
		t.Errorf("%d frames were not encoded and %d not decoded", n, m)
	}
}
