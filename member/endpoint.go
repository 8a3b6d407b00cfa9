package member

import (
	"slices"
	"sort"
	"time"

	"sesameledge.dev/sesameledge/place"
)

const (
	// keepMark is how long a mark outlives the last list that names its endpoint with the
	// marked identity. The list lags, so that it may show an old identity again.
	keepMark = 10 * time.Minute
	// absentGrace is how long an endpoint stays in use after it disappeared from the list
	// without a mark. After an outage of the platform, lists may lack endpoints that could
	// not renew their registration; a dead one costs a refused connection until then.
	absentGrace = 3 * time.Second
	// maxMarks bounds the marks remembered.
	maxMarks = 20_000
	// markSubset is how many random marks a message carries if there is room.
	markSubset = 4
)

// endpointView combines the platform's list of endpoints with the marks. Without a new
// list the last one stays in force.
type endpointView struct {
	list    []place.Endpoint
	absent  map[place.EndpointID]time.Duration // when an endpoint in list disappeared from the platform's
	marks   map[Mark]*markState
	order   []Mark // keys of marks, in order of arrival
	dirty   bool
	emitted []place.Endpoint
	hosts   int // entry hosts in the last EndpointsChanged
}

type markState struct {
	sends int
	kept  time.Duration // arrival, or the last list that names it
}

func newEndpointView() endpointView {
	return endpointView{marks: make(map[Mark]*markState), absent: make(map[place.EndpointID]time.Duration)}
}

// hostList takes over the platform's list. About members that were heard the list is
// only a hint, because it lags.
func (s *State) hostList(now time.Duration, ev HostList) {
	for _, name := range s.names {
		s.peers[name].listed = nil
	}
	for _, l := range ev.Entries {
		s.listEntry(now, l)
	}
	s.unlistedRemote(now)
	s.eps.list = s.withAbsent(now, ev.Endpoints)
	s.eps.dirty = true
	for _, ep := range ev.Endpoints {
		m := Mark{Endpoint: ep.ID, Identity: ep.Identity}
		if ep.Leaving {
			s.mark(now, m)
		}
		if st, ok := s.eps.marks[m]; ok {
			st.kept = now
		}
	}
	s.forgetMarks(now)
}

// withAbsent adds to the platform's list the endpoints that have disappeared from it a
// short time ago and are not leaving.
func (s *State) withAbsent(now time.Duration, list []place.Endpoint) []place.Endpoint {
	out := append([]place.Endpoint{}, list...)
	listed := make(map[place.EndpointID]bool, len(list))
	for _, ep := range list {
		listed[ep.ID] = true
		delete(s.eps.absent, ep.ID)
	}
	for _, ep := range s.eps.list {
		if listed[ep.ID] || ep.Leaving || s.eps.marks[Mark{Endpoint: ep.ID, Identity: ep.Identity}] != nil {
			delete(s.eps.absent, ep.ID)
			continue
		}
		if _, ok := s.eps.absent[ep.ID]; !ok {
			s.eps.absent[ep.ID] = now
		}
		out = append(out, ep)
	}
	return out
}

// dropAbsent removes endpoints that have been absent from the platform's list for long.
func (s *State) dropAbsent(now time.Duration) {
	if len(s.eps.absent) == 0 {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(s.eps.list), func(ep place.Endpoint) bool {
		since, absent := s.eps.absent[ep.ID]
		if !absent || now-since < absentGrace {
			return false
		}
		delete(s.eps.absent, ep.ID)
		return true
	})
	if len(kept) != len(s.eps.list) {
		s.eps.list = kept
		s.eps.dirty = true
	}
}

