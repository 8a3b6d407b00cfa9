package host

import (
	"cmp"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/owner"
	"sesameledge.dev/sesameledge/sched"
	"sesameledge.dev/sesameledge/session"
)

// peer is another entry host.
type peer struct {
	info             *meshpb.Host  // name, zone and process ID are empty until its first frame
	listed           bool          // the store lists it; listedWeight and commanded are then known
	listedWeight     int64         // processors, in thousandths of a core
	commanded        bool          // its process in the store has commanded cells
	discoveredZone   string        // zone in the record or list that named the host; empty if unknown
	contacted        bool          // this host keeps in contact with it
	contactNeededAt  time.Duration // when the contact was last needed
	session          *session.Session
	status           *meshpb.Status
	live             bool
	firstContactAt   time.Duration
	lastSentAt       time.Duration // when the last frame was sent to it
	redialedAt       time.Duration
	statusReceivedAt time.Duration
	// assignedWork is the CPU that the tasks need which were assigned to its cells since
	// statusReceivedAt, in thousandths of a core.
	assignedWork       map[fleet.Cell]int64
	lastJobAt          time.Duration    // when a job was last in progress between the two hosts; 0: never
	unconfirmed        []unconfirmedJob // from the peer, in the order of receipt
	confirmSubmission  bool             // the peer waits for a frame that confirms a job; see unconfirmedJob
	jobExchangeSince   time.Duration    // when the two hosts began to exchange jobs; 0: they do not
	frequentHeartbeats bool             // jobs have been exchanged for at least heartbeatTransitionTime
	replacedIDs        map[uint64]bool  // IDs of earlier processes at this address
	forwardedConfig    int64            // newest configuration version forwarded to it
	// forwardedEvacuations is the position up to which evacuations were forwarded to it, plus one.
	forwardedEvacuations int64
	forwardedChange      uint64 // changes of worker entries up to this number were forwarded to it
	forwardedLosses      uint64 // changes of the reports of lost workers up to this number were forwarded to it
	lag                  configLag
	lastSign             sign
}

// zone returns the zone of a peer, or an empty string if it is not known.
func (p *peer) zone() string { return cmp.Or(p.info.GetZone(), p.discoveredZone) }

// commands reports whether a peer has announced cells.
func (p *peer) commands() bool { return len(p.status.GetCells()) > 0 }

// addPeer adds a host unless it is known; updateContact decides whether it is sent frames. A host whose
// zone is known is also reported to package owner.
func (s *State) addPeer(h *meshpb.Host) {
	if h.GetZone() != "" {
		s.owner.RecordKnownHost(h.GetZone(), h.GetWeight())
	}
	if h.GetAddr() == "" || h.GetAddr() == s.opts.Self.Addr {
		return
	}
	if known := s.peers[h.GetAddr()]; known != nil {
		known.discoveredZone = cmp.Or(h.GetZone(), known.discoveredZone)
		return
	}
	s.peers[h.GetAddr()] = &peer{
		info:           &meshpb.Host{Addr: h.GetAddr()},
		discoveredZone: h.GetZone(),
		session:        session.New(),
		status:         &meshpb.Status{},
		lastSentAt:     -unreachableHeartbeatInterval,
		assignedWork:   make(map[fleet.Cell]int64),
		replacedIDs:    make(map[uint64]bool),
	}
	s.sortedPeers = append(s.sortedPeers, s.peers[h.GetAddr()])
	slices.SortFunc(s.sortedPeers, func(a, b *peer) int { return cmp.Compare(a.info.GetAddr(), b.info.GetAddr()) })
}

