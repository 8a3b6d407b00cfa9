package host

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// removalGrace is how long a worker without an entry is kept. Entries that lapse while
	// the store is away come back about two seconds after its return.
	removalGrace = 2500 * time.Millisecond
	// passOnDelay is how long a host may lag behind a configuration before a peer passes it
	// on.
	passOnDelay = 300 * time.Millisecond
	// standInDelay is that time for hosts without a cell.
	standInDelay = 900 * time.Millisecond
	// startGrace is how long a new process is left to read the workers itself. All hosts may
	// start at once, and each commander would send all entries to each of them.
	startGrace = 1500 * time.Millisecond
)

// entry is a worker's entry in the store.
type entry struct {
	info      fleet.Worker
	record    []byte
	offset    int64
	changedAt int64         // offset of the newest record that changed info
	removed   time.Duration // when its removal was read; 0: it is there
}

func (e *entry) gone(now time.Duration) bool {
	return e.removed != 0 && now-e.removed > removalGrace
}

// entries returns the known workers in a fixed order, so that runs repeat.
func (s *State) entries() []*entry {
	if s.listed == nil {
		s.listed = slices.SortedFunc(maps.Values(s.workers), func(a, b *entry) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return s.listed
}

// readConfig puts a configuration in force unless a newer one is. It never steps back.
func (s *State) readConfig(now time.Duration, record []byte, from string) {
	config, err := s.opts.Decode.Config(record)
	if err != nil {
		s.note("config", "", "configuration ignored", "from", from, "err", err)
		return
	}
	if s.config != nil && config.Version <= s.config.Version {
		return
	}
	s.note("config", "", "configuration in force", "version", config.Version, "from", from, "routes", len(config.Routes))
	s.config = config
	s.record = record
	s.adopted = now
	s.emit(ConfigInForce{Config: config})
}

// readWorkers takes news of the workers from the store.
func (s *State) readWorkers(now time.Duration, e WorkersRead) {
	named := make(map[string]bool, len(e.Records))
	for _, r := range e.Records {
		named[r.ID] = true
		s.readWorker(now, r)
	}
	if !e.Snapshot {
		return
	}
	for _, old := range s.entries() {
		if !named[old.info.ID] && old.removed == 0 {
			s.note("store", "", "worker is not listed any more", "worker", old.info.ID)
			old.removed = now
		}
	}
}

// readWorker takes an entry that is newer than the one known.
func (s *State) readWorker(now time.Duration, r WorkerRecord) {
	old := s.workers[r.ID]
	if old != nil && r.Offset < old.offset {
		return
	}
	if len(r.Record) == 0 {
		if old != nil && old.removed == 0 {
			s.note("store", "", "worker removed", "worker", r.ID, "offset", r.Offset)
			old.removed, old.offset = now, r.Offset
		}
		return
	}
	info, err := s.opts.Decode.Worker(r.ID, r.Record)
	if err != nil {
		s.note("store", "", "entry ignored", "worker", r.ID, "offset", r.Offset, "err", err)
		if old != nil && old.removed == 0 {
			old.removed, old.offset = now, r.Offset
		}
		return
	}
	e := &entry{info: info, record: r.Record, offset: r.Offset, changedAt: r.Offset}
	if old != nil && sameWorker(old.info, info) && old.removed == 0 {
		e.changedAt = old.changedAt
	} else {
		s.changed = true
	}
	s.workers[r.ID] = e
	s.listed = nil
}

func sameWorker(a, b fleet.Worker) bool {
	return a.Addr == b.Addr && a.Draining == b.Draining && a.Service == b.Service &&
		a.Zone == b.Zone && a.Capacity == b.Capacity && a.Born == b.Born && slices.Equal(a.Labels, b.Labels)
}

// expireWorkers forgets workers whose entries stayed away.
func (s *State) expireWorkers(now time.Duration) {
	for _, e := range s.entries() {
		if e.gone(now) {
			delete(s.workers, e.info.ID)
			delete(s.lost, e.info.ID)
			s.listed = nil
			s.changed = true
		}
	}
}

// updateDirectory hands the known workers to the scheduler.
func (s *State) updateDirectory(now time.Duration) {
	if !s.changed {
		return
	}
	s.changed = false
	list := make([]fleet.Worker, 0, len(s.workers))
	for _, e := range s.entries() {
		list = append(list, e.info)
	}
	s.sched.Step(now, sched.Directory{Workers: list})
}

func (s *State) storeState(reachable bool) {
	if s.store == reachable {
		return
	}
	s.store = reachable
	message := "store lost"
	if reachable {
		message = "store reached"
	}
	s.note("store", "", message)
}

// passOn gives hosts that lag behind what they need: the configuration, and the workers if
// they cannot read the store. Hosts that command a cell do so, since the others would only
// repeat it; hosts of the same zone step in for the configuration.
func (s *State) passOn(now time.Duration) {
	for _, p := range s.order {
		if !p.live {
			continue
		}
		s.passOnConfig(now, p)
		if !p.status.GetStoreReachable() && now-p.firstHeard >= startGrace {
			s.passOnWorkers(p)
		}
	}
}

func (s *State) passOnConfig(now time.Duration, p *peer) {
	if s.config == nil || p.configTo >= s.config.Version || p.status.GetConfigVersion() >= s.config.Version {
		return
	}
	switch age := now - s.adopted; {
	case s.Cells() > 0 && age < passOnDelay:
		return
	case s.Cells() == 0 && (age < standInDelay || p.info.GetZone() != s.opts.Self.Zone):
		return
	}
	p.configTo = s.config.Version
	p.session.Send(&meshpb.Message{Kind: &meshpb.Message_Config{Config: &meshpb.Config{Version: s.config.Version, Record: s.record}}})
}

func (s *State) passOnWorkers(p *peer) {
	if list := s.workersFor(p); len(list) > 0 {
		p.session.Send(&meshpb.Message{Kind: &meshpb.Message_Workers{Workers: &meshpb.Workers{Workers: list}}})
	}
}

// suppliesWorkers reports whether this host passes entries of workers on to a peer: commanders do
// so for the hosts of their zones, and for other commanders, which may have nobody else.
func (s *State) suppliesWorkers(p *peer) bool {
	for _, c := range s.owner.Claims() {
		if len(p.status.GetCells()) > 0 || c.Cell.Zone() == p.info.GetZone() {
			return true
		}
	}
	return false
}

// workersFor returns the entries of a peer's zone that have changed since they were passed on to
// it. A host commands only workers of its own zone, so the traffic of a deployment does not grow
// with its hosts times all workers.
func (s *State) workersFor(p *peer) []*meshpb.Worker {
	if !s.suppliesWorkers(p) {
		return nil
	}
	var list []*meshpb.Worker
	newest := p.workersTo
	for _, e := range s.entries() {
		if e.info.Zone != p.info.GetZone() || e.changedAt < p.workersTo || e.removed != 0 {
			continue
		}
		newest = max(newest, e.changedAt+1)
		list = append(list, &meshpb.Worker{Id: e.info.ID, Record: e.record, Offset: e.offset})
	}
	p.workersTo = newest
	return list
}

// passedOn takes the workers that a peer knows.
func (s *State) passedOn(now time.Duration, list *meshpb.Workers) {
	for _, w := range list.GetWorkers() {
		s.readWorker(now, WorkerRecord{ID: w.GetId(), Record: w.GetRecord(), Offset: w.GetOffset()})
	}
}
