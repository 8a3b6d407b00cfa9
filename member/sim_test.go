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
	latency         = 5 * time.Millisecond
	callTimeout     = 500 * time.Millisecond
	maxTransitDelay = 2 * time.Second // of a message that randomDelay delays
)

// process is one run of a daemon in the simulated network.
type process struct {
	state              *member.State
	incarnation        ticket.Incarnation
	startedAt          time.Duration
	host               string
	zone               string
	address            string
	dead               bool
	paused             bool
	leaving            bool
	noticedReplacement bool // SelfReplaced was emitted
	endpoints          []place.Endpoint
	deferred           []func() // what arrived during a pause, to be run after it
}

// tickInterval is the time between two ticks of a process, unless a test sets another step.
const tickInterval = 50 * time.Millisecond

// simulation is a simulated network of processes. Its checks compare their views with the
// actual state of the network.
type simulation struct {
	rng            *rand.Rand
	now            time.Duration
	current        map[string]*process // newest process of each host
	processes      []*process          // all, in order of their start
	byAddress      map[string]*process
	partitionSide  map[string]int // side of a partition, by zone or host; 0 is the side with the platform
	loss           float64        // share of the messages lost
	randomDelay    bool           // one message in ten takes up to maxTransitDelay
	disabled       member.Mechanism
	step           time.Duration
	skipOrderCheck bool          // the order check is slow with many hosts
	clockLag       time.Duration // how far the wall clock of new processes is behind the simulation
	queue          []delivery
	endpoints      []place.Endpoint
	lastListed     []member.ListedHost                      // entries of the platform's last list
	newestSeen     map[string]map[string]ticket.Incarnation // newest seen, by viewer and host
	startTimes     map[ticket.Incarnation]time.Duration
	marks          map[member.LeavingMark]bool // of endpoints that are leaving
	messageCount   int
	totalBytes     int
	largestBytes   int
	failure        string // first failed check, or empty
}

// delivery is a function that runs at a time of the simulation.
type delivery struct {
	at time.Duration
	do func()
}

func newSimulation(seed uint64, zones, hosts int, disabled member.Mechanism) *simulation {
	sim := &simulation{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		current: make(map[string]*process), byAddress: make(map[string]*process), partitionSide: make(map[string]int),
		newestSeen: make(map[string]map[string]ticket.Incarnation),
		startTimes: make(map[ticket.Incarnation]time.Duration),
		marks:      make(map[member.LeavingMark]bool),
		disabled:   disabled,
		step:       tickInterval,
	}
	var peers []member.Peer
	for i := range hosts {
		zone := fmt.Sprintf("zone-%02d", i%zones)
		peers = append(peers, member.Peer{Host: fmt.Sprintf("%s-%d", zone, i/zones), Zone: zone, Address: fmt.Sprintf("10.0.%d.%d:7102", i/250, i%250)})
	}
	for i := range 3 {
		sim.endpoints = append(sim.endpoints, place.Endpoint{ID: place.EndpointID(fmt.Sprintf("minion-%d", i)), Identity: "first"})
	}
	for _, p := range peers {
		sim.startProcess(p.Host, p.Zone, p.Address, peers)
	}
	return sim
}

func (sim *simulation) startProcess(host, zone, address string, peers []member.Peer) {
	inc := ticket.Incarnation(sim.rng.Uint64() | 1)
	p := &process{incarnation: inc, startedAt: sim.now, host: host, zone: zone, address: address}
	p.state = member.New(member.Options{
		Host: host, Zone: zone, Address: address, Incarnation: inc, ConfigSchema: 1,
		FirstHeartbeat: uint64(1_700_000_000_000 + (sim.now - sim.clockLag).Milliseconds()), Seed: sim.rng.Uint64(), Peers: peers,
	})
	p.state.Disable(sim.disabled)
	sim.startTimes[inc] = sim.now
	sim.current[host], sim.byAddress[address] = p, p
	sim.processes = append(sim.processes, p)
	sim.apply(p, member.HostList{Endpoints: sim.endpoints})
}

