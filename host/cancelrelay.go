package host

// This file tells commanders of cancelled jobs, so that a job does not start again after its cancellation was
// acknowledged.

// tellCommanders sends the cancelled jobs that nobody else tells of to the commanders that have not been sent them.
// Where this host knows no other commander, it sends them to another host, so that they outlive this one.
func (s *State) tellCommanders() {
	witness := s.cancelWitness()
	for _, p := range s.sortedPeers {
		id := p.info.GetId()
		switch {
		case !p.live || !p.commands() && p != witness:
			delete(s.cancels.told, id)
		case !s.cancels.told[id]:
			s.cancels.told[id] = s.tellCommander(p)
		}
	}
}

// cancelWitness returns a live host if no live one commands cells, or nil.
func (s *State) cancelWitness() *peer {
	var witness *peer
	for _, p := range s.sortedPeers {
		switch {
		case !p.live:
		case p.commands():
			return nil
		case witness == nil:
			witness = p
		}
	}
	return witness
}

// tellCommander reports whether all messages were taken.
func (s *State) tellCommander(p *peer) bool {
	return s.sendCancelled(p, s.cancels.toTell(s.isLive))
}

// sendCancelled sends cancelled jobs to a peer and reports whether all messages were taken.
func (s *State) sendCancelled(p *peer, jobs []*cancelledJob) bool {
	pending := make(map[*cancelledJob]uint64)
	for _, c := range s.cancels.pending {
		pending[c.job] = c.seq
	}
	for _, j := range jobs {
		if !s.sendMessage(p, cancelMessage(pending[j], j.name)) {
			return false
		}
	}
	return true
}

// relayCancellations tells the other commanders, some of which may be new, of the jobs that were cancelled through a
// process that is lost.
func (s *State) relayCancellations(lost uint64) {
	var jobs []*cancelledJob
	for _, j := range s.cancels.toTell(s.isLive) {
		if !j.own() && j.from == lost {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) == 0 {
		return
	}
	for _, p := range s.sortedPeers {
		if id := p.info.GetId(); s.cancels.told[id] && !s.sendCancelled(p, jobs) {
			delete(s.cancels.told, id) // it is told again when it takes messages
		}
	}
}
