package host

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/internal/workermodel"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// worldTick is the period of the hosts' clocks.
	worldTick = 25 * time.Millisecond
	// worldLatency is how long bytes are under way.
	worldLatency = time.Millisecond
	// readPeriod is the time between two reads of the store.
	readPeriod = 600 * time.Millisecond
	// orderLimit and holdLimit are how long the shell waits for a worker's answer.
	orderLimit = 80 * time.Millisecond
	holdLimit  = 100 * time.Millisecond
	// resendTime is how long callers wait before they send a job again whose fate is open.
	resendTime = 1300 * time.Millisecond
	// bootTime is how long a process takes to start.
	bootTime = 200 * time.Millisecond
)

// world is a deployment in virtual time: entry hosts, model workers, callers and the store,
// with networks between them that delay, lose and cut.
type world struct {
	rng         *rand.Rand
	now         time.Duration
	pending     timeline
	number      int
	hosts       []*worldHost
	workers     []*worldWorker
	links       map[[2]int]*worldLink // between hosts, by sender and receiver
	jobs        map[string]*worldJob
	entries     map[string]fleet.Worker // what a record of the store stands for
	offset      int64                   // of the newest record
	version     int64                   // of the newest configuration
	fence       int64                   // highest announced token
	nextID      uint64
	nextJob     int
	load        time.Duration // between two jobs of the basic load; 0: there is none
	broken      error         // the first broken rule
	tracing     bool
	cellWorkers int
	trace       []string // orders and answers, if they are kept
}

// occasion is something that happens at a time.
type occasion struct {
	at     time.Duration
	number int
	run    func()
}

// timeline is a heap of occasions.
type timeline []occasion

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].number < t[j].number
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(occasion)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// after runs something after a time.
func (w *world) after(d time.Duration, run func()) {
	w.number++
	heap.Push(&w.pending, occasion{at: w.now + d, number: w.number, run: run})
}

// pass lets time pass.
func (w *world) pass(d time.Duration) {
	end := w.now + d
	for len(w.pending) > 0 && w.pending[0].at <= end && w.broken == nil {
		o := heap.Pop(&w.pending).(occasion)
		w.now = max(w.now, o.at)
		o.run()
	}
	w.now = end
}

func (w *world) breaks(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf("%v: "+format, append([]any{w.now}, args...)...)
	}
}

// newWorld returns a deployment of two zones, each with hosts and workers, of which one host
// commands up to cellWorkers.
func newWorld(seed uint64, hostsPerZone, workersPerZone, cellWorkers int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 0)), now: time.Hour,
		links: make(map[[2]int]*worldLink), jobs: make(map[string]*worldJob), entries: make(map[string]fleet.Worker),
	}
	w.version, w.cellWorkers = 1, cellWorkers
	for i := range 2 * workersPerZone {
		w.addWorker(fmt.Sprintf("w%d", i), worldZones[i%2], []float64{1, 0.98, 1}[i%3])
	}
	for i := range 2 * hostsPerZone {
		h := &worldHost{
			w: w, index: i, name: fmt.Sprintf("h%d", i), zone: worldZones[i%2],
			addr: fmt.Sprintf("10.0.0.%d:1", i), skew: time.Duration(i) * 17 * time.Minute,
		}
		w.hosts = append(w.hosts, h)
		for j := range i {
			w.links[[2]int{i, j}], w.links[[2]int{j, i}] = &worldLink{}, &worldLink{}
		}
	}
	for _, h := range w.hosts {
		h.boot()
	}
	w.submitLoad()
	return w
}

var worldZones = []string{"north", "south"}

// worldWorker is a worker of the deployment.
type worldWorker struct {
	*workermodel.Worker
	info    fleet.Worker
	offset  int64    // of its entry
	waiters []func() // holds that wait for an end
	hidden  bool     // has no entry in the store
	cut     bool     // from all hosts
	zoneCut bool     // from the hosts of other zones
	late    float64  // share of the orders that are left unanswered and carried out later
	deaf    float64  // share of the orders that are carried out and not answered
}