// hosts returns the sorted names of all hosts.
func (sim *simulation) hosts() []string {
	out := make([]string, 0, len(sim.current))
	for h := range sim.current {
		out = append(out, h)
	}
	sort.Strings(out)
	return out
}

func (sim *simulation) configuredPeers() []member.Peer {
	var out []member.Peer
	for _, h := range sim.hosts() {
		out = append(out, member.Peer{Host: h, Zone: sim.current[h].zone, Address: sim.current[h].address})
	}
	return out
}

// run advances the time by d, in steps, and delivers what is due.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += sim.step
		sim.deliver()
		for _, p := range sim.processes {
			if !p.dead && !p.paused {
				sim.apply(p, member.Tick{})
			}
		}
	}
}

func (sim *simulation) deliver() {
	sort.SliceStable(sim.queue, func(i, j int) bool { return sim.queue[i].at < sim.queue[j].at })
	for len(sim.queue) > 0 && sim.queue[0].at <= sim.now {
		next := sim.queue[0]
		sim.queue = sim.queue[1:]
		next.do()
	}
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.queue = append(sim.queue, delivery{at: sim.now + d, do: do})
}

func (sim *simulation) apply(p *process, ev member.Event) []member.Effect {
	effects := append([]member.Effect(nil), p.state.Apply(sim.processTime(p), ev)...)
	for _, e := range effects {
		switch e := e.(type) {
		case member.Send:
			sim.send(p, e)
		case member.EndpointsChanged:
			p.endpoints = e.Endpoints
		case member.SelfReplaced:
			p.noticedReplacement = true
		}
	}
	sim.checkOrder(p)
	return effects
}

func (sim *simulation) processTime(p *process) time.Duration { return sim.now - p.startedAt }

