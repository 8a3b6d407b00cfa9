package owner

import (
	"github.com/cespare/xxhash/v2"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// DefaultCellWorkers is the default for the number of workers up to which one host commands a
	// whole zone.
	DefaultCellWorkers = 160
	// minFillShare decides when a zone gets fewer cells: a division into n cells is given up when the
	// workers are fewer than this share of what n-1 cells can hold.
	minFillShare = 0.6
	// maxFillShare is the same for a zone that gets more cells. Each new division hands over all workers, and
	// while workers are replaced the entries of old and new ones are there together for some seconds.
	maxFillShare = 1.3
)

// CellOf returns the cell of a worker in a zone that is divided into so many parts. The name of the
// worker decides, so that all hosts agree.
func CellOf(zone, worker string, parts int) fleet.Cell {
	return fleet.NewCell(zone, int(xxhash.Sum64String(worker)%uint64(max(1, parts))), parts)
}

// Parts returns the number of cells into which a zone with so many workers is divided, so that no
// host commands many more than cellWorkers however large the zone is. A division that commanders
// announce is kept while it fits, from minFillShare to maxFillShare. All hosts therefore come to the same division, and workers that
// join or leave do not make it change back and forth.
func Parts(workers, cellWorkers int, announced []Claim) int {
	best := 0
	for _, c := range announced {
		if p := c.Cell.Parts(); p > best && divisionFits(workers, cellWorkers, p) {
			best = p
		}
	}
	if best > 0 {
		return best
	}
	return max(1, (workers+cellWorkers-1)/cellWorkers)
}

// divisionFits reports whether a division into so many parts suits a number of workers. While no
// worker is known, every division does.
func divisionFits(workers, cellWorkers, parts int) bool {
	least := minFillShare * float64((parts-1)*cellWorkers)
	most := maxFillShare * float64(parts*cellWorkers)
	return workers == 0 || float64(workers) >= least && float64(workers) <= most
}
