package fleet

import (
	"fmt"
	"strings"
)

// Cell names a group of workers with one commander: the workers of an availability zone, or a
// part of them where they are too many for one host. The name tells into how many parts the
// zone is divided, so cells of two divisions are different cells.
type Cell string

// NewCell names a part of a zone's workers. Parts are numbered from 0.
func NewCell(zone string, part, parts int) Cell {
	if parts <= 1 {
		return Cell(zone)
	}
	return Cell(fmt.Sprintf("%s:%d/%d", zone, part, parts))
}

// split returns the zone, and the part and number of parts if the name has them.
func (c Cell) split() (zone string, part, parts int) {
	i := strings.LastIndexByte(string(c), ':')
	if i < 0 {
		return string(c), 0, 1
	}
	if n, err := fmt.Sscanf(string(c[i:]), ":%d/%d", &part, &parts); err != nil || n != 2 {
		return string(c), 0, 1 // a zone whose name has a colon
	}
	return string(c[:i]), part, parts
}

// Zone returns the availability zone of the cell's workers.
func (c Cell) Zone() string {
	zone, _, _ := c.split()
	return zone
}

// Parts returns into how many cells the zone is divided.
func (c Cell) Parts() int {
	_, _, parts := c.split()
	return parts
}