// countMessage counts a message and its encoded size and checks that against the limit.
func (sim *simulation) countMessage(m *member.Message) {
	n := proto.Size(peer.EncodeGossip(m))
	sim.messageCount++
	sim.totalBytes += n
	sim.largestBytes = max(sim.largestBytes, n)
	if n > member.MaxMessageBytes {
		sim.fail("a message has %d bytes, the bound is %d", n, member.MaxMessageBytes)
	}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf("at %v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) reachable(a, b *process) bool {
	return sim.partitionSide[a.zone] == sim.partitionSide[b.zone] && sim.partitionSide[a.host] == sim.partitionSide[b.host]
}

// drawTransit draws the delay of a message and whether it arrives.
func (sim *simulation) drawTransit() (time.Duration, bool) {
	d := latency
	if sim.randomDelay && sim.rng.Float64() < 0.1 {
		d = time.Duration(sim.rng.Int64N(int64(maxTransitDelay)))
	}
	return d, sim.rng.Float64() >= sim.loss
}

// send simulates a call. It ends with the first of: the answer, a refusal because the process
// at the address is dead, or the timeout.
func (sim *simulation) send(from *process, e member.Send) {
	sim.countMessage(&e.Message)
	done := false
	finish := func(ev member.Event) func() {
		return func() {
			if !done {
				done = true
				sim.handleEvent(from, ev)
			}
		}
	}
	failed := finish(member.CallFailed{Host: e.Host, Incarnation: e.Incarnation})
	sim.schedule(callTimeout, failed)
	d, arrives := sim.drawTransit()
	to := sim.byAddress[e.Address]
	if to == nil || !arrives || !sim.reachable(from, to) {
		return
	}
	sim.schedule(d, func() {
		if to.dead {
			failed()
			return
		}
		sim.runOrDefer(to, func() { sim.answer(from, to, e, finish) })
	})
}

// answer has the called process handle a message and sends its reply back.
func (sim *simulation) answer(from, to *process, e member.Send, finish func(member.Event) func()) {
	for _, effect := range sim.apply(to, member.Received{Token: 1, Message: e.Message}) {
		reply, ok := effect.(member.Reply)
		if !ok {
			continue
		}
		sim.countMessage(&reply.Message)
		if d, arrives := sim.drawTransit(); arrives && sim.reachable(from, to) && sim.byAddress[from.address] == from {
			sim.schedule(d, finish(member.Replied{Host: e.Host, Address: e.Address, Incarnation: e.Incarnation, Message: reply.Message}))
		}
	}
}

// handleEvent applies an event, after the end of the pause if the process is paused.
func (sim *simulation) handleEvent(p *process, ev member.Event) {
	sim.runOrDefer(p, func() { sim.apply(p, ev) })
}

// runOrDefer runs a function for a live process, after the end of a pause if it is paused.
func (sim *simulation) runOrDefer(p *process, do func()) {
	switch {
	case p.dead:
	case p.paused:
		p.deferred = append(p.deferred, do)
	default:
		do()
	}
}

// resume ends a pause and runs what arrived during it.
func (sim *simulation) resume(p *process) {
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, do := range deferred {
		do()
	}
}

// checkOrder fails if a view returned from an incarnation to one that started earlier. It
// ignores incarnations that only the platform's list has named; they have heartbeat 0.
func (sim *simulation) checkOrder(p *process) {
	if sim.skipOrderCheck {
		return
	}
	key := p.incarnation.String()
	if sim.newestSeen[key] == nil {
		sim.newestSeen[key] = make(map[string]ticket.Incarnation)
	}
	for _, v := range p.state.Members(sim.processTime(p)) {
		before := sim.newestSeen[key][v.Host]
		if v.Self || v.Heartbeat == 0 || v.Incarnation == before {
			continue
		}
		if before != 0 && sim.startTimes[v.Incarnation] < sim.startTimes[before] {
			sim.fail("%s went back from incarnation %s of %s to the older %s", p.host, before, v.Host, v.Incarnation)
		}
		sim.newestSeen[key][v.Host] = v.Incarnation
	}
}

// checkConverged compares every view with the actual state after a time without faults. Every
// process must know the required marks, and none that was never set.
func (sim *simulation) checkConverged(required map[member.LeavingMark]bool) {
	for _, name := range sim.hosts() {
		p := sim.current[name]
		if p.dead {
			continue
		}
		for _, v := range p.state.Members(sim.processTime(p)) {
			sim.checkView(p, v)
		}
		for m := range required {
			if !leavingOrUnlisted(p.endpoints, m) {
				sim.fail("%s does not know that %s (%s) is leaving", p.host, m.Endpoint, m.Identity)
			}
		}
		for _, ep := range p.endpoints {
			if ep.Leaving && !sim.marks[member.LeavingMark{Endpoint: ep.ID, Identity: ep.Identity}] {
				sim.fail("%s takes %s (%s) for leaving", p.host, ep.ID, ep.Identity)
			}
		}
	}
}

// checkView compares the entry of a member of the same zone with the actual state.
func (sim *simulation) checkView(p *process, v member.MemberView) {
	actual := sim.current[v.Host]
	if v.Self || actual == nil || actual.zone != p.zone {
		return
	}
	want := member.Live
	switch {
	case actual.dead:
		want = member.Gone
	case actual.leaving:
		want = member.Leaving
	}
	if v.Status == member.Unknown && actual.dead {
		return // it died before the viewer ever heard from it
	}
	if v.Status != want || !actual.dead && v.Incarnation != actual.incarnation {
		sim.fail("%s sees %s as %s (incarnation %s), but it is %s (%s)", p.host, v.Host, v.Status, v.Incarnation, want, actual.incarnation)
	}
}

// leavingOrUnlisted reports whether an endpoint gets no work: it is in the list as leaving, or
// it is not in the list with this identity.
func leavingOrUnlisted(eps []place.Endpoint, m member.LeavingMark) bool {
	for _, ep := range eps {
		if ep.ID == m.Endpoint && ep.Identity == m.Identity {
			return ep.Leaving
		}
	}
	return true
}
