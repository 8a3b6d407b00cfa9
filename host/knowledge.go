package host

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/owner"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// removalGrace is how long a worker is kept after its entry was removed. Entries that expire
	// while the store is unreachable come back about two seconds after its return.
	removalGrace = 2500 * time.Millisecond
	// commanderForwardDelay is how long a host that commands cells waits for a peer to read a new
	// configuration itself before it forwards the configuration to the peer.
	commanderForwardDelay = 300 * time.Millisecond
	// fallbackForwardDelay is the same delay for hosts without a cell, which forward only in case
	// no commander does.
	fallbackForwardDelay = 900 * time.Millisecond
	// workerForwardDelay is how long a new process has to read the workers itself before entries
	// are forwarded to it. All hosts may start at once, and without the delay each commander would
	// send all entries to each of them.
	workerForwardDelay = 1500 * time.Millisecond
	// entriesWantedInterval is the shortest time between two reads of the workers' entries that are
	// asked for out of turn. A process may answer a little before its entry is in the store.
	entriesWantedInterval = 150 * time.Millisecond
)

// workerEntry is a worker's entry in the store.
type workerEntry struct {
	info      fleet.Worker
	record    []byte
	offset    int64
	change    uint64        // number of the newest change of info or removal, of those counted by State.workerChanges
	removedAt time.Duration // when its removal was read; 0: not removed
}

func (e *workerEntry) expired(now time.Duration) bool {
	return e.removedAt != 0 && now-e.removedAt > removalGrace
}

