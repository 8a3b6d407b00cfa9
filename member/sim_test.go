package member_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/peer"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	latency     = 5 * time.Millisecond
	callTimeout = 500 * time.Millisecond
	maxDelay    = 2 * time.Second
)

// process is one run of a daemon in the simulated network.
type process struct {
	state   *member.State
	inc     ticket.Incarnation
	start   time.Duration
	host    string
	zone    string
	address string
	dead    bool
	paused  bool
	leaving bool
	noticed bool // SelfReplaced was emitted
	eps     []place.Endpoint
	backlog []func() // deliveries during a pause
}

// tick is the time step of the simulation.
const tick = 50 * time.Millisecond

// world is a simulated network of processes with an oracle.
type world struct {
	rng       *rand.Rand
	now       time.Duration
	current   map[string]*process // by host
	procs     []*process
	byAddress map[string]*process
	cut       map[string]int // side of a partition by zone or host; 0 is the main side
	loss      float64
	delay     bool
	off       member.SwitchOff
	tick      time.Duration
	unchecked bool          // skip the order check, which costs time with many hosts
	clockBack time.Duration // how far the wall clock of new processes is behind
	queue     []delivery
	endpoints []place.Endpoint
	entries   []member.Listed                          // of the platform's last list
	newest    map[string]map[string]ticket.Incarnation // view host+incarnation -> host -> newest seen
	started   map[ticket.Incarnation]time.Duration
	marks     map[member.Mark]bool
	messages  int
	bytes     int
	largest   int
	problem   string
}

type delivery struct {
	at time.Duration
	do func()
}

func newWorld(seed uint64, zones, hosts int, off member.SwitchOff) *world {
	w := &world{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		current: make(map[string]*process), byAddress: make(map[string]*process), cut: make(map[string]int),
		newest:  make(map[string]map[string]ticket.Incarnation),
		started: make(map[ticket.Incarnation]time.Duration),
		marks:   make(map[member.Mark]bool),
		off:     off,
		tick:    tick,
	}
	var peers []member.Peer
	for i := range hosts {
		zone := fmt.Sprintf("zone-%02d", i%zones)
		peers = append(peers, member.Peer{Host: fmt.Sprintf("%s-%d", zone, i/zones), Zone: zone, Address: fmt.Sprintf("10.0.%d.%d:7102", i/250, i%250)})
	}
	for i := range 3 {
		w.endpoints = append(w.endpoints, place.Endpoint{ID: place.EndpointID(fmt.Sprintf("minion-%d", i)), Identity: "first"})
	}
	for _, p := range peers {
		w.startProcess(p.Host, p.Zone, p.Address, peers)
	}
	return w
}

func (w *world) startProcess(host, zone, address string, peers []member.Peer) {
	inc := ticket.Incarnation(w.rng.Uint64() | 1)
	p := &process{inc: inc, start: w.now, host: host, zone: zone, address: address}
	p.state = member.New(member.Options{
		Host: host, Zone: zone, Address: address, Incarnation: inc, ConfigSchema: 1,
		FirstHeartbeat: uint64(1_700_000_000_000 + (w.now - w.clockBack).Milliseconds()), Seed: w.rng.Uint64(), Peers: peers,
	})
	p.state.Disable(w.off)
	w.started[inc] = w.now
	w.current[host], w.byAddress[address] = p, p
	w.procs = append(w.procs, p)
	w.apply(p, member.HostList{Endpoints: w.endpoints})
}

// hosts returns the host names in order.
func (w *world) hosts() []string {
	out := make([]string, 0, len(w.current))
	for h := range w.current {
		out = append(out, h)
	}
	sort.Strings(out)
	return out
}

func (w *world) peersOf() []member.Peer {
	var out []member.Peer
	for _, h := range w.hosts() {
		out = append(out, member.Peer{Host: h, Zone: w.current[h].zone, Address: w.current[h].address})
	}
	return out
}

// run advances the time.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += w.tick
		w.deliver()
		for _, p := range w.procs {
			if !p.dead && !p.paused {
				w.apply(p, member.Tick{})
			}
		}
	}
}

func (w *world) deliver() {
	sort.SliceStable(w.queue, func(i, j int) bool { return w.queue[i].at < w.queue[j].at })
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		next := w.queue[0]
		w.queue = w.queue[1:]
		next.do()
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.queue = append(w.queue, delivery{at: w.now + d, do: do})
}

func (w *world) apply(p *process, ev member.Event) []member.Effect {
	effects := append([]member.Effect(nil), p.state.Apply(w.processTime(p), ev)...)
	for _, e := range effects {
		switch e := e.(type) {
		case member.Send:
			w.send(p, e)
		case member.EndpointsChanged:
			p.eps = e.Endpoints
		case member.SelfReplaced:
			p.noticed = true
		}
	}
	w.checkOrder(p)
	return effects
}

func (w *world) processTime(p *process) time.Duration { return w.now - p.start }

