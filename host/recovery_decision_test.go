package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// newReturningHost returns a host of zone north that knows ten workers of its zone and three other hosts
// there, all without contact, and one host of zone south.
func newReturningHost(now time.Duration) *State {
	s := New(Options{
		Self:  Self{Name: "n0", Zone: "north", Addr: "n0:1", ID: 1, Weight: 400},
		Zones: []string{"north", "south"}, Seed: 1, Started: now,
	})
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		s.workers[id] = &workerEntry{info: fleet.Worker{ID: id, Zone: "north", Service: "s", Capacity: fleet.Resources{CPU: 64000, Memory: 1000}}}
	}
	listed := HostsDiscovered{FromStore: true, Records: map[string]HostRecord{"n1:1": {Commanded: true}}}
	for _, name := range []string{"n1", "n2", "n3", "s0"} {
		zone := map[byte]string{'n': "north", 's': "south"}[name[0]]
		listed.Hosts = append(listed.Hosts, &meshpb.Host{Name: name, Zone: zone, Addr: name + ":1", Weight: 400})
	}
	s.applyEvent(now, listed)
	return s
}

// hear makes a host live, with a status.
func (s *State) hear(now time.Duration, name string, id uint64, status *meshpb.Status) {
	p := s.peers[name+":1"]
	p.info = &meshpb.Host{Name: name, Zone: p.discoveredZone, Addr: name + ":1", Id: id, Weight: p.listedWeight}
	p.live, p.status, p.firstContactAt = true, status, now
	s.peersByID[id] = p
}

// announces returns the status of the commander of a cell with free CPU.
func announces(cell string, free int64) *meshpb.Status {
	return &meshpb.Status{Cells: []*meshpb.Cell{{Name: cell, Fence: 1, Commanded: 10, Loads: []*meshpb.Load{
		{Service: "s", Free: free, Capacity: 640000, Rate: 500000, TaskMs: 60},
	}}}}
}

// jobSent submits a job and reports the zone to whose commander it goes; empty: it waits.
func (s *State) jobSent(now time.Duration, seq uint64) string {
	job := arrivedJob(seq)
	job.Spec.Need.CPU, job.Route.ObjectiveOffset = 27000, 60*time.Millisecond
	s.applyEvent(now, job)
	return s.jobs[seq].cell.Zone()
}

// TestJobsWaitForOwnZone guards against jobs that all go to the first cell that announces itself, of
// another zone, while the cells of the own zone are about to come back.
func TestJobsWaitForOwnZone(t *testing.T) {
	now := time.Minute
	s := newReturningHost(now)
	s.hear(now, "s0", 9, announces("south", 240000))
	s.decideCells(now)
	sent := make(map[string]int)
	for seq := range uint64(20) {
		sent[s.jobSent(now, seq+1)]++
	}
	if sent["south"] != 2 || sent[""] != 18 {
		t.Fatalf("%v: want two jobs in south, a quarter of whose room is for one of four hosts, and the rest waiting", sent)
	}
	s.hear(now, "n1", 8, announces("north", 640000))
	s.recheckRecovery(now, s.peers["n1:1"])
	if got := s.jobs[20].cell.Zone(); got != "north" {
		t.Errorf("a job that waited goes to %q after the own zone has come back", got)
	}
}

// TestWaitForOwnZoneEnds guards against jobs that wait for workers that nobody takes.
func TestWaitForOwnZoneEnds(t *testing.T) {
	now := time.Minute
	s := newReturningHost(now)
	s.handleDrain(now) // it takes no cell itself
	s.draining = false
	s.hear(now, "s0", 9, announces("south", 1000))
	s.decideCells(now)
	if zone := s.jobSent(now, 1); zone != "" {
		t.Fatalf("the job goes to %s at once", zone)
	}
	now += maxCellAbsence
	s.hear(now, "s0", 9, announces("south", 1000))
	s.decideCells(now)
	if zone := s.jobSent(now, 2); zone != "south" {
		t.Errorf("a job goes to %q after the own zone has stayed away, want south", zone)
	}
}

// TestEvidenceOfRestart guards against a new process that takes cells early although a commander may live:
// one that has not been heard, or whose zone has hosts that kept running.
func TestEvidenceOfRestart(t *testing.T) {
	now := time.Minute
	s := newReturningHost(now)
	check := func(what string, heard, restarts bool) {
		t.Helper()
		if s.hasHeardZone() != heard || s.zoneRestarts() != restarts {
			t.Errorf("%s: all heard %v, restarts %v", what, s.hasHeardZone(), s.zoneRestarts())
		}
	}
	check("nobody heard", false, false)
	s.hear(now, "n2", 5, &meshpb.Status{Starting: true})
	check("one new host", false, false)
	s.hear(now, "n3", 6, &meshpb.Status{Starting: true})
	check("two new hosts, the former commander is silent", false, true)
	s.hear(now, "n3", 6, &meshpb.Status{})
	check("one of them kept running", false, false)
	s.hear(now, "n1", 7, &meshpb.Status{Starting: true})
	check("all heard", true, false)
	for _, p := range s.sortedPeers {
		p.listed = false
	}
	check("the list names nobody of the zone", false, false)
	s.hostsRead = false
	check("the list of hosts is not known", false, false)
}

// TestNoWaitForEvacuatedZone guards against jobs of an evacuated zone that wait, after a loss of all hosts,
// for cells that will not run them.
func TestNoWaitForEvacuatedZone(t *testing.T) {
	now := time.Minute
	s := newReturningHost(now)
	s.handleEvacuationsRead(now, EvacuationsRead{Snapshot: true, End: 2, Evacuations: []fleet.Evacuation{{Zone: "north", Requested: true, Offset: 1}}})
	s.hear(now, "s0", 9, announces("south", 1000))
	s.decideCells(now)
	if zone := s.jobSent(now, 1); zone != "south" {
		t.Errorf("a job goes to %q, want south", zone)
	}
}