// sortedEntries returns the known workers sorted by ID, so that equal events have equal effects.
func (s *State) sortedEntries() []*workerEntry {
	if s.sortedWorkers == nil {
		s.sortedWorkers = slices.SortedFunc(maps.Values(s.workers), func(a, b *workerEntry) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return s.sortedWorkers
}

// handleWorkersRead applies worker entries that were read from the store.
func (s *State) handleWorkersRead(now time.Duration, e WorkersRead) {
	named := make(map[string]bool, len(e.Records))
	for _, r := range e.Records {
		named[r.ID] = true
		s.applyWorkerRecord(now, r)
	}
	if !e.Snapshot {
		return
	}
	for _, old := range s.sortedEntries() {
		if !named[old.info.ID] && old.removedAt == 0 {
			s.log("store", "", "worker is not listed any more", "worker", old.info.ID)
			s.markRemoved(now, old)
		}
	}
}

// applyWorkerRecord applies a worker's record unless it is older than the known entry.
func (s *State) applyWorkerRecord(now time.Duration, r WorkerRecord) {
	old := s.workers[r.ID]
	if old != nil && r.Offset < old.offset {
		return
	}
	if len(r.Record) == 0 {
		if old != nil && old.removedAt == 0 {
			s.log("store", "", "worker removed", "worker", r.ID, "offset", r.Offset)
			old.offset = r.Offset
			s.markRemoved(now, old)
		}
		return
	}
	info, err := s.opts.Decode.Worker(r.ID, r.Record)
	if err != nil {
		s.log("store", "", "entry ignored", "worker", r.ID, "offset", r.Offset, "err", err)
		if old != nil && old.removedAt == 0 {
			old.offset = r.Offset
			s.markRemoved(now, old)
		}
		return
	}
	info.ColdUntil = coldUntil(now, old, r.Offset, info)
	e := &workerEntry{info: info, record: r.Record, offset: r.Offset}
	if old != nil && sameWorker(old.info, info) && sameColdness(now, old.info, info) && old.removedAt == 0 {
		e.change = old.change
	} else {
		s.countChange(e)
		s.directoryChanged = true
	}
	s.workers[r.ID] = e
	s.sortedWorkers = nil
}

// wantEntries asks for a read of the workers' entries, because a worker has another process than its
// entry describes. One read serves all workers that restart within entriesWantedInterval.
func (s *State) wantEntries(now time.Duration) {
	if s.entriesWantedAt != 0 && now-s.entriesWantedAt < entriesWantedInterval {
		return
	}
	s.entriesWantedAt = now
	s.emit(ReadWorkers{})
}

// markRemoved records that the removal of a worker's entry was read.
func (s *State) markRemoved(now time.Duration, e *workerEntry) {
	e.removedAt = now
	s.countChange(e)
}

// countChange makes an entry due to be forwarded.
func (s *State) countChange(e *workerEntry) {
	s.workerChanges++
	e.change = s.workerChanges
}

// sameWorker reports whether two entries of a worker are equal.
func sameWorker(a, b fleet.Worker) bool {
	return a.Addr == b.Addr && a.Draining == b.Draining && a.Service == b.Service && a.Kind == b.Kind && a.Rack == b.Rack &&
		a.Zone == b.Zone && a.Capacity == b.Capacity && a.ProcessStart == b.ProcessStart && slices.Equal(a.Labels, b.Labels)
}

// expireWorkers deletes workers whose entries have been removed for longer than removalGrace.
func (s *State) expireWorkers(now time.Duration) {
	for _, e := range s.sortedEntries() {
		if e.expired(now) {
			delete(s.workers, e.info.ID)
			delete(s.fencedUntil, e.info.ID)
			s.sortedWorkers = nil
			s.directoryChanged = true
		}
	}
}

// updateDirectory passes the known workers to the scheduler if they have changed.
func (s *State) updateDirectory(now time.Duration) {
	if !s.directoryChanged {
		return
	}
	s.directoryChanged = false
	list := make([]fleet.Worker, 0, len(s.workers))
	for _, e := range s.sortedEntries() {
		list = append(list, e.info)
	}
	s.sched.Step(now, sched.UpdateWorkers{Workers: list})
}

// handleStoreState records whether the store answers, and logs a change.
func (s *State) handleStoreState(reachable bool) {
	if s.storeReachable == reachable {
		return
	}
	s.storeReachable = reachable
	message := "store lost"
	if reachable {
		message = "store reached"
	}
	s.log("store", "", message)
}

// forwardToPeers forwards evacuations and reports of losses to peers that lack them, and worker entries to
// peers that do not read them from the store: those that cannot, and those without a cell. Only hosts
// that command a cell forward, since the others would only repeat it; for evacuations, hosts of
// the peer's zone do so after a longer delay. Package configsync passes on configurations.
func (s *State) forwardToPeers(now time.Duration) {
	for _, p := range s.sortedPeers {
		if !p.live {
			continue
		}
		s.forwardConfig(now, p)
		s.forwardEvacuations(now, p)
		s.forwardLosses(now, p)
		if (!p.status.GetStoreReachable() || !p.commands()) && now-p.firstContactAt >= workerForwardDelayFor(p) {
			s.forwardWorkers(p)
		}
	}
}

// forwardConfig sends the configuration to a host of an earlier version, which does not ask for it.
func (s *State) forwardConfig(now time.Duration, p *peer) {
	if p.status.GetServesConfig() || s.config == nil || p.forwardedConfig >= s.config.Version || p.status.GetConfigVersion() >= s.config.Version {
		return
	}
	if !s.mayForward(p, now-s.configAdoptedAt) {
		return
	}
	if s.sendMessage(p, &meshpb.Message{Kind: &meshpb.Message_Config{Config: &meshpb.Config{Version: s.config.Version, Record: s.configRecord}}}) {
		p.forwardedConfig = s.config.Version
	}
}

// mayForward reports whether this host forwards what it has known for a time to a peer: commanders do so to
// all hosts, and after a longer delay, in case there is no commander, the others to those of their zone.
func (s *State) mayForward(p *peer, age time.Duration) bool {
	if s.CellCount() > 0 {
		return age >= commanderForwardDelay
	}
	return age >= fallbackForwardDelay && p.info.GetZone() == s.opts.Self.Zone
}

func (s *State) forwardWorkers(p *peer) {
	if s.sendWorkers(p, s.changedWorkersFor(p)) {
		p.forwardedChange = s.workerChanges
	}
}

// needsWorkerReads reports whether this host has to read the workers' entries from the store itself:
// if it commands a cell, or if a cell of its zone has no commander, who would forward them. Each
// worker writes its entry every second or so, so reads by all hosts would cost the number of hosts
// times that of workers.
func (s *State) needsWorkerReads(others []owner.Host) bool {
	return s.CellCount() > 0 || len(s.cellsWithoutCommander(s.opts.Self.Zone, others)) > 0
}

// ReadsWorkers reports whether the process has to read the workers' entries from the store.
func (s *State) ReadsWorkers() bool { return s.readsWorkers }

// forwardsWorkersTo reports whether this host forwards worker entries to a peer. Commanders forward
// them to the hosts of their zones, and to other commanders, which may have no other source.
func (s *State) forwardsWorkersTo(p *peer) bool {
	for _, c := range s.owner.Claims() {
		if p.commands() || c.Cell.Zone() == p.info.GetZone() {
			return true
		}
	}
	return s.owner.HasClaims() && s.lacksAllSources(p)
}

// changedWorkersFor returns the entries of a peer's zone that have changed since they were last
// forwarded to it. An entry without a record has been removed. Entries of other zones are left out
// because a host commands only workers of its own
// zone, and because the traffic would grow with the number of hosts times that of all workers.
func (s *State) changedWorkersFor(p *peer) []*meshpb.Worker {
	if p.forwardedChange == s.workerChanges || !s.forwardsWorkersTo(p) {
		return nil
	}
	var list []*meshpb.Worker
	for _, e := range s.sortedEntries() {
		if e.info.Zone != p.info.GetZone() || e.change <= p.forwardedChange {
			continue
		}
		w := &meshpb.Worker{Id: e.info.ID, Offset: e.offset}
		if e.removedAt == 0 {
			w.Record = e.record
		}
		list = append(list, w)
	}
	return list
}

// handleForwardedWorkers applies the worker entries that a peer has forwarded.
func (s *State) handleForwardedWorkers(now time.Duration, list *meshpb.Workers) {
	for _, w := range list.GetWorkers() {
		s.applyWorkerRecord(now, WorkerRecord{ID: w.GetId(), Record: w.GetRecord(), Offset: w.GetOffset()})
	}
}
