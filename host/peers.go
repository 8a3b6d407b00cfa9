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

const (
	// beatTime is the period of frames between hosts.
	beatTime = 100 * time.Millisecond
	// contactTime is the age of a contact at which a host counts as lost. With the lease of
	// a worker it has to stay under the time after which callers send a job again.
	contactTime = 450 * time.Millisecond
	// distantBeat and distantContact hold between hosts that pass no jobs to each other.
	distantBeat    = 1 * time.Second
	distantContact = 4 * time.Second
	// frequentGrace is the time in which the heartbeats of two hosts become frequent.
	frequentGrace = 300 * time.Millisecond
	// redialShare is the part of the time to a loss after which a connection is replaced.
	redialShare = 0.55
	// redialPause is the least time between two connections to one host.
	redialPause = 300 * time.Millisecond
	// absentTime is the age of a contact from which frames are sent less often.
	absentTime = 5 * time.Second
	// absentBeat is the period of frames to a host that does not answer.
	absentBeat = time.Second
)

// peer is another entry host.
type peer struct {
	info       *meshpb.Host // name, zone and process are empty until it is heard
	session    *session.Session
	status     *meshpb.Status
	live       bool
	firstHeard time.Duration
	sentAt     time.Duration // of the newest frame to it
	redialed   time.Duration
	statusAt   time.Duration
	assigned   map[fleet.Cell]int64 // work handed to its cells since statusAt, in thousandths of a core times ms
	jobsSince  time.Duration        // when jobs began to pass; 0: they do not
	frequent   bool                 // heartbeats have been frequent for frequentGrace
	former     map[uint64]bool      // processes that were replaced at this address
	configTo   int64                // newest configuration passed on to it
	workersTo  int64                // offset up to which workers were passed on to it
}

// addPeer notes a host that may be reached.
func (s *State) addPeer(h *meshpb.Host) {
	if h.GetZone() != "" {
		s.owner.Expect(h.GetZone(), h.GetWeight())
	}
	if h.GetAddr() == "" || h.GetAddr() == s.opts.Self.Addr || s.peers[h.GetAddr()] != nil {
		return
	}
	s.peers[h.GetAddr()] = &peer{
		info:     &meshpb.Host{Addr: h.GetAddr()},
		session:  session.New(),
		status:   &meshpb.Status{},
		sentAt:   -absentBeat,
		assigned: make(map[fleet.Cell]int64),
		former:   make(map[uint64]bool),
	}
	s.order = append(s.order, s.peers[h.GetAddr()])
	slices.SortFunc(s.order, func(a, b *peer) int { return cmp.Compare(a.info.GetAddr(), b.info.GetAddr()) })
}

// frame takes a frame of another host.
func (s *State) frame(now time.Duration, f *meshpb.Frame) {
	from := f.GetFrom()
	if from.GetId() == s.opts.Self.ID || from.GetAddr() == "" {
		return
	}
	s.stats.FramesIn++
	s.addPeer(from)
	p := s.peers[from.GetAddr()]
	if p.former[from.GetId()] {
		return // left in a buffer by a process that has been replaced
	}
	if p.info.GetId() != from.GetId() {
		s.replaced(now, p, from)
	}
	if f.GetTo() != s.opts.Self.ID {
		// Meant for an earlier process at this address, or from a host that does not know
		// this one yet: only its own time stamp counts.
		f.Echo, f.Ack, f.Messages = 0, 0, nil
	}
	messages := p.session.Take(now, f)
	s.markLive(now, p)
	if f.GetStatus() != nil {
		p.status = f.GetStatus()
		p.statusAt = now
		clear(p.assigned)
		s.maxFence = max(s.maxFence, p.status.GetMaxFence())
	}
	for _, m := range messages {
		s.message(now, p, f, m)
	}
}

// replaced starts over with a new process at a known address.
func (s *State) replaced(now time.Duration, p *peer, from *meshpb.Host) {
	if p.info.GetId() != 0 {
		s.note("mesh", "", "host restarted", "peer", from.GetName(), "addr", from.GetAddr())
		p.former[p.info.GetId()] = true
		s.dropPeer(now, p)
	}
	delete(s.byID, p.info.GetId())
	p.info = from
	p.session = session.New()
	p.live = false
	p.firstHeard = now
	p.configTo, p.workersTo = 0, 0
	s.byID[from.GetId()] = p
	p.redialed = now
	s.emit(Redial{Addr: from.GetAddr()}) // the connection may wait after failed attempts
	p.session.Send(&meshpb.Message{Kind: &meshpb.Message_Hosts{Hosts: &meshpb.Hosts{Hosts: s.knownHosts()}}})
}

func (s *State) knownHosts() []*meshpb.Host {
	var hosts []*meshpb.Host
	for _, p := range s.order {
		if p.info.GetId() != 0 {
			hosts = append(hosts, p.info)
		}
	}
	return hosts
}

func (s *State) fresh(now time.Duration, p *peer) bool {
	return p.session.Contact() != 0 && now-p.session.Contact() <= s.patience(p)
}

// passesJobs reports whether jobs may pass between this host and the peer: one of them commands
// a cell. Other pairs exchange heartbeats less often, so that the traffic of a deployment
// grows with its hosts and not with their square.
func (s *State) passesJobs(p *peer) bool {
	return len(p.status.GetCells()) > 0 || len(s.owner.Claims()) > 0
}

