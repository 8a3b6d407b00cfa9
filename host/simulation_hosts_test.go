package host

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
)

// simHost is an entry host and the process on it.
type simHost struct {
	w            *simulation
	index        int
	name         string
	zone         string
	addr         string
	skew         time.Duration // of its clock
	state        *State        // nil: no process
	processCount int           // number of the current process; a kill, a boot and a replaced state each add one
	life         int           // the same without replaced states: a process that drains goes on to do so
	frozen       bool
	stalled      bool     // the next step freezes the host; its effects are carried out on waking
	inbox        []Event  // events that wait while the host is frozen
	outbox       []Effect // effects that a stalled host carries out on waking
	seq          uint64
	open         map[uint64]*simJob // jobs whose callers wait
	closed       map[uint64]bool    // callers whose connections the kernel knows to be closed; true: looked at since
	lookedAt     time.Duration      // when the process last looked at the connections, on its clock
	blindUntil   time.Duration      // steps before then rest on the look before a pause
	version      int64              // of the configuration in force
	storeCut     bool
	// evacuationsRead is the offset from which the process reads the requests next; -1: none was read.
	evacuationsRead int
	draining        bool
	cancels         map[uint64]*simJob // jobs whose cancellations have no answer, by sequence number
	reads           int                // of the store, out of turn
	tookCellAt      time.Duration      // when it last took a cell
	announced       bool               // its entry in the store shows that it has commanded cells
	recordOffset    int64              // of its record in the store
	earlierVersion  bool               // it gives no signs of life
}

func (h *simHost) clock() time.Duration { return h.w.now + h.skew }

// boot starts a process.
func (h *simHost) boot() {
	w := h.w
	w.nextID++
	h.processCount++
	h.life++
	h.frozen, h.stalled, h.draining = false, false, false
	h.inbox, h.outbox, h.version = nil, nil, 0
	h.open = make(map[uint64]*simJob)
	h.closed = make(map[uint64]bool)
	h.lookedAt, h.blindUntil = h.clock(), 0
	h.cancels = make(map[uint64]*simJob)
	h.evacuationsRead = -1
	h.state = New(Options{
		AwaitEvacuations: true,
		Self:             Self{Name: h.name, Zone: h.zone, Addr: h.addr, ID: w.nextID, Weight: simWeight},
		Zones:            simZones, Seeds: []string{w.hosts[0].addr, w.hosts[len(w.hosts)-1].addr},
		Decode: Decoders{
			Config: decodeSimConfig,
			Worker: func(_ string, record []byte) (fleet.Worker, error) { return w.entries[string(record)], nil },
		},
		CellWorkers: w.cellWorkers, Placement: w.placement,
		LinkBytesPerSecond: w.linkRate(h.index),
		Seed:               w.nextID, Started: h.clock(), UnixMillis: 1767225600000 + w.now.Milliseconds() + w.rng.Int64N(3000),
	})
	h.writeRecord()
	process := h.processCount
	w.after(simLatency, func() { h.tick(process) })
	w.after(5*simLatency, func() { h.readStore(process) })
}

// kill ends the process, which breaks its callers' connections.
func (h *simHost) kill() {
	if h.state == nil {
		return
	}
	h.processCount++
	h.life++
	h.w.kills++
	h.state = nil
	for seq := range h.seq + 1 {
		if j := h.open[seq]; j != nil {
			j.unresolved++
			h.w.resendLater(j)
		}
	}
	h.open = make(map[uint64]*simJob)
}

// tick sends Tick events to a process until it ends.
func (h *simHost) tick(process int) {
	if h.processCount != process {
		return
	}
	if !h.frozen {
		h.step(Tick{})
	}
	h.w.after(simTickInterval, func() { h.tick(process) })
}

// readStore lets a process read the store at each storeReadInterval until it ends.
func (h *simHost) readStore(process int) {
	if h.processCount != process {
		return
	}
	h.readStoreOnce()
	h.w.after(storeReadInterval, func() { h.readStore(process) })
}

// readStoreSoon lets a process read the store out of turn.
func (h *simHost) readStoreSoon() {
	process := h.processCount
	h.w.after(2*simLatency, func() {
		if h.processCount == process {
			h.readStoreOnce()
		}
	})
}

// writeRecord writes the host's record into the store.
func (h *simHost) writeRecord() {
	if !h.storeCut {
		h.w.offset++
		h.recordOffset = h.w.offset
	}
}

// readStoreOnce lets a process read the whole store, as far as it needs it.
func (h *simHost) readStoreOnce() {
	if !h.storeCut && !h.frozen {
		read := WorkersRead{Snapshot: true}
		for _, ww := range h.w.workers {
			if !ww.unlisted {
				read.Records = append(read.Records, ww.record())
			}
		}
		hosts := HostsDiscovered{MaxFence: h.w.fence, FromStore: true, Records: make(map[string]HostRecord)}
		for _, o := range h.w.hosts {
			hosts.Hosts = append(hosts.Hosts, &meshpb.Host{Addr: o.addr, Zone: o.zone, Weight: simWeight})
			hosts.Records[o.addr] = HostRecord{Offset: o.recordOffset, Commanded: o.announced, SignsWhenIsolated: !o.earlierVersion}
		}
		events := []Event{ConfigRead{Record: h.w.simConfigRecord()}, h.readEvacuations(), hosts, StoreReachability{Reachable: true}}
		if h.state.ReadsWorkers() {
			events = append(events, read)
		}
		h.step(events...)
	} else if !h.frozen {
		h.step(StoreReachability{})
	}
}

