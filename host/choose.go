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
	// crossZonePenalty is added to the expected wait in a cell of another zone. It covers the network
	// round trip and the age of the load report.
	crossZonePenalty = 8 * time.Millisecond
	// maxRefusals limits the cells to which a job is offered. That many refusals mean overload.
	maxRefusals = 4
)

// cellCandidate is a cell on which a job can run, and what is known about its load.
type cellCandidate struct {
	name fleet.Cell
	host uint64 // process ID of its commander
	peer *peer  // commander of the cell; nil: this host
	load sched.Load
	wait time.Duration // expected wait of the job
}

// availableCells returns the cells whose commander is live.
func (s *State) availableCells(now time.Duration) []*cellCandidate {
	var list []*cellCandidate
	hosts := s.liveHosts(now)
	hosts = append(hosts, s.ownHost())
	for _, name := range announcedCells(hosts) {
		h, _, ok := owner.CommanderOf(name, hosts)
		if !ok {
			continue
		}
		c := &cellCandidate{name: name, host: h.ID}
		if h.ID != s.opts.Self.ID {
			c.peer = s.peersByID[h.ID]
		}
		list = append(list, c)
	}
	return list
}

// announcedCells returns the cells that hosts announce, including those of an earlier division of
// a zone whose workers have not been handed over yet.
func announcedCells(hosts []owner.Host) []fleet.Cell {
	var names []fleet.Cell
	for _, h := range hosts {
		for _, c := range h.Claims {
			names = append(names, c.Cell)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// ownHost returns this host in the form that package owner takes.
func (s *State) ownHost() owner.Host {
	h := owner.Host{Name: s.opts.Self.Name, Zone: s.opts.Self.Zone, ID: s.opts.Self.ID, Weight: s.opts.Self.Weight, Draining: s.draining}
	for _, c := range s.owner.Claims() {
		h.Claims = append(h.Claims, *c)
	}
	return h
}

// chooseCell returns the cell with the lowest expected wait; crossZonePenalty is added to the wait in
// cells of other zones. This balances unequal load on zones and cells. Among equal cells it chooses one
// at random, weighted by free CPU, so that hosts with the same information do not all choose the same
// cell. It reports false if no cell is left or maxRefusals cells have refused the job.
func (s *State) chooseCell(now time.Duration, j *job) (*cellCandidate, bool) {
	if len(j.refusedBy) >= maxRefusals {
		return nil, false
	}
	var best *cellCandidate
	var bestCost time.Duration
	free := int64(0) // total over the cells so far whose cost equals bestCost
	for _, c := range s.availableCells(now) {
		if j.refusedBy[c.name] || !s.mayStartIn(c) || !s.fillLoad(c, j.route.Service) {
			continue
		}
		if len(j.refusedBy) > 0 && !s.mayOffer(j, c) {
			continue
		}
		c.wait = c.load.PredictWait(int64(j.spec.Tasks) * j.spec.Need.CPU)
		cost := c.wait
		if c.name.Zone() != s.opts.Self.Zone {
			cost += crossZonePenalty
		}
		cost += s.slowdown(c, j)
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, free = c, cost, max(1, c.load.FreeCPU)
		case cost == bestCost:
			free += max(1, c.load.FreeCPU)
			if s.rng.Int64N(free) < c.load.FreeCPU {
				best = c
			}
		}
	}
	return best, best != nil
}

// fillLoad sets the load of a cell for a service, including the jobs assigned since the last report. It
// reports whether the cell is known to have workers of the service.
func (s *State) fillLoad(c *cellCandidate, service string) bool {
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
				FreeCPU: l.GetFree(), CapacityCPU: l.GetCapacity(), QueuedCPUMillis: l.GetQueued(), EffectiveCPU: l.GetRate(),
				MeanTaskDuration: time.Duration(l.GetTaskMs()) * time.Millisecond, Overloaded: l.GetOverloaded(), ColdCPU: l.GetCold(),
			}
			c.load.AddAssigned(c.peer.assignedWork[c.name])
			return c.load.CapacityCPU > 0
		}
	}
	return false
}

// recordAssignment counts the job as load of a peer's cell until the peer reports its load again.
func (c *cellCandidate) recordAssignment(j *job) {
	if c.peer != nil {
		c.peer.assignedWork[c.name] += int64(j.spec.Tasks) * j.spec.Need.CPU
	}
}

// ownLoads returns the load of an own cell for each service, for other hosts.
func (s *State) ownLoads(name fleet.Cell) []*meshpb.Load {
	var list []*meshpb.Load
	loads := s.sched.Loads(name)
	for _, service := range slices.Sorted(maps.Keys(loads)) {
		l := loads[service]
		list = append(list, &meshpb.Load{
			Service: service, Free: l.FreeCPU, Capacity: l.CapacityCPU, Queued: l.QueuedCPUMillis, Rate: l.EffectiveCPU, TaskMs: l.MeanTaskDuration.Milliseconds(), Overloaded: l.Overloaded, Cold: l.ColdCPU,
		})
	}
	return list
}