func (s *State) listEntry(now time.Duration, l Listed) {
	p := s.ensure(l.Host)
	if p == nil {
		return
	}
	p.listed = &l
	switch {
	case p.Incarnation == 0 && l.Incarnation != 0:
		st := Live
		if l.Leaving {
			st = Leaving
		}
		p.Zone, p.Address, p.Incarnation = l.Zone, l.Address, l.Incarnation
		s.byInc[l.Incarnation] = l.Host
		s.setStatus(now, p, st)
	case p.Incarnation == l.Incarnation && l.Leaving && p.Status == Live:
		s.setStatus(now, p, Leaving)
	case p.Incarnation == 0:
		p.Zone, p.Address = l.Zone, l.Address
	}
}

// hint returns another address that the list names for the host, or "". The list may lag
// or be ahead; a call to that address tells.
func (p *peer) hint() string {
	if l := p.listed; l != nil && l.Address != p.Address && !p.hasRetired(l.Incarnation) {
		return l.Address
	}
	return ""
}

// unlistedRemote drops members of other zones that the list no longer names and that
// were not heard lately. Nothing else tells about them if their whole zone is lost.
func (s *State) unlistedRemote(now time.Duration) {
	for _, name := range s.names {
		p := s.peers[name]
		silent := p.heard < 0 || now-p.heard > contactRetry
		if p.listed == nil && silent && p.Zone != s.opts.Zone && p.Status != Gone && p.Status != Unknown && now-p.changed > contactRetry {
			s.setStatus(now, p, Gone)
		}
	}
}

// mark records that an endpoint is leaving and passes the mark on.
func (s *State) mark(now time.Duration, m Mark) {
	if m.Endpoint == "" || s.eps.marks[m] != nil || len(s.eps.marks) >= maxMarks {
		return
	}
	s.counters.Marks++
	s.eps.marks[m] = &markState{sends: s.rumorSends(), kept: now}
	s.eps.order = append(s.eps.order, m)
	s.eps.dirty = true
}

func (s *State) forgetMarks(now time.Duration) {
	s.eps.order = slices.DeleteFunc(s.eps.order, func(m Mark) bool {
		if now-s.eps.marks[m].kept <= keepMark {
			return false
		}
		delete(s.eps.marks, m)
		return true
	})
}

// emitEndpoints sends the list to the dispatcher if it or the number of entry hosts
// changed.
func (s *State) emitEndpoints(now time.Duration) {
	s.dropAbsent(now)
	hosts := s.liveHosts()
	if s.eps.list == nil || !s.eps.dirty && hosts == s.eps.hosts {
		return
	}
	s.eps.dirty = false
	next := slices.Clone(s.eps.list)
	for i := range next {
		m := Mark{Endpoint: next[i].ID, Identity: next[i].Identity}
		next[i].Leaving = next[i].Leaving || s.eps.marks[m] != nil
	}
	if s.eps.emitted != nil && hosts == s.eps.hosts && slices.Equal(next, s.eps.emitted) {
		return
	}
	s.eps.emitted, s.eps.hosts = next, hosts
	s.emit(EndpointsChanged{Endpoints: slices.Clone(next), EntryHosts: hosts})
}

// liveHosts is the number of entry hosts that take work, with this one. Suspects count,
// so that one lost call does not change the shares.
func (s *State) liveHosts() int {
	n := s.live
	if s.self.Status == Live {
		n++
	}
	return n
}

func (s *State) addMarkRumors(b *builder) {
	if s.faults.noMarkRumor {
		return
	}
	var due []Mark
	for _, m := range s.eps.order {
		if s.eps.marks[m].sends > 0 {
			due = append(due, m)
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return s.eps.marks[due[i]].sends > s.eps.marks[due[j]].sends })
	limit := b.left - markBytes
	if s.faults.noBound {
		limit = 0
	}
	for _, m := range due {
		if b.left <= limit {
			return
		}
		if b.mark(m) {
			s.eps.marks[m].sends--
		}
	}
}

// addMarkSubset adds random marks, so that a mark reaches a host that missed its rumor.
func (s *State) addMarkSubset(b *builder) {
	if s.faults.noMarkRumor || len(s.eps.order) == 0 {
		return
	}
	for range markSubset {
		b.mark(s.eps.order[s.rng.IntN(len(s.eps.order))])
	}
}
