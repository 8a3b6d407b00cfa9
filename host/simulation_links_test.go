package host

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

const (
	// simSegmentBytes is what a connection has on its way at a time.
	simSegmentBytes = 16 << 10
	// simLinkQueue is the number of frames that wait for a connection; further ones are dropped.
	simLinkQueue = 64
	// wideLink and narrowLink are capacities in bytes a second, of 200 and 19 Mbit/s.
	wideLink   = 25_000_000
	narrowLink = 2_375_000
)

// simLink is the connection from one host to another one.
type simLink struct {
	cut        bool       // partitioned
	silent     bool       // it delivers nothing until it is replaced
	held       []func()   // deliveries of the frames that the connection holds back
	queue      []simFrame // frames on their way, where links have a limit
	generation int        // number of the connection
}

// open reports whether the link delivers frames.
func (l *simLink) open() bool { return !l.cut && !l.silent }

// heal ends a partition and delivers the frames that the connection has held back.
func (l *simLink) heal(w *simulation) {
	l.cut = false
	if !l.open() {
		return
	}
	for _, deliver := range l.held {
		w.after(simLatency, deliver)
	}
	l.held = nil
}

// redial replaces the connection. Frames in flight on the old one are lost.
func (l *simLink) redial() {
	l.silent = false
	l.held = nil
	l.queue = nil
	l.generation++
}

// copyFrame returns a copy of a frame with all its fields, which the receiver may change. What the fields hold is shared.
func copyFrame(f *meshpb.Frame) *meshpb.Frame {
	c := new(meshpb.Frame)
	f.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		c.ProtoReflect().Set(field, v)
		return true
	})
	return c
}

func (h *simHost) send(e SendFrame) {
	to := h.w.hostAt(e.Addr)
	if to == nil {
		return
	}
	sent := copyFrame(e.Frame)
	process := to.processCount
	link := h.w.links[[2]int{h.index, to.index}]
	deliver := func() {
		if to.state != nil {
			to.deliver(process, FrameReceived{Frame: sent})
		}
	}
	if len(h.w.ports.out) > 0 {
		h.w.transmit(h.index, to.index, link, sent, deliver)
		return
	}
	if !link.open() {
		link.held = append(link.held, deliver)
		return
	}
	h.w.after(simLatency, func() {
		if link.open() {
			deliver()
		}
	})
}

// simPort is one direction of a host's network link, used by all connections of the host.
type simPort struct {
	rate      float64 // bytes a second
	busyUntil time.Duration
}

// send returns when the last of some bytes have passed that arrive now.
func (p *simPort) send(now time.Duration, size int) time.Duration {
	p.busyUntil = max(p.busyUntil, now) + time.Duration(float64(size)/p.rate*float64(time.Second))
	return p.busyUntil
}

// simPorts holds the links of the hosts by their index. The connections of a host share them, with one
// segment of each on its way.
type simPorts struct{ out, in []*simPort }

// limitLinks gives every host a narrow link, but the first of each zone a wide one.
func (w *simulation) limitLinks() {
	for i := range w.hosts {
		rate := float64(narrowLink)
		if i < len(simZones) {
			rate = wideLink
		}
		w.ports.out = append(w.ports.out, &simPort{rate: rate})
		w.ports.in = append(w.ports.in, &simPort{rate: rate})
	}
}

// transmit queues a frame on a connection of limited capacity.
func (w *simulation) transmit(from, to int, l *simLink, f *meshpb.Frame, deliver func()) {
	w.sentBytes += int64(proto.Size(f))
	if len(l.queue) >= simLinkQueue {
		return
	}
	l.queue = append(l.queue, simFrame{size: proto.Size(f), deliver: deliver})
	if len(l.queue) == 1 {
		w.transmitNext(from, to, l)
	}
}

// transmitNext sends the next segment of the first queued frame.
func (w *simulation) transmitNext(from, to int, l *simLink) {
	generation := l.generation
	size := min(simSegmentBytes, l.queue[0].size)
	w.after(w.ports.out[from].send(w.now, size)+simLatency-w.now, func() {
		w.after(w.ports.in[to].send(w.now, size)-w.now, func() {
			if l.generation == generation {
				w.segmentArrived(from, to, l, size)
			}
		})
	})
}

func (w *simulation) segmentArrived(from, to int, l *simLink, size int) {
	if l.queue[0].size -= size; l.queue[0].size <= 0 {
		deliver := l.queue[0].deliver
		l.queue = l.queue[1:]
		if l.open() {
			deliver()
		} else {
			l.held = append(l.held, deliver)
		}
	}
	if len(l.queue) > 0 {
		w.transmitNext(from, to, l)
	}
}

// simFrame is a frame on its way, with the bytes that are left to be sent.
type simFrame struct {
	size    int
	deliver func()
}

// linkRate returns the capacity of a host's link, or 0 if it has no limit.
func (w *simulation) linkRate(host int) float64 {
	if len(w.ports.out) == 0 {
		return 0
	}
	return w.ports.out[host].rate
}