// handleFrame processes a frame of another host.
func (s *State) handleFrame(now time.Duration, f *meshpb.Frame) {
	from := f.GetFrom()
	if from.GetId() == s.opts.Self.ID {
		return
	}
	if err := s.frameError(now, f); err != nil {
		s.stats.FramesRefused++
		s.log("mesh", "", "frame refused", "peer", from.GetName(), "addr", from.GetAddr(), "err", err)
		return
	}
	s.stats.FramesIn++
	s.addPeer(from)
	p := s.peers[from.GetAddr()]
	if p.replacedIDs[from.GetId()] {
		return // a delayed frame of a process that has been replaced
	}
	if p.info.GetId() != from.GetId() {
		s.handleProcessChange(now, p, from)
	}
	if f.GetTo() != s.opts.Self.ID {
		// The frame is for an earlier process at this address, or its sender does not know this
		// process yet: only the sender's own time stamp is valid.
		f.Echo, f.Ack, f.Messages = 0, 0, nil
	}
	messages := p.session.Receive(f)
	if p.session.LacksMessages(f) {
		p.makeFrameDue() // shows the sender what was lost
	}
	s.markLive(now, p)
	s.sched.RecordCallersSeen(p.info.GetId(), p.session.CallersSeen())
	if f.GetStatus() != nil {
		p.status = f.GetStatus()
		p.statusReceivedAt = now
		clear(p.assignedWork)
		s.maxFence = max(s.maxFence, p.status.GetMaxFence())
	}
	for _, m := range messages {
		s.handleMessage(now, p, f, m)
	}
	s.recheckRecovery(now, p)
	s.submitConfirmed(now, p, time.Duration(f.GetEcho()))
	if p.confirmSubmission && p.session.Unacknowledged() == 0 {
		p.confirmSubmission = false
		p.makeFrameDue()
	}
}

// handleProcessChange resets a peer when a new process sends from its address.
func (s *State) handleProcessChange(now time.Duration, p *peer, from *meshpb.Host) {
	if p.info.GetId() != 0 {
		s.log("mesh", "", "host restarted", "peer", from.GetName(), "addr", from.GetAddr())
		p.replacedIDs[p.info.GetId()] = true
		s.handlePeerLost(now, p)
	}
	delete(s.peersByID, p.info.GetId())
	p.info = from
	p.session = session.New()
	p.live = false
	p.firstContactAt = now
	p.contacted, p.contactNeededAt = true, now // it may need the answer to find other hosts
	p.forwardedConfig, p.forwardedChange, p.forwardedEvacuations, p.forwardedLosses = 0, 0, 0, 0
	s.peersByID[from.GetId()] = p
	p.redialedAt = now
	s.emit(Redial{Addr: from.GetAddr()}) // the connection may be in backoff after failed attempts
	p.session.Send(&meshpb.Message{Kind: &meshpb.Message_Hosts{Hosts: &meshpb.Hosts{Hosts: s.knownHosts(from.GetZone())}}})
}

// knownHosts returns those hosts from which a frame has been received that a host of a zone needs: the
// hosts of the zone and the commanders.
func (s *State) knownHosts(zone string) []*meshpb.Host {
	var hosts []*meshpb.Host
	for _, p := range s.sortedPeers {
		if p.info.GetId() != 0 && (p.info.GetZone() == zone || p.commands()) {
			hosts = append(hosts, p.info)
		}
	}
	return hosts
}

// expireContacts marks hosts as lost that have been silent for too long. It runs before any event
// is applied, so that a process that was suspended does not act on outdated state.
func (s *State) expireContacts(now time.Duration) {
	s.recordJobsInProgress(now)
	searching := s.searchesCommander(now)
	for i, p := range s.sortedPeers {
		s.updateContact(now, p, searching && s.isSearchContact(now, i))
		s.updateJobExchange(now, p)
		if p.live && !s.contactFresh(now, p) {
			s.log("mesh", "", "host lost", "peer", p.info.GetName(), "addr", p.info.GetAddr(), "silent", now-p.session.LastContact())
			s.handlePeerLost(now, p)
		}
	}
}

// handlePeerLost cancels the jobs that this host runs for a lost host, and aborts the jobs of its
// own callers that the lost host ran.
func (s *State) handlePeerLost(now time.Duration, p *peer) {
	p.live = false
	p.unconfirmed = nil
	s.relayCancellations(p.info.GetId())
	if n := s.sched.CancelJobsOfHost(now, p.info.GetId()); n > 0 {
		s.log("mesh", "", "jobs of a lost host cancelled", "peer", p.info.GetName(), "jobs", n)
	}
	s.abortJobsOf(now, p.info.GetId())
}

