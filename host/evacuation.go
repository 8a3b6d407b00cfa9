package host

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// maxEvacuations limits the zones in a message of another host.
const maxEvacuations = 1000

// evacuations is a host's copy of the operator's requests to evacuate zones. The store orders them: what
// lies before the position is known, so an older record changes nothing, from whatever source it comes.
type evacuations struct {
	zones     map[string]zoneEvacuation // the evacuated zones
	known     bool                      // the copy is complete up to position
	position  int64                     // offset of the first record in the store that is not covered
	changed   int64                     // position after the newest change
	changedAt time.Duration             // when that change was adopted
	// closedSince is since when all cells with a live commander are in evacuated zones; 0: they are not.
	closedSince time.Duration
}

// zoneEvacuation is a request that is in force.
type zoneEvacuation struct {
	offset int64
	since  time.Duration // when it came into force on this host
}

// apply adopts the records before end that follow a complete copy, and returns the zones whose state has
// changed.
func (e *evacuations) apply(now time.Duration, records []fleet.Evacuation, end int64) []string {
	var changed []string
	for _, r := range records {
		current, evacuated := e.zones[r.Zone]
		if r.Offset < e.position || evacuated && r.Offset <= current.offset {
			continue
		}
		e.changed, e.changedAt = max(e.changed, r.Offset+1), now
		if r.Requested != evacuated {
			changed = append(changed, r.Zone)
		}
		e.set(now, r)
	}
	e.position = max(e.position, end)
	return changed
}

// replace adopts a complete list of the requests in force at a position, unless it is older than the copy.
// It returns the zones whose state has changed.
func (e *evacuations) replace(now time.Duration, list []fleet.Evacuation, position int64) []string {
	if e.known && position <= e.position {
		return nil
	}
	if !e.known {
		e.known, e.changedAt = true, now
	}
	var changed []string
	named := make(map[string]bool, len(list))
	for _, r := range list {
		named[r.Zone] = true
		current, evacuated := e.zones[r.Zone]
		if !r.Requested || evacuated && r.Offset <= current.offset {
			continue
		}
		if !evacuated {
			changed = append(changed, r.Zone)
		}
		e.changed, e.changedAt = max(e.changed, r.Offset+1), now
		e.set(now, r)
	}
	for _, zone := range e.sortedZones() {
		if !named[zone] && e.zones[zone].offset < position {
			delete(e.zones, zone)
			changed = append(changed, zone)
			e.changed, e.changedAt = position, now
		}
	}
	e.position = position
	return changed
}

// set records a request or its withdrawal.
func (e *evacuations) set(now time.Duration, r fleet.Evacuation) {
	if !r.Requested {
		delete(e.zones, r.Zone)
		return
	}
	since := now
	if current, evacuated := e.zones[r.Zone]; evacuated {
		since = current.since
	}
	if e.zones == nil {
		e.zones = make(map[string]zoneEvacuation)
	}
	e.zones[r.Zone] = zoneEvacuation{offset: r.Offset, since: since}
}

func (e *evacuations) sortedZones() []string { return slices.Sorted(maps.Keys(e.zones)) }

// evacuated reports whether a zone gets no new work.
func (e *evacuations) evacuated(zone string) bool {
	_, ok := e.zones[zone]
	return ok
}

// wirePosition returns the position plus one, or 0 if nothing is known.
func (e *evacuations) wirePosition() int64 {
	if !e.known {
		return 0
	}
	return e.position + 1
}

// message returns the copy for another host.
func (e *evacuations) message() *meshpb.Evacuations {
	m := &meshpb.Evacuations{Position: e.wirePosition()}
	for _, zone := range e.sortedZones() {
		m.Evacuations = append(m.Evacuations, &meshpb.Evacuation{Zone: zone, Requested: true, Offset: e.zones[zone].offset})
	}
	return m
}

// handleEvacuationsRead adopts requests that were read from the store.
func (s *State) handleEvacuationsRead(now time.Duration, e EvacuationsRead) {
	if e.Snapshot {
		s.adoptEvacuations(now, "store", func() []string { return s.evacuations.replace(now, e.Evacuations, e.End) })
		return
	}
	s.adoptEvacuations(now, "store", func() []string { return s.evacuations.apply(now, e.Evacuations, e.End) })
}

// handleForwardedEvacuations adopts the copy of another host.
func (s *State) handleForwardedEvacuations(now time.Duration, p *peer, m *meshpb.Evacuations) {
	if err := evacuationsError(m); err != nil {
		s.log("evacuation", "", "evacuations refused", "peer", p.info.GetName(), "err", err)
		return
	}
	var list []fleet.Evacuation
	for _, e := range m.GetEvacuations() {
		list = append(list, fleet.Evacuation{Zone: e.GetZone(), Requested: e.GetRequested(), Offset: e.GetOffset()})
	}
	s.adoptEvacuations(now, p.info.GetName(), func() []string { return s.evacuations.replace(now, list, m.GetPosition()-1) })
}

