package owner

import (
	"github.com/cespare/xxhash/v2"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// DefaultCellWorkers is the number of workers up to which one host commands a zone.
	DefaultCellWorkers = 160
	// keepShare is the part of a cell's workers below which a zone gets fewer cells.
	keepShare = 0.6
)

// CellOf returns the cell of a worker in a zone that is divided into so many parts.
func CellOf(zone, worker string, parts int) fleet.Cell {
	return fleet.NewCell(zone, int(xxhash.Sum64String(worker)%uint64(max(1, parts))), parts)
}

// Parts returns into how many cells a zone is divided that has so many workers. A division that
// commanders announce is kept while it fits, so that all hosts come to the same one, and so that
// workers that come and go do not change it back and forth. It answers zones of any size: what
// one host commands does not grow with them.
func Parts(workers, cellWorkers int, announced []Claim) int {
	best := 0
	for _, c := range announced {
		if p := c.Cell.Parts(); p > best && fits(workers, cellWorkers, p) {
			best = p
		}
	}
	if best > 0 {
		return best
	}
	return max(1, (workers+cellWorkers-1)/cellWorkers)
}

// fits reports whether a division into so many parts suits a number of workers. While none is
// known any division does.
func fits(workers, cellWorkers, parts int) bool {
	least := keepShare * float64((parts-1)*cellWorkers)
	return workers == 0 || workers <= parts*cellWorkers && float64(workers) >= least
}