func (s *State) handleMessage(now time.Duration, p *peer, f *meshpb.Frame, m *meshpb.Message) {
	switch kind := m.GetKind().(type) {
	case *meshpb.Message_Submit:
		s.handleSubmit(now, p, f, kind.Submit)
	case *meshpb.Message_Cancel:
		p.dropUnconfirmed(kind.Cancel.GetSeq())
		s.sched.Step(now, sched.Cancel{Key: sched.JobKey{Host: p.info.GetId(), Seq: kind.Cancel.GetSeq()}})
	case *meshpb.Message_CancelJob:
		s.handleCancelJob(now, p, kind.CancelJob)
	case *meshpb.Message_CancelJobReply:
		s.handleCancelJobReply(p, kind.CancelJobReply)
	case *meshpb.Message_Outcome:
		s.handleOutcome(now, p.info.GetId(), kind.Outcome)
	case *meshpb.Message_Config:
		s.emit(ConfigFetched{Record: kind.Config.GetRecord(), From: p.info.GetName()})
	case *meshpb.Message_ConfigRequest:
		s.handleConfigRequest(p, kind.ConfigRequest)
	case *meshpb.Message_ConfigPart:
		s.handleConfigPart(now, p, kind.ConfigPart)
	case *meshpb.Message_Evacuations:
		s.handleForwardedEvacuations(now, p, kind.Evacuations)
	case *meshpb.Message_Workers:
		s.handleForwardedWorkers(now, kind.Workers)
	case *meshpb.Message_LostWorkers:
		s.handleLostWorkers(now, p, kind.LostWorkers)
	case *meshpb.Message_Hosts:
		for _, h := range kind.Hosts.GetHosts() {
			s.addPeer(h)
			s.contactListedCommander(now, h)
		}
	}
}

// contactListedCommander contacts a host that another one has listed. A list holds the hosts of the
// receiver's zone and the commanders of the others, so a host of another zone commands cells.
func (s *State) contactListedCommander(now time.Duration, h *meshpb.Host) {
	p := s.peers[h.GetAddr()]
	if p == nil || p.contacted || !s.searchesCommander(now) {
		return
	}
	p.contacted, p.contactNeededAt = true, now
}

// sendDueFrames sends due heartbeats, and a frame at once to each peer with unsent messages.
func (s *State) sendDueFrames(now time.Duration) {
	var status *meshpb.Status
	for _, p := range s.sortedPeers {
		s.reportRefusedMessages(p)
		if !p.contacted || !p.session.HasUnsent() && now-p.lastSentAt < s.heartbeatIntervalFor(now, p) {
			continue
		}
		s.redialIfSilent(now, p)
		if status == nil {
			status = s.ownStatus()
		}
		for n := 0; n == 0 || n < maxFramesPerStep && p.session.HasUnsent(); n++ {
			s.sendFrame(now, p, status)
		}
	}
}

// sendFrame sends a frame with the messages that are due to a peer.
func (s *State) sendFrame(now time.Duration, p *peer, status *meshpb.Status) {
	f := &meshpb.Frame{
		From:   &meshpb.Host{Name: s.opts.Self.Name, Zone: s.opts.Self.Zone, Addr: s.opts.Self.Addr, Id: s.opts.Self.ID, Weight: s.opts.Self.Weight},
		To:     p.info.GetId(),
		Status: status,

		CallersAgeNs: int64(now - s.callersSeen),
	}
	sentBefore := p.session.HighestSent()
	p.session.FillFrame(now, f)
	s.countMessageBytes(f, sentBefore)
	p.lastSentAt = now
	s.stats.FramesOut++
	s.emit(SendFrame{Addr: p.info.GetAddr(), Frame: f})
}

// redialIfSilent replaces the connection to a host that has been silent for redialFraction of its
// contact timeout.
func (s *State) redialIfSilent(now time.Duration, p *peer) {
	since := max(p.session.LastContact(), p.firstContactAt)
	if now-since < time.Duration(redialFraction*float64(s.contactTimeoutFor(p))) || now-p.redialedAt < minRedialInterval {
		return
	}
	p.redialedAt = now
	s.stats.Redials++
	s.emit(Redial{Addr: p.info.GetAddr()})
}

// liveHosts returns the live peers in the form that package owner takes.
func (s *State) liveHosts(now time.Duration) []owner.Host {
	var list []owner.Host
	for _, p := range s.sortedPeers {
		if !p.live {
			continue
		}
		h := owner.Host{Name: p.info.GetName(), Zone: p.info.GetZone(), ID: p.info.GetId(), Weight: p.info.GetWeight(), Age: now - p.firstContactAt, Draining: p.status.GetDraining()}
		for _, c := range p.status.GetCells() {
			h.Claims = append(h.Claims, owner.Claim{Cell: fleet.Cell(c.GetName()), Fence: c.GetFence(), Releasing: c.GetReleasing(), HeldWorkers: c.GetHeld(), CommandedCount: int(c.GetCommanded())})
		}
		list = append(list, h)
	}
	return list
}
