package member

import (
	"slices"
	"sort"
	"time"

	"sesameledge.dev/sesameledge/place"
)

const (
	// markRetention is how long a mark is kept after the last list that names its endpoint
	// with the marked identity. The list lags, so it may name an old identity again.
	markRetention = 10 * time.Minute
	// absentGracePeriod is how long an endpoint stays in use after it has disappeared from
	// the list without a mark. After an outage of the platform, lists may lack endpoints
	// that could not renew their registration. If the endpoint is dead, the connections
	// tried during this time are refused.
	absentGracePeriod = 3 * time.Second
	// maxMarks limits the number of marks remembered.
	maxMarks = 20_000
	// maxRandomMarks limits the number of random marks in a message.
	maxRandomMarks = 4
)

// endpointView combines the platform's list of endpoints with the marks. The last list
// stays in use until a new one arrives.
type endpointView struct {
	list           []place.Endpoint
	absentSince    map[place.EndpointID]time.Duration // when a missing endpoint left the platform's list
	marks          map[LeavingMark]*markState
	markOrder      []LeavingMark // keys of marks, in order of arrival
	changed        bool          // list or marks have changed since the last EndpointsChanged
	lastEmitted    []place.Endpoint
	lastEntryHosts int // entry hosts in the last EndpointsChanged
}

// markState is what the view remembers about a mark.
type markState struct {
	sendsLeft     int           // how often the mark is still to be sent as a rumor
	lastConfirmed time.Duration // time of its arrival or of the last list that names it
}

func newEndpointView() endpointView {
	return endpointView{marks: make(map[LeavingMark]*markState), absentSince: make(map[place.EndpointID]time.Duration)}
}

// handleHostList takes over the platform's list. For members that were heard from, the list
// is only a hint, because it lags.
func (s *State) handleHostList(now time.Duration, ev HostList) {
	for _, name := range s.names {
		s.peers[name].listed = nil
	}
	for _, entry := range ev.Entries {
		s.mergeListed(now, entry)
	}
	s.expireUnlistedRemote(now)
	s.endpoints.list = s.addRecentlyAbsent(now, ev.Endpoints)
	s.endpoints.changed = true
	for _, ep := range ev.Endpoints {
		m := LeavingMark{Endpoint: ep.ID, Identity: ep.Identity}
		if ep.Leaving {
			s.recordMark(now, m)
		}
		if st, ok := s.endpoints.marks[m]; ok {
			st.lastConfirmed = now
		}
	}
	s.expireMarks(now)
}

// addRecentlyAbsent returns the platform's list with the endpoints added that have
// disappeared from it and are not leaving. removeExpiredAbsent removes them after
// absentGracePeriod.
func (s *State) addRecentlyAbsent(now time.Duration, list []place.Endpoint) []place.Endpoint {
	out := append([]place.Endpoint{}, list...)
	listed := make(map[place.EndpointID]bool, len(list))
	for _, ep := range list {
		listed[ep.ID] = true
		delete(s.endpoints.absentSince, ep.ID)
	}
	for _, ep := range s.endpoints.list {
		if listed[ep.ID] || ep.Leaving || s.endpoints.marks[LeavingMark{Endpoint: ep.ID, Identity: ep.Identity}] != nil {
			delete(s.endpoints.absentSince, ep.ID)
			continue
		}
		if _, ok := s.endpoints.absentSince[ep.ID]; !ok {
			s.endpoints.absentSince[ep.ID] = now
		}
		out = append(out, ep)
	}
	return out
}

// removeExpiredAbsent removes endpoints that have been absent from the platform's list for
// absentGracePeriod.
func (s *State) removeExpiredAbsent(now time.Duration) {
	if len(s.endpoints.absentSince) == 0 {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(s.endpoints.list), func(ep place.Endpoint) bool {
		since, absent := s.endpoints.absentSince[ep.ID]
		if !absent || now-since < absentGracePeriod {
			return false
		}
		delete(s.endpoints.absentSince, ep.ID)
		return true
	})
	if len(kept) != len(s.endpoints.list) {
		s.endpoints.list = kept
		s.endpoints.changed = true
	}
}

// mergeListed updates the view from an entry of the platform's list. The list never replaces
// an incarnation that the view holds; it only adds one or marks the same one as leaving.
func (s *State) mergeListed(now time.Duration, l ListedHost) {
	p := s.getOrAdd(l.Host)
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
		s.hostByIncarnation[l.Incarnation] = l.Host
		s.setStatus(now, p, st)
	case p.Incarnation == l.Incarnation && l.Leaving && p.Status == Live:
		s.setStatus(now, p, Leaving)
	case p.Incarnation == 0:
		p.Zone, p.Address = l.Zone, l.Address
	}
}