// patience is the age of a contact at which the peer counts as lost.
func (s *State) patience(p *peer) time.Duration {
	if s.passesJobs(p) && p.frequent {
		return contactTime
	}
	return distantContact
}

// noteJobs notes when two hosts begin to pass jobs, so that the heartbeats between them can
// become as frequent as that takes before the contact is judged by it.
func (s *State) noteJobs(now time.Duration, p *peer) {
	switch passes := s.passesJobs(p); {
	case !passes:
		p.jobsSince, p.frequent = 0, false
	case p.jobsSince == 0:
		p.jobsSince = now
	case now-p.jobsSince >= frequentGrace:
		p.frequent = true
	}
}

func (s *State) markLive(now time.Duration, p *peer) {
	if p.live || !s.fresh(now, p) {
		return
	}
	p.live = true
	s.note("mesh", "", "host in contact", "peer", p.info.GetName(), "addr", p.info.GetAddr())
}

// expireContacts gives up the hosts that have been silent for too long. It comes before any
// other event, so that a host that stood still does not act on what it knew before.
func (s *State) expireContacts(now time.Duration) {
	for _, p := range s.order {
		s.noteJobs(now, p)
		if p.live && !s.fresh(now, p) {
			s.note("mesh", "", "host lost", "peer", p.info.GetName(), "addr", p.info.GetAddr(), "silent", now-p.session.Contact())
			s.dropPeer(now, p)
		}
	}
}

// dropPeer ends what this host does for a lost host, and what that one did for it.
func (s *State) dropPeer(now time.Duration, p *peer) {
	p.live = false
	if n := s.sched.CancelHost(now, p.info.GetId()); n > 0 {
		s.note("mesh", "", "jobs of a lost host cancelled", "peer", p.info.GetName(), "jobs", n)
	}
	s.commanderLost(now, p.info.GetId())
}

func (s *State) message(now time.Duration, p *peer, f *meshpb.Frame, m *meshpb.Message) {
	switch kind := m.GetKind().(type) {
	case *meshpb.Message_Submit:
		s.submitted(now, p, f, kind.Submit)
	case *meshpb.Message_Cancel:
		s.sched.Step(now, sched.Cancel{Key: sched.JobKey{Host: p.info.GetId(), Seq: kind.Cancel.GetSeq()}})
	case *meshpb.Message_Outcome:
		s.outcome(now, p.info.GetId(), kind.Outcome)
	case *meshpb.Message_Config:
		s.readConfig(now, kind.Config.GetRecord(), p.info.GetName())
	case *meshpb.Message_Workers:
		s.passedOn(now, kind.Workers)
	case *meshpb.Message_Hosts:
		for _, h := range kind.Hosts.GetHosts() {
			s.addPeer(h)
		}
	}
}

// sendDue sends the frames that are due: heartbeats, and messages at once.
func (s *State) sendDue(now time.Duration) {
	var status *meshpb.Status
	for _, p := range s.order {
		if !p.session.Due() && now-p.sentAt < s.beat(now, p) {
			continue
		}
		s.redial(now, p)
		if status == nil {
			status = s.status()
		}
		f := &meshpb.Frame{
			From:   &meshpb.Host{Name: s.opts.Self.Name, Zone: s.opts.Self.Zone, Addr: s.opts.Self.Addr, Id: s.opts.Self.ID, Weight: s.opts.Self.Weight},
			To:     p.info.GetId(),
			Status: status,
		}
		p.session.Fill(now, f)
		p.sentAt = now
		s.stats.FramesOut++
		s.emit(SendFrame{Addr: p.info.GetAddr(), Frame: f})
	}
}

func (s *State) beat(now time.Duration, p *peer) time.Duration {
	switch {
	case now-max(p.session.Contact(), p.firstHeard) > absentTime:
		return absentBeat
	case s.passesJobs(p):
		return beatTime
	default:
		return distantBeat
	}
}

// redial replaces the connection to a host that has gone silent.
func (s *State) redial(now time.Duration, p *peer) {
	since := max(p.session.Contact(), p.firstHeard)
	if now-since < time.Duration(redialShare*float64(s.patience(p))) || now-p.redialed < redialPause {
		return
	}
	p.redialed = now
	s.stats.Redials++
	s.emit(Redial{Addr: p.info.GetAddr()})
}

// others returns the live peers as package owner sees them.
func (s *State) others(now time.Duration) []owner.Host {
	var list []owner.Host
	for _, p := range s.order {
		if !p.live {
			continue
		}
		h := owner.Host{Name: p.info.GetName(), Zone: p.info.GetZone(), ID: p.info.GetId(), Weight: p.info.GetWeight(), Age: now - p.firstHeard, Draining: p.status.GetDraining()}
		for _, c := range p.status.GetCells() {
			h.Claims = append(h.Claims, owner.Claim{Cell: fleet.Cell(c.GetName()), Fence: c.GetFence(), Releasing: c.GetReleasing(), Held: c.GetHeld(), Commanded: int(c.GetCommanded())})
		}
		list = append(list, h)
	}
	return list
}
