package sched

import "time"

const (
	// reasonEvacuated is the reason for refusing jobs of an evacuated zone.
	reasonEvacuated = "the zone is evacuated"
	// reasonNotKnown is the reason for refusing jobs before the evacuated zones are known.
	reasonNotKnown = "this host does not know yet whether the zone is evacuated"
)

// startRestrictions tell in which zones no task may start.
type startRestrictions struct {
	evacuated map[string]bool // by availability zone
	unknown   bool            // the evacuated zones are not known yet, so nothing may start
}

// reason returns why no task may start in a zone, or an empty string.
func (r startRestrictions) reason(zone string) string {
	switch {
	case r.unknown:
		return reasonNotKnown
	case r.evacuated[zone]:
		return reasonEvacuated
	}
	return ""
}

// RestrictStarts sets the zones in which no task may start; unknown means that these are not known yet and
// no task may start at all. Runs that have begun go on. The next Place ends the jobs that wait there.
func (s *State) RestrictStarts(evacuated map[string]bool, unknown bool) {
	s.restrictions = startRestrictions{evacuated: evacuated, unknown: unknown}
	s.needsPlacement = true
}

// endRestrictedJobs ends the jobs that need to start a task in a zone where none may start. Those without a
// started task are refused, so that their hosts send them elsewhere. Of the others tasks may have run.
func (s *State) endRestrictedJobs(now time.Duration) {
	if !s.restrictions.unknown && len(s.restrictions.evacuated) == 0 {
		return
	}
	for _, j := range s.queue {
		if j.finished || len(j.waiting) == 0 {
			continue
		}
		if reason := s.restrictions.reason(j.cell.Zone()); reason != "" {
			s.finish(now, j, Refused, reason)
		}
	}
}

// RunsIn returns the number of runs on the workers of a zone that this host commands or has used.
func (s *State) RunsIn(zone string) int {
	n := 0
	for _, w := range s.sortedWorkers {
		if w.info.Zone == zone {
			n += len(w.runs)
		}
	}
	return n
}