func (w *world) addWorker(id, zone string, rate float64) {
	capacity := fleet.Resources{CPU: 64000, Memory: 1000}
	ww := &worldWorker{
		Worker: workermodel.New(id, capacity, rate),
		info:   fleet.Worker{ID: id, Service: "s", Zone: zone, Addr: id, Capacity: capacity},
	}
	w.workers = append(w.workers, ww)
	w.list(ww)
}

// list writes a worker's entry into the store.
func (w *world) list(ww *worldWorker) {
	w.offset++
	ww.offset = w.offset
	w.entries[fmt.Sprintf("%s %d", ww.ID, ww.offset)] = ww.info
}

func (ww *worldWorker) record() WorkerRecord {
	return WorkerRecord{ID: ww.ID, Record: fmt.Appendf(nil, "%s %d", ww.ID, ww.offset), Offset: ww.offset}
}

// expire ends runs whose time is over.
func (w *world) expire() {
	for _, ww := range w.workers {
		ww.Expire(w.now)
	}
}

// check looks for broken rules on the workers.
func (w *world) check() {
	w.expire()
	models := make([]*workermodel.Worker, len(w.workers))
	for i, ww := range w.workers {
		models[i] = ww.Worker
	}
	if err := workermodel.Check(models); err != nil {
		w.breaks("%v", err)
	}
}

// worldLink is the connection from one host to another one.
type worldLink struct {
	cut    bool // partitioned
	silent bool // until it is replaced
	held   []func()
}

// open reports whether bytes get through.
func (l *worldLink) open() bool { return !l.cut && !l.silent }

// heal ends a partition. What the sender has not given up arrives now.
func (l *worldLink) heal(w *world) {
	l.cut = false
	if !l.open() {
		return
	}
	for _, deliver := range l.held {
		w.after(worldLatency, deliver)
	}
	l.held = nil
}

// redial replaces the connection; what was under way on it is lost.
func (l *worldLink) redial() {
	l.silent = false
	l.held = nil
}

// worldHost is an entry host and the process on it.
type worldHost struct {
	w        *world
	index    int
	name     string
	zone     string
	addr     string
	skew     time.Duration // of its clock
	state    *State        // nil: no process
	life     int           // counts processes
	frozen   bool
	stalled  bool // the effects of the next step are carried out when the host wakes
	inbox    []Event
	outbox   []Effect
	seq      uint64
	open     map[uint64]*worldJob // callers that wait
	version  int64                // of the configuration in force
	storeCut bool
	draining bool
}

func (h *worldHost) clock() time.Duration { return h.w.now + h.skew }

// boot starts a process.
func (h *worldHost) boot() {
	w := h.w
	w.nextID++
	h.life++
	h.frozen, h.stalled, h.draining = false, false, false
	h.inbox, h.outbox, h.version = nil, nil, 0
	h.open = make(map[uint64]*worldJob)
	h.state = New(Options{
		Self:  Self{Name: h.name, Zone: h.zone, Addr: h.addr, ID: w.nextID, Weight: 400},
		Zones: worldZones, Seeds: []string{w.hosts[0].addr, w.hosts[len(w.hosts)-1].addr},
		Decode: Decoders{
			Config: func(record []byte) (*fleet.Config, error) {
				return &fleet.Config{Version: int64(len(record))}, nil
			},
			Worker: func(_ string, record []byte) (fleet.Worker, error) { return w.entries[string(record)], nil },
		},
		CellWorkers: w.cellWorkers,
		Seed:        w.nextID, Started: h.clock(), UnixMillis: 1767225600000 + w.now.Milliseconds() + w.rng.Int64N(3000),
	})
	life := h.life
	w.after(worldLatency, func() { h.tick(life) })
	w.after(5*worldLatency, func() { h.readStore(life) })
}

// kill ends the process. Its callers see their connections break.
func (h *worldHost) kill() {
	if h.state == nil {
		return
	}
	h.life++
	h.state = nil
	for seq := range h.seq + 1 {
		if j := h.open[seq]; j != nil {
			j.unresolved++
			h.w.resendLater(j)
		}
	}
	h.open = make(map[uint64]*worldJob)
}