// evacuationsError returns what is wrong with a message that no sound host sends, or nil.
func evacuationsError(m *meshpb.Evacuations) error {
	if m.GetPosition() <= 0 || len(m.GetEvacuations()) > maxEvacuations {
		return errors.Newf("it has the position %d and %d zones", m.GetPosition(), len(m.GetEvacuations()))
	}
	for _, e := range m.GetEvacuations() {
		if e.GetZone() == "" || e.GetOffset() < 0 || e.GetOffset() >= m.GetPosition() {
			return errors.Newf("it has the zone %q with the offset %d beside the position %d", e.GetZone(), e.GetOffset(), m.GetPosition())
		}
	}
	return nil
}

// adoptEvacuations changes the copy and puts the changes in force.
func (s *State) adoptEvacuations(now time.Duration, from string, adopt func() []string) {
	known := s.evacuations.known
	changed := adopt()
	if !known && s.evacuations.known {
		s.log("evacuation", "", "evacuated zones known", "from", from, "position", s.evacuations.position, "zones", strings.Join(s.evacuations.sortedZones(), ","))
	}
	for _, zone := range changed {
		message := "zone taken back"
		if s.evacuations.evacuated(zone) {
			message = "zone evacuated"
		}
		s.log("evacuation", "", message, "zone", zone, "from", from, "position", s.evacuations.position, "runs", s.sched.RunsIn(zone))
	}
	if len(changed) > 0 || known != s.evacuations.known {
		s.restrictStarts(now)
	}
}

// restrictStarts tells the scheduler in which zones it may start tasks.
func (s *State) restrictStarts(now time.Duration) {
	evacuated := make(map[string]bool, len(s.evacuations.zones))
	for zone := range s.evacuations.zones {
		evacuated[zone] = true
	}
	s.sched.RestrictStarts(evacuated, s.awaitsEvacuations())
}

// awaitsEvacuations reports whether this host does not know yet which zones are evacuated.
func (s *State) awaitsEvacuations() bool { return s.opts.AwaitEvacuations && !s.evacuations.known }

// mayStartIn reports whether jobs may be sent to a cell: its zone is not evacuated, and if this host
// commands it, the host knows so.
func (s *State) mayStartIn(c *cellCandidate) bool {
	return !s.evacuations.evacuated(c.name.Zone()) && (c.peer != nil || !s.awaitsEvacuations())
}

// recordClosedCells notes since when only evacuated zones have a live commander.
func (s *State) recordClosedCells(now time.Duration) {
	e := &s.evacuations
	if len(e.zones) == 0 {
		e.closedSince = 0
		return
	}
	cells := s.availableCells(now)
	switch {
	case len(cells) == 0 || slices.ContainsFunc(cells, s.mayStartIn):
		e.closedSince = 0
	case e.closedSince == 0:
		e.closedSince = now
	}
}

// evacuatedReason returns why it is of no use to wait for a cell, or an empty string: all zones of the
// deployment are evacuated, or the commanders of the others have been lost for longer than a change of
// command takes. Callers of an evacuated zone that is cut off are then refused at once.
func (s *State) evacuatedReason(now time.Duration) string {
	e := &s.evacuations
	switch {
	case len(e.zones) == 0:
		return ""
	case len(s.opts.Zones) > 0 && !slices.ContainsFunc(s.opts.Zones, func(zone string) bool { return !e.evacuated(zone) }):
		return "all zones are evacuated"
	case e.closedSince != 0 && now-e.closedSince >= cellWaitLimit:
		return "all zones that can be reached are evacuated"
	}
	return ""
}

// forwardEvacuations forwards the copy to a peer that does not know its newest change, after the delays
// of forwardConfig. A peer that has just started and cannot read the store starts no tasks before.
func (s *State) forwardEvacuations(now time.Duration, p *peer) {
	e := &s.evacuations
	if need := e.changed + 1; !e.known || p.forwardedEvacuations >= need || p.status.GetEvacuationOffset() >= need {
		return
	}
	if !s.mayForward(p, now-e.changedAt) {
		return
	}
	if s.sendMessage(p, &meshpb.Message{Kind: &meshpb.Message_Evacuations{Evacuations: e.message()}}) {
		p.forwardedEvacuations = e.wirePosition()
	}
}

// EvacuationDump is an availability zone as the operator's requests leave it.
type EvacuationDump struct {
	Zone      string `json:"zone"`
	Requested bool   `json:"requested"`
	Offset    int64  `json:"offset"`      // of the request in the store
	InForceMS int64  `json:"in_force_ms"` // since when it is in force on this host
	Runs      int    `json:"runs"`        // that are left on workers that this host commands
}

// Evacuations returns the zones of the deployment and all evacuated ones, in order of their names.
func (s *State) Evacuations(now time.Duration) []EvacuationDump {
	zones := append(s.evacuations.sortedZones(), s.opts.Zones...)
	slices.SortFunc(zones, cmp.Compare[string])
	var list []EvacuationDump
	for _, zone := range slices.Compact(zones) {
		d := EvacuationDump{Zone: zone, Runs: s.sched.RunsIn(zone)}
		if z, evacuated := s.evacuations.zones[zone]; evacuated {
			d.Requested, d.Offset, d.InForceMS = true, z.offset, (now - z.since).Milliseconds()
		}
		list = append(list, d)
	}
	return list
}
