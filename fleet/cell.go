package fleet

import (
	"fmt"
	"strings"
)

// Cell is the name of a group of workers that one host commands: all workers of an availability zone,
// or a part of them if they are too many for one host. The name holds the number of parts of the zone,
// so that the cells of two different divisions have different names. Examples: "north" and
// "north:1/3".
type Cell string

// NewCell returns the name of one of the parts into which a zone's workers are divided. part counts
// from 0. With one part or none, the cell has the name of the zone.
func NewCell(zone string, part, parts int) Cell {
	if parts <= 1 {
		return Cell(zone)
	}
	return Cell(fmt.Sprintf("%s:%d/%d", zone, part, parts))
}

// parse returns the zone, the part (counted from 0) and the number of parts. A name without parts is
// part 0 of 1.
func (c Cell) parse() (zone string, part, parts int) {
	i := strings.LastIndexByte(string(c), ':')
	if i < 0 {
		return string(c), 0, 1
	}
	if n, err := fmt.Sscanf(string(c[i:]), ":%d/%d", &part, &parts); err != nil || n != 2 {
		return string(c), 0, 1 // the colon belongs to the name of the zone
	}
	return string(c[:i]), part, parts
}

// Zone returns the availability zone of the cell's workers.
func (c Cell) Zone() string {
	zone, _, _ := c.parse()
	return zone
}

// Parts returns the number of cells into which the zone is divided.
func (c Cell) Parts() int {
	_, _, parts := c.parse()
	return parts
}