func (h *worldHost) tick(life int) {
	if h.life != life {
		return
	}
	if !h.frozen {
		h.take(Tick{})
	}
	h.w.after(worldTick, func() { h.tick(life) })
}

// readStore reads everything that the store holds.
func (h *worldHost) readStore(life int) {
	if h.life != life {
		return
	}
	if !h.storeCut && !h.frozen {
		read := WorkersRead{Snapshot: true}
		for _, ww := range h.w.workers {
			if !ww.hidden {
				read.Records = append(read.Records, ww.record())
			}
		}
		hosts := HostsKnown{MaxFence: h.w.fence}
		for _, o := range h.w.hosts {
			hosts.Hosts = append(hosts.Hosts, &meshpb.Host{Addr: o.addr})
		}
		h.take(ConfigRead{Record: make([]byte, h.w.version)}, read, hosts, StoreState{Reachable: true})
	} else if !h.frozen {
		h.take(StoreState{})
	}
	h.w.after(readPeriod, func() { h.readStore(life) })
}

// deliver hands events to a process, now or when it wakes.
func (h *worldHost) deliver(life int, events ...Event) {
	switch {
	case h.life != life:
	case h.frozen:
		h.inbox = append(h.inbox, events...)
	default:
		h.take(events...)
	}
}

func (h *worldHost) take(events ...Event) {
	effects := h.state.Step(h.clock(), events...)
	if h.stalled {
		h.stalled, h.frozen = false, true
		h.outbox = effects
		return
	}
	h.carryOut(effects)
}

// wake ends a freeze.
func (h *worldHost) wake() {
	if h.state == nil || !h.frozen {
		h.stalled = false
		return
	}
	h.frozen = false
	inbox, outbox := h.inbox, h.outbox
	h.inbox, h.outbox = nil, nil
	h.carryOut(outbox)
	if h.state != nil {
		h.take(inbox...)
	}
}

func (h *worldHost) carryOut(effects []Effect) {
	for _, effect := range effects {
		h.w.note(h, effect)
		switch e := effect.(type) {
		case Answer:
			h.answered(e)
		case SendFrame:
			h.send(e)
		case Redial:
			if o := h.w.hostAt(e.Addr); o != nil {
				h.w.links[[2]int{h.index, o.index}].redial()
			}
		case Announce:
			if !h.storeCut {
				h.w.fence = max(h.w.fence, e.Fence)
			}
		case ConfigInForce:
			if e.Config.Version < h.version {
				h.w.breaks("host %s went from configuration %d back to %d", h.name, h.version, e.Config.Version)
			}
			h.version = e.Config.Version
		case sched.StartRun, sched.StopRun, sched.HoldWorker:
			h.w.order(h, e)
		}
	}
}

// note keeps an order or an answer if the world is traced.
func (w *world) note(h *worldHost, effect Effect) {
	if !w.tracing {
		return
	}
	switch effect.(type) {
	case Answer, sched.StartRun, sched.StopRun, sched.HoldWorker:
		w.trace = append(w.trace, fmt.Sprintf("%v %s %+v", w.now, h.name, effect))
	}
}

func (w *world) hostAt(addr string) *worldHost {
	for _, h := range w.hosts {
		if h.addr == addr {
			return h
		}
	}
	return nil
}

func (h *worldHost) send(e SendFrame) {
	to := h.w.hostAt(e.Addr)
	if to == nil {
		return
	}
	f := e.Frame
	sent := &meshpb.Frame{From: f.GetFrom(), To: f.GetTo(), Sent: f.GetSent(), Echo: f.GetEcho(), Ack: f.GetAck(), First: f.GetFirst(), Messages: f.GetMessages(), Status: f.GetStatus()}
	life := to.life
	link := h.w.links[[2]int{h.index, to.index}]
	deliver := func() {
		if to.state != nil {
			to.deliver(life, FrameIn{Frame: sent})
		}
	}
	if !link.open() {
		link.held = append(link.held, deliver)
		return
	}
	h.w.after(worldLatency, func() {
		if link.open() {
			deliver()
		}
	})
}
