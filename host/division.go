package host

import (
	"cmp"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/owner"
)

// updateZoneParts computes the number of cells of each zone from the number of its workers and from
// the cells that their commanders announce.
func (s *State) updateZoneParts(now time.Duration, others []owner.Host) {
	announced := make(map[string][]owner.Claim)
	for _, h := range append(others, s.ownHost()) {
		for _, c := range h.Claims {
			if !c.Releasing && !h.Draining {
				announced[c.Cell.Zone()] = append(announced[c.Cell.Zone()], c)
			}
		}
	}
	workers := make(map[string]int)
	for _, e := range s.sortedEntries() {
		if !e.expired(now) {
			workers[e.info.Zone]++
		}
	}
	for _, zone := range s.opts.Zones {
		parts := owner.Parts(workers[zone], cmp.Or(s.opts.CellWorkers, owner.DefaultCellWorkers), announced[zone])
		if before := s.zoneParts[zone]; before != 0 && before != parts {
			s.log("owner", "", "zone divided anew", "zone", zone, "workers", workers[zone], "cells", parts, "before", before)
		}
		s.zoneParts[zone] = parts
	}
}

// zoneCells returns the cells into which a zone is divided.
func (s *State) zoneCells(zone string) []fleet.Cell {
	parts := max(1, s.zoneParts[zone])
	cells := make([]fleet.Cell, parts)
	for i := range cells {
		cells[i] = fleet.NewCell(zone, i, parts)
	}
	return cells
}

// workerCell returns the cell of a worker.
func (s *State) workerCell(e *workerEntry) fleet.Cell {
	return owner.CellOf(e.info.Zone, e.info.ID, max(1, s.zoneParts[e.info.Zone]))
}

// outdated reports whether a cell belongs to another division of its zone than the current one, that
// is, one with a different number of cells.
func (s *State) outdated(c fleet.Cell) bool { return c.Parts() != max(1, s.zoneParts[c.Zone()]) }