// deliver passes events to the process with that number, or queues them while it is frozen. Events for
// an ended process are dropped.
func (h *simHost) deliver(process int, events ...Event) {
	switch {
	case h.processCount != process:
	case h.frozen:
		h.inbox = append(h.inbox, events...)
	default:
		h.step(events...)
	}
}

// simLookInterval is the time between two looks of a host at its callers.
const simLookInterval = 50 * time.Millisecond

// look returns the events with which the event loop of a host begins a batch: it looks at the connections of callers.
func (h *simHost) look() []Event {
	if h.w.now < h.blindUntil || h.clock()-h.lookedAt < simLookInterval {
		return nil
	}
	h.lookedAt = h.clock()
	var events []Event
	for _, seq := range slices.Sorted(maps.Keys(h.closed)) {
		if !h.closed[seq] {
			h.closed[seq] = true
			events = append(events, CallerGone{Seq: seq})
		}
	}
	return append(events, CallersSeen{At: h.clock()})
}

// arrivesClosed reports whether an event is the job of a caller that has left, which the event loop does not take.
func (h *simHost) arrivesClosed(ev Event) bool {
	e, ok := ev.(JobArrived)
	if !ok {
		return false
	}
	_, closed := h.closed[e.Seq]
	return closed
}

func (h *simHost) step(events ...Event) {
	events = append(h.look(), slices.DeleteFunc(events, h.arrivesClosed)...)
	if ev := h.fatalEvent(events); ev != nil {
		h.failOn(ev)
		return
	}
	effects := h.state.Step(h.clock(), events...)
	if h.stalled {
		h.stalled, h.frozen = false, true
		h.outbox = effects
		return
	}
	h.carryOut(effects)
}

// maxNoticeDelay is the time after a pause within which the server notes that callers have left.
const maxNoticeDelay = 70 * time.Millisecond

// wake resumes a frozen process. The events that have waited are applied one by one, the notices of callers that have
// left later than all others: they pass through more goroutines.
func (h *simHost) wake() {
	if h.state == nil || !h.frozen {
		h.stalled = false
		return
	}
	h.frozen = false
	inbox, outbox := h.inbox, h.outbox
	h.inbox, h.outbox = nil, nil
	h.carryOut(outbox)
	process := h.processCount
	for _, ev := range inbox {
		if _, isNotice := ev.(CallerGone); isNotice {
			h.w.after(time.Duration(h.w.rng.Int64N(int64(maxNoticeDelay))), func() { h.deliver(process, ev) })
			continue
		}
		h.deliver(process, ev)
	}
}

func (h *simHost) carryOut(effects []Effect) {
	for _, effect := range effects {
		h.w.recordEffect(h, effect)
		switch e := effect.(type) {
		case Answer:
			h.answered(e)
		case CancelAnswer:
			h.cancelAnswered(e)
		case SendFrame:
			h.send(e)
		case Redial:
			if o := h.w.hostAt(e.Addr); o != nil {
				h.w.links[[2]int{h.index, o.index}].redial()
			}
		case LogEntry:
			if h.w.onLog != nil {
				h.w.onLog(e)
			}
		case AnnounceFence:
			h.tookCellAt = h.w.now
			if !h.storeCut {
				h.w.fence = max(h.w.fence, e.Fence)
				h.announced = true
			}
		case SignHost:
			h.writeRecord()
		case ReadHosts:
			h.readStoreSoon()
		case ReadWorkers:
			h.reads++
			h.readStoreSoon()
		case ConfigFetched:
			process := h.processCount
			h.w.after(simLatency, func() { h.deliver(process, ConfigRead{Record: e.Record, From: e.From}) })
		case ActivateConfig:
			if e.Config.Version < h.version {
				h.w.fail("host %s went from configuration %d back to %d", h.name, h.version, e.Config.Version)
			}
			h.version = e.Config.Version
		case sched.StartRun:
			h.checkZoneOpen(e.Worker.Zone)
			h.w.order(h, e)
		case sched.StopRun, sched.HoldWorker:
			h.w.order(h, e)
		}
	}
}

// recordEffect adds an order or an answer to the trace if tracing is on.
func (w *simulation) recordEffect(h *simHost, effect Effect) {
	if !w.tracing {
		return
	}
	switch effect.(type) {
	case Answer, sched.StartRun, sched.StopRun, sched.HoldWorker:
		w.trace = append(w.trace, fmt.Sprintf("%v %s %+v", w.now, h.name, effect))
	}
}

func (w *simulation) hostAt(addr string) *simHost {
	for _, h := range w.hosts {
		if h.addr == addr {
			return h
		}
	}
	return nil
}
