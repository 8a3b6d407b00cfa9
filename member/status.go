package member

import "time"

// pauseThreshold is the time without an event after which this process is taken to have
// been paused. The daemon sends an event at least every 250 ms.
const pauseThreshold = time.Second

// detectPause restarts the timeout of each suspect after a pause of this process, because
// it could not receive their answers. After a pause the process can no longer tell whether
// another process under its name is older, so its name counts as confirmed from then on.
func (s *State) detectPause(now time.Duration) {
	if gap := now - s.lastEvent; gap > pauseThreshold {
		s.resumedAt = now
		s.nameConfirmed = true
		for _, name := range s.names {
			if p := s.peers[name]; p.Status == Suspect {
				p.suspectDeadline = now + s.opts.SuspectTimeout
			}
		}
	}
	s.lastEvent = now
}

// setStatus changes the status of a member, updates the counts and emits StatusChanged.
func (s *State) setStatus(now time.Duration, p *peer, st Status) {
	if p.Status == st {
		return
	}
	before := p.Status
	p.Status = st
	if before == Suspect {
		s.suspectCount--
	}
	s.liveOrSuspectCount += liveOrSuspect(st) - liveOrSuspect(before)
	p.statusChangedAt = now
	switch st {
	case Suspect:
		s.suspectCount++
		s.counters.Suspicions++
		p.suspectDeadline = now + s.opts.SuspectTimeout
	case Gone:
		s.counters.Gone++
	}
	s.emit(StatusChanged{Record: p.Record, Before: before})
}

// liveOrSuspect returns 1 for a status that counts as a live host, otherwise 0.
func liveOrSuspect(st Status) int {
	if st == Live || st == Suspect {
		return 1
	}
	return 0
}

func (s *State) handleCallSucceeded(now time.Duration, ev CallSucceeded) {
	if p := s.peers[ev.Host]; p != nil && p.Incarnation == ev.Incarnation {
		p.lastHeard, p.lastFailed = now, -1
	}
}

// handleCallFailed makes a live member of this host's zone suspect. A leaving member that
// does not answer is gone. A call that fails just after a pause of this process is ignored,
// because the pause may have caused the failure.
func (s *State) handleCallFailed(now time.Duration, ev CallFailed) {
	p := s.peers[ev.Host]
	if p == nil || p.Incarnation != ev.Incarnation || s.disabled.suspicion || now-s.resumedAt < pauseThreshold {
		return
	}
	p.lastFailed = now
	if p.Zone != s.opts.Zone {
		return
	}
	switch p.Status {
	case Live:
		s.setStatus(now, p, Suspect)
		s.scheduleRumor(p)
	case Leaving:
		s.setStatus(now, p, Gone)
		s.scheduleRumor(p)
	}
}

// expireSuspects marks suspects as gone whose deadline has passed.
func (s *State) expireSuspects(now time.Duration) {
	if s.suspectCount == 0 {
		return
	}
	for _, name := range s.names {
		if p := s.peers[name]; p.Status == Suspect && now >= p.suspectDeadline {
			s.setStatus(now, p, Gone)
			s.scheduleRumor(p)
		}
	}
}