// alternativeAddress returns the address that the platform's list names for the host if it
// differs from the one in the view, or "". The list may be older or newer than the view;
// only a call to that address shows which.
func (p *peer) alternativeAddress() string {
	if l := p.listed; l != nil && l.Address != p.Address && !p.hasReplaced(l.Incarnation) {
		return l.Address
	}
	return ""
}

// expireUnlistedRemote marks members of other zones as gone that the list no longer names
// and that have not been heard from lately. If a whole zone is lost, nothing else shows that
// its members are gone.
func (s *State) expireUnlistedRemote(now time.Duration) {
	for _, name := range s.names {
		p := s.peers[name]
		silent := p.lastHeard < 0 || now-p.lastHeard > contactRetryDelay
		if p.listed == nil && silent && p.Zone != s.opts.Zone && p.Status != Gone && p.Status != Unknown && now-p.statusChangedAt > contactRetryDelay {
			s.setStatus(now, p, Gone)
		}
	}
}

// recordMark records that an endpoint is leaving and schedules the mark as a rumor. It ignores
// a mark that is known already or that exceeds maxMarks.
func (s *State) recordMark(now time.Duration, m LeavingMark) {
	if m.Endpoint == "" || s.endpoints.marks[m] != nil || len(s.endpoints.marks) >= maxMarks {
		return
	}
	s.counters.EndpointMarks++
	s.endpoints.marks[m] = &markState{sendsLeft: s.rumorSends(), lastConfirmed: now}
	s.endpoints.markOrder = append(s.endpoints.markOrder, m)
	s.endpoints.changed = true
}

// expireMarks forgets marks that have not been confirmed for markRetention.
func (s *State) expireMarks(now time.Duration) {
	s.endpoints.markOrder = slices.DeleteFunc(s.endpoints.markOrder, func(m LeavingMark) bool {
		if now-s.endpoints.marks[m].lastConfirmed <= markRetention {
			return false
		}
		delete(s.endpoints.marks, m)
		return true
	})
}

// emitEndpoints emits EndpointsChanged if the list of endpoints or the number of entry hosts
// has changed.
func (s *State) emitEndpoints(now time.Duration) {
	s.removeExpiredAbsent(now)
	hosts := s.liveHostCount()
	if s.endpoints.list == nil || !s.endpoints.changed && hosts == s.endpoints.lastEntryHosts {
		return
	}
	s.endpoints.changed = false
	next := slices.Clone(s.endpoints.list)
	for i := range next {
		m := LeavingMark{Endpoint: next[i].ID, Identity: next[i].Identity}
		next[i].Leaving = next[i].Leaving || s.endpoints.marks[m] != nil
	}
	if s.endpoints.lastEmitted != nil && hosts == s.endpoints.lastEntryHosts && slices.Equal(next, s.endpoints.lastEmitted) {
		return
	}
	s.endpoints.lastEmitted, s.endpoints.lastEntryHosts = next, hosts
	s.emit(EndpointsChanged{Endpoints: slices.Clone(next), EntryHosts: hosts})
}

// liveHostCount returns the number of entry hosts that take work, including this one.
// Suspects are counted, so that one lost call does not change the hosts' shares of the
// endpoints.
func (s *State) liveHostCount() int {
	n := s.liveOrSuspectCount
	if s.self.Status == Live {
		n++
	}
	return n
}

// addMarkRumors adds the marks that are still to be sent, those sent least often first, until
// they take up markBudgetBytes.
func (s *State) addMarkRumors(b *messageBuilder) {
	if s.disabled.markRumors {
		return
	}
	var due []LeavingMark
	for _, m := range s.endpoints.markOrder {
		if s.endpoints.marks[m].sendsLeft > 0 {
			due = append(due, m)
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return s.endpoints.marks[due[i]].sendsLeft > s.endpoints.marks[due[j]].sendsLeft })
	limit := b.bytesLeft - markBudgetBytes
	if s.disabled.sizeLimit {
		limit = 0
	}
	for _, m := range due {
		if b.bytesLeft <= limit {
			return
		}
		if b.addMark(m) {
			s.endpoints.marks[m].sendsLeft--
		}
	}
}

// addRandomMarks adds random marks, so that a mark reaches a host that missed its rumor.
func (s *State) addRandomMarks(b *messageBuilder) {
	if s.disabled.markRumors || len(s.endpoints.markOrder) == 0 {
		return
	}
	for range maxRandomMarks {
		b.addMark(s.endpoints.markOrder[s.rng.IntN(len(s.endpoints.markOrder))])
	}
}
