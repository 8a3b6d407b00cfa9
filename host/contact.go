package host

import (
	"time"
)

const (
	// heartbeatInterval is the time between two frames to a host with which this host exchanges jobs.
	heartbeatInterval = 100 * time.Millisecond
	// standbyHeartbeatInterval and standbyContactTimeout apply between a commander and a host of another
	// zone while they have no jobs in progress with each other.
	standbyHeartbeatInterval = 500 * time.Millisecond
	standbyContactTimeout    = 1500 * time.Millisecond
	// jobExchangeLinger is how long after their last job such hosts keep the shorter heartbeatInterval.
	jobExchangeLinger = time.Second
	// jobsRecordInterval is the time between two looks at the jobs in progress.
	jobsRecordInterval = 25 * time.Millisecond
	// idleHeartbeatInterval and idleContactTimeout apply between hosts of which neither commands a cell.
	idleHeartbeatInterval = 1 * time.Second
	idleContactTimeout    = 4 * time.Second
	// heartbeatTransitionTime is how long two hosts that begin to exchange jobs have to switch to
	// heartbeatInterval before the shorter contact timeout applies to them.
	heartbeatTransitionTime = 300 * time.Millisecond
	// redialFraction is the fraction of the contact timeout after which a connection is replaced.
	redialFraction = 0.55
	// minRedialInterval is the minimum time between two new connections to one host.
	minRedialInterval = 300 * time.Millisecond
	// unreachableAfter is the age of the last contact above which frames are sent at
	// unreachableHeartbeatInterval.
	unreachableAfter = 5 * time.Second
	// unreachableHeartbeatInterval is the time between frames to a host that does not answer.
	unreachableHeartbeatInterval = time.Second
	// contactLinger is how long the contact to a host is kept after it was last needed. It covers the
	// jobs that the two hosts still have in progress with each other.
	contactLinger = 10 * time.Second
	// searchDelay is how long a new process that knows no commander waits until it contacts hosts of other
	// zones. Those of its own zone are enough unless the zone has lost all other hosts.
	searchDelay = 5 * time.Second
	// searchContacts is the number of hosts that it contacts at a time, for searchPeriod. It is small,
	// because a host that knows no commander may be one that gets too little processor time.
	searchContacts = 4
	searchPeriod   = time.Second
)

// updateContact decides whether this host stays in contact with a peer. It needs the hosts of its zone,
// among which a commander is chosen, and those with which it may exchange jobs: all hosts if it commands
// a cell, and otherwise the commanders. The traffic of a host without a cell therefore does not grow with
// the number of hosts in other zones. A host that knows no commander asks a few hosts of other zones at a
// time; their answers name the commanders. asked tells whether the peer is one of them.
func (s *State) updateContact(now time.Duration, p *peer, asked bool) {
	zone := p.zone()
	if zone == "" || zone == s.opts.Self.Zone || asked || s.mayExchangeJobs(p) {
		p.contactNeededAt = now
		p.contacted = true
		return
	}
	if p.contacted && now-p.contactNeededAt > contactLinger {
		p.contacted = false
		s.handlePeerLost(now, p)
		s.emit(CloseLink{Addr: p.info.GetAddr()})
	}
}

// isSearchContact reports whether the peer of an index is among those that a searching host asks now.
func (s *State) isSearchContact(now time.Duration, index int) bool {
	turn := index + int(now/searchPeriod)*searchContacts
	return turn%len(s.sortedPeers) < searchContacts
}

// searchesCommander reports whether this host knows no live commander although it has listened for long
// enough to hear of one in its zone.
func (s *State) searchesCommander(now time.Duration) bool {
	if now-s.opts.Started < searchDelay || s.owner.HasClaims() {
		return false
	}
	for _, p := range s.sortedPeers {
		if p.live && p.commands() {
			return false
		}
	}
	return true
}

// contactFresh reports whether the last contact with a peer is recent enough for it to be live.
func (s *State) contactFresh(now time.Duration, p *peer) bool {
	return p.session.LastContact() != 0 && now-p.session.LastContact() <= s.contactTimeoutFor(p)
}

// mayExchangeJobs reports whether this host and the peer may send jobs to each other, which is so if
// one of them commands a cell. Other pairs exchange heartbeats less often, so that the traffic of a
// deployment grows with the number of its hosts and not with the square of that number.
func (s *State) mayExchangeJobs(p *peer) bool {
	return p.commands() || s.owner.HasClaims()
}

// exchangesJobs reports whether this host and the peer need frequent heartbeats for the jobs that they
// send each other. In one zone any host may have a job for its commanders at any time. Most commanders
// of other zones get jobs only while the own zone is overloaded.
func (s *State) exchangesJobs(now time.Duration, p *peer) bool {
	if !s.mayExchangeJobs(p) {
		return false
	}
	return p.info.GetZone() == s.opts.Self.Zone || p.lastJobAt != 0 && now-p.lastJobAt < jobExchangeLinger
}

// recordJobsInProgress notes for each peer whether jobs are in progress between it and this host. It runs
// before contacts are judged, so that after a pause of the process the shorter timeout applies to peers
// with jobs.
func (s *State) recordJobsInProgress(now time.Duration) {
	if now-s.jobsRecordedAt < jobsRecordInterval {
		return
	}
	s.jobsRecordedAt = now
	for _, j := range s.jobs {
		if p := s.peersByID[j.hostID]; p != nil {
			p.lastJobAt = now
		}
	}
	for _, id := range s.sched.HostsWithJobs() {
		if p := s.peersByID[id]; p != nil {
			p.lastJobAt = now
		}
	}
}

// contactTimeoutFor returns the age of the last contact above which the peer counts as lost.
func (s *State) contactTimeoutFor(p *peer) time.Duration {
	switch {
	case p.frequentHeartbeats:
		return s.opts.Timing.ContactTimeout
	case s.mayExchangeJobs(p):
		return standbyContactTimeout
	default:
		return idleContactTimeout
	}
}

// updateJobExchange records since when this host and the peer exchange jobs. The shorter timeout
// applies only after heartbeatTransitionTime, when their heartbeats are frequent enough for it.
func (s *State) updateJobExchange(now time.Duration, p *peer) {
	switch exchanges := s.exchangesJobs(now, p); {
	case !exchanges:
		p.jobExchangeSince, p.frequentHeartbeats = 0, false
	case p.jobExchangeSince == 0:
		p.jobExchangeSince = now
	case now-p.jobExchangeSince >= heartbeatTransitionTime:
		p.frequentHeartbeats = true
	}
}

// markLive marks a peer as live if its contact is fresh.
func (s *State) markLive(now time.Duration, p *peer) {
	if p.live || !s.contactFresh(now, p) {
		return
	}
	p.live = true
	s.log("mesh", "", "host in contact", "peer", p.info.GetName(), "addr", p.info.GetAddr())
}

// heartbeatIntervalFor returns the time between two frames to a peer.
func (s *State) heartbeatIntervalFor(now time.Duration, p *peer) time.Duration {
	switch {
	case now-max(p.session.LastContact(), p.firstContactAt) > unreachableAfter:
		return unreachableHeartbeatInterval
	case s.exchangesJobs(now, p):
		return heartbeatInterval
	case s.mayExchangeJobs(p):
		return standbyHeartbeatInterval
	default:
		return idleHeartbeatInterval
	}
}
