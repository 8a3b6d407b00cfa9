package host

import (
	"cmp"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/owner"
)

// divide decides into how many cells each zone is divided, from its workers and from what the
// commanders of its cells announce.
func (s *State) divide(now time.Duration, others []owner.Host) {
	announced := make(map[string][]owner.Claim)
	for _, h := range append(others, s.ownClaims()) {
		for _, c := range h.Claims {
			if !c.Releasing && !h.Draining {
				announced[c.Cell.Zone()] = append(announced[c.Cell.Zone()], c)
			}
		}
	}
	workers := make(map[string]int)
	for _, e := range s.entries() {
		if !e.gone(now) {
			workers[e.info.Zone]++
		}
	}
	for _, zone := range s.opts.Zones {
		parts := owner.Parts(workers[zone], cmp.Or(s.opts.CellWorkers, owner.DefaultCellWorkers), announced[zone])
		if before := s.parts[zone]; before != 0 && before != parts {
			s.note("owner", "", "zone divided anew", "zone", zone, "workers", workers[zone], "cells", parts, "before", before)
		}
		s.parts[zone] = parts
	}
}

// cellsOf returns the cells into which a zone is divided.
func (s *State) cellsOf(zone string) []fleet.Cell {
	parts := max(1, s.parts[zone])
	cells := make([]fleet.Cell, parts)
	for i := range cells {
		cells[i] = fleet.NewCell(zone, i, parts)
	}
	return cells
}

// cellOf returns the cell of a worker.
func (s *State) cellOf(e *entry) fleet.Cell {
	return owner.CellOf(e.info.Zone, e.info.ID, max(1, s.parts[e.info.Zone]))
}

// outdated reports whether a cell belongs to another division of its zone.
func (s *State) outdated(c fleet.Cell) bool { return c.Parts() != max(1, s.parts[c.Zone()]) }
