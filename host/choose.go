package host

import (
	"maps"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/owner"
	"sesameledge.dev/sesameledge/sched"
)

const (
	// distanceCost is the wait that a cell of another zone has to save to be chosen. It
	// covers the way there and back, and the age of what is known of its load.
	distanceCost = 8 * time.Millisecond
	// maxRefusals bounds the cells that a job is offered to. What so many refuse is overload.
	maxRefusals = 4
)

// cell is a place where a job can run.
type cell struct {
	name fleet.Cell
	host uint64
	peer *peer // that commands it; nil: this host
	load sched.Load
	wait time.Duration
}

// cells returns the cells with a commander that is heard.
func (s *State) cells(now time.Duration) []*cell {
	var list []*cell
	hosts := s.others(now)
	hosts = append(hosts, s.ownClaims())
	for _, name := range announced(hosts) {
		h, _, ok := owner.Holder(name, hosts)
		if !ok {
			continue
		}
		c := &cell{name: name, host: h.ID}
		if h.ID != s.opts.Self.ID {
			c.peer = s.byID[h.ID]
		}
		list = append(list, c)
	}
	return list
}

// announced returns the cells that hosts announce, also those of an earlier division of a zone
// whose workers are not yet handed over.
func announced(hosts []owner.Host) []fleet.Cell {
	var names []fleet.Cell
	for _, h := range hosts {
		for _, c := range h.Claims {
			names = append(names, c.Cell)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (s *State) ownClaims() owner.Host {
	h := owner.Host{Name: s.opts.Self.Name, Zone: s.opts.Self.Zone, ID: s.opts.Self.ID, Weight: s.opts.Self.Weight, Draining: s.draining}
	for _, c := range s.owner.Claims() {
		h.Claims = append(h.Claims, *c)
	}
	return h
}

// chooseCell returns the cell where a job would begin first, one of the own zone unless another
// one saves more than the way there costs. Of several that are as good one is drawn by its free
// processors, so that hosts that know the same do not all choose the same. It answers unequal
// load on zones and cells.
func (s *State) chooseCell(now time.Duration, j *job) (*cell, bool) {
	if len(j.refused) >= maxRefusals {
		return nil, false
	}
	var best *cell
	var bestCost time.Duration
	free := int64(0) // of the cells that are as good as the best, up to now
	for _, c := range s.cells(now) {
		if j.refused[c.name] || !s.readLoad(c, j.route.Service) {
			continue
		}
		c.wait = c.load.Wait(int64(j.spec.Tasks) * j.spec.Need.CPU)
		cost := c.wait
		if c.name.Zone() != s.opts.Self.Zone {
			cost += distanceCost
		}
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, free = c, cost, max(1, c.load.Free)
		case cost == bestCost:
			free += max(1, c.load.Free)
			if s.rng.Int64N(free) < c.load.Free {
				best = c
			}
		}
	}
	return best, best != nil
}

// readLoad fills in what is known of the load of a cell.
func (s *State) readLoad(c *cell, service string) bool {
	if c.peer == nil {
		load, ok := s.sched.Loads(c.name)[service]
		c.load = load
		return ok
	}
	for _, pc := range c.peer.status.GetCells() {
		if pc.GetName() != string(c.name) {
			continue
		}
		for _, l := range pc.GetLoads() {
			if l.GetService() != service {
				continue
			}
			c.load = sched.Load{
				Free: l.GetFree(), Capacity: l.GetCapacity(), Queued: l.GetQueued(), Rate: l.GetRate(),
				Task: time.Duration(l.GetTaskMs()) * time.Millisecond,
			}
			c.load.Take(c.peer.assigned[c.name])
			return c.load.Capacity > 0
		}
	}
	return false
}

// assign notes that a job goes to the cell, ahead of the next report of its load.
func (c *cell) assign(j *job) {
	if c.peer != nil {
		c.peer.assigned[c.name] += int64(j.spec.Tasks) * j.spec.Need.CPU
	}
}

// loads is the load of an own cell for other hosts.
func (s *State) loads(name fleet.Cell) []*meshpb.Load {
	var list []*meshpb.Load
	loads := s.sched.Loads(name)
	for _, service := range slices.Sorted(maps.Keys(loads)) {
		l := loads[service]
		list = append(list, &meshpb.Load{
			Service: service, Free: l.Free, Capacity: l.Capacity, Queued: l.Queued, Rate: l.Rate, TaskMs: l.Task.Milliseconds(),
		})
	}
	return list
}
