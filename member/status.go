package member

import "time"

// pauseGap is the time without an event that shows that this process was paused. The
// shell sends an event at least every 250 ms.
const pauseGap = time.Second

// noticePause gives suspects their time again after a pause of this process, because
// their answers could not be received. A process that was paused cannot tell whether
// another one under its name is older, so that it counts as settled.
func (s *State) noticePause(now time.Duration) {
	if gap := now - s.last; gap > pauseGap {
		s.resumed = now
		s.settled = true
		for _, name := range s.names {
			if p := s.peers[name]; p.Status == Suspect {
				p.suspectEnd = now + s.opts.SuspectFor
			}
		}
	}
	s.last = now
}

func (s *State) setStatus(now time.Duration, p *peer, st Status) {
	if p.Status == st {
		return
	}
	before := p.Status
	p.Status = st
	if before == Suspect {
		s.suspects--
	}
	s.live += usable(st) - usable(before)
	p.changed = now
	switch st {
	case Suspect:
		s.suspects++
		s.counters.Suspicions++
		p.suspectEnd = now + s.opts.SuspectFor
	case Gone:
		s.counters.Gone++
	}
	s.emit(StatusChanged{Record: p.Record, Before: before})
}

// usable is 1 for a status that counts as a live host.
func usable(st Status) int {
	if st == Live || st == Suspect {
		return 1
	}
	return 0
}

func (s *State) callSucceeded(now time.Duration, ev CallSucceeded) {
	if p := s.peers[ev.Host]; p != nil && p.Incarnation == ev.Incarnation {
		p.heard, p.failed = now, -1
	}
}

// callFailed makes a live member of the own zone suspect. A leaving one that does not
// answer has left. Calls that failed around a pause of this process say nothing.
func (s *State) callFailed(now time.Duration, ev CallFailed) {
	p := s.peers[ev.Host]
	if p == nil || p.Incarnation != ev.Incarnation || s.faults.noSuspect || now-s.resumed < pauseGap {
		return
	}
	p.failed = now
	if p.Zone != s.opts.Zone {
		return
	}
	switch p.Status {
	case Live:
		s.setStatus(now, p, Suspect)
		s.startRumor(p)
	case Leaving:
		s.setStatus(now, p, Gone)
		s.startRumor(p)
	}
}

func (s *State) expireSuspects(now time.Duration) {
	if s.suspects == 0 {
		return
	}
	for _, name := range s.names {
		if p := s.peers[name]; p.Status == Suspect && now >= p.suspectEnd {
			s.setStatus(now, p, Gone)
			s.startRumor(p)
		}
	}
}