func (w *world) measure(m *member.Message) {
	n := proto.Size(peer.EncodeGossip(m))
	w.messages++
	w.bytes += n
	w.largest = max(w.largest, n)
	if n > member.MaxMessageBytes {
		w.fail("a message has %d bytes, the bound is %d", n, member.MaxMessageBytes)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) reachable(a, b *process) bool {
	return w.cut[a.zone] == w.cut[b.zone] && w.cut[a.host] == w.cut[b.host]
}

func (w *world) transit() (time.Duration, bool) {
	d := latency
	if w.delay && w.rng.Float64() < 0.1 {
		d = time.Duration(w.rng.Int64N(int64(maxDelay)))
	}
	return d, w.rng.Float64() >= w.loss
}

// send models a call: the answer, a refusal from an address without a process, or a
// timeout.
func (w *world) send(from *process, e member.Send) {
	w.measure(&e.Message)
	done := false
	end := func(ev member.Event) func() {
		return func() {
			if !done {
				done = true
				w.hand(from, ev)
			}
		}
	}
	failed := end(member.CallFailed{Host: e.Host, Incarnation: e.Incarnation})
	w.after(callTimeout, failed)
	d, arrives := w.transit()
	to := w.byAddress[e.Address]
	if to == nil || !arrives || !w.reachable(from, to) {
		return
	}
	w.after(d, func() {
		if to.dead {
			failed()
			return
		}
		w.handThen(to, func() { w.answer(from, to, e, end) })
	})
}

func (w *world) answer(from, to *process, e member.Send, end func(member.Event) func()) {
	for _, effect := range w.apply(to, member.Received{Token: 1, Message: e.Message}) {
		reply, ok := effect.(member.Reply)
		if !ok {
			continue
		}
		w.measure(&reply.Message)
		if d, arrives := w.transit(); arrives && w.reachable(from, to) && w.byAddress[from.address] == from {
			w.after(d, end(member.Replied{Host: e.Host, Address: e.Address, Incarnation: e.Incarnation, Message: reply.Message}))
		}
	}
}

// hand delivers an event, after a pause if there is one.
func (w *world) hand(p *process, ev member.Event) {
	w.handThen(p, func() { w.apply(p, ev) })
}

func (w *world) handThen(p *process, do func()) {
	switch {
	case p.dead:
	case p.paused:
		p.backlog = append(p.backlog, do)
	default:
		do()
	}
}

func (w *world) resume(p *process) {
	p.paused = false
	backlog := p.backlog
	p.backlog = nil
	for _, do := range backlog {
		do()
	}
}

// checkOrder fails if a view went back from an incarnation to one that started before.
// An incarnation that only the platform's list names has heartbeat 0 and does not count.
func (w *world) checkOrder(p *process) {
	if w.unchecked {
		return
	}
	key := p.inc.String()
	if w.newest[key] == nil {
		w.newest[key] = make(map[string]ticket.Incarnation)
	}
	for _, v := range p.state.Members(w.processTime(p)) {
		before := w.newest[key][v.Host]
		if v.Self || v.Heartbeat == 0 || v.Incarnation == before {
			continue
		}
		if before != 0 && w.started[v.Incarnation] < w.started[before] {
			w.fail("%s went back from incarnation %s of %s to the older %s", p.host, before, v.Host, v.Incarnation)
		}
		w.newest[key][v.Host] = v.Incarnation
	}
}

// checkQuiet compares every view with the truth after a quiet time. Every process must
// know the held marks.
func (w *world) checkQuiet(held map[member.Mark]bool) {
	for _, name := range w.hosts() {
		p := w.current[name]
		if p.dead {
			continue
		}
		for _, v := range p.state.Members(w.processTime(p)) {
			w.checkView(p, v)
		}
		for m := range held {
			if !hasLeaving(p.eps, m) {
				w.fail("%s does not know that %s (%s) is leaving", p.host, m.Endpoint, m.Identity)
			}
		}
		for _, ep := range p.eps {
			if ep.Leaving && !w.marks[member.Mark{Endpoint: ep.ID, Identity: ep.Identity}] {
				w.fail("%s takes %s (%s) for leaving", p.host, ep.ID, ep.Identity)
			}
		}
	}
}

func (w *world) checkView(p *process, v member.View) {
	truth := w.current[v.Host]
	if v.Self || truth == nil || truth.zone != p.zone {
		return
	}
	want := member.Live
	switch {
	case truth.dead:
		want = member.Gone
	case truth.leaving:
		want = member.Leaving
	}
	if v.Status == member.Unknown && truth.dead {
		return // it died before it was ever heard
	}
	if v.Status != want || !truth.dead && v.Incarnation != truth.inc {
		w.fail("%s sees %s as %s (incarnation %s), but it is %s (%s)", p.host, v.Host, v.Status, v.Incarnation, want, truth.inc)
	}
}

func hasLeaving(eps []place.Endpoint, m member.Mark) bool {
	for _, ep := range eps {
		if ep.ID == m.Endpoint && ep.Identity == m.Identity {
			return ep.Leaving
		}
	}
	return true // not in the list: gets no work
}
