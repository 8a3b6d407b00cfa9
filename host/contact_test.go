package host

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
)

// contactsOutsideZone returns the number of hosts of other zones with which a host keeps in contact.
func contactsOutsideZone(h *simHost) int {
	n := 0
	for _, p := range h.state.sortedPeers {
		if p.contacted && p.info.GetZone() != h.zone {
			n++
		}
	}
	return n
}

// TestIdleHostsContactOnlyCommandersOfOtherZones guards against traffic of a host that grows with the
// number of hosts in other zones. On a deployment of 147 hosts the heartbeats between all of them took a
// tenth of a small host's processor.
func TestIdleHostsContactOnlyCommandersOfOtherZones(t *testing.T) {
	w := newSimulation(1, 6, 6, 100)
	w.advance(contactLinger + 5*time.Second)
	for _, h := range w.hosts {
		want := 1 // the commander of the other zone
		if h.state.CellCount() > 0 {
			want = 6
		}
		if got := contactsOutsideZone(h); got != want {
			t.Errorf("host %s with %d cells is in contact with %d hosts of the other zone, want %d", h.name, h.state.CellCount(), got, want)
		}
	}
}

// TestStandbyCommandersGetFewFrames guards against frequent heartbeats between commanders and all hosts
// of other zones, which took most of a small host's processor time for the mesh. A job for such a
// commander still starts at once.
func TestStandbyCommandersGetFewFrames(t *testing.T) {
	w := newSimulation(1, 6, 6, 100)
	w.advance(contactLinger + 5*time.Second)
	var idle *simHost
	for _, h := range w.hosts {
		if h.zone == "north" && h.state.CellCount() == 0 {
			idle = h
		}
	}
	before := idle.state.stats.FramesOut
	w.advance(10 * time.Second)
	// 10 a second to the commander of its zone, 1 to each other host there, 2 to the other commander.
	if perSecond := (idle.state.stats.FramesOut - before) / 10; perSecond > 18 {
		t.Errorf("an idle host sends %d frames a second", perSecond)
	}
	for _, ww := range w.workers {
		ww.info.Draining = ww.info.Zone == "north"
		w.publishWorker(ww)
	}
	w.advance(2 * time.Second)
	j := w.submit(idle, 1, 50*time.Millisecond, false)
	w.advance(80 * time.Millisecond)
	if len(j.outcomes) != 1 || j.outcomes[0] != sched.Completed {
		t.Errorf("a job for a commander of the other zone came to %v %s after 80 ms", j.outcomes, j.reason)
	}
}

// TestLastHostOfZoneFindsCommander guards against a host that has lost all others of its zone and its
// workers, and does not find the commanders of other zones.
func TestLastHostOfZoneFindsCommander(t *testing.T) {
	w := newSimulation(1, 3, 4, 100)
	w.advance(contactLinger + 5*time.Second)
	var left *simHost
	for _, h := range w.hosts {
		switch {
		case h.zone != "north":
		case left == nil && h.state.CellCount() == 0:
			left = h
		default:
			h.kill()
		}
	}
	for _, ww := range w.workers {
		ww.unlisted = ww.info.Zone == "north"
		ww.cut = ww.unlisted
	}
	left.kill()
	left.boot()
	w.advance(searchDelay + 5*time.Second)
	j := w.submit(left, 1, 50*time.Millisecond, false)
	w.advance(time.Second)
	if len(j.outcomes) != 1 || j.outcomes[0] != sched.Completed {
		t.Errorf("the job came to %v %s", j.outcomes, j.reason)
	}
}

// TestSearchForCommandersIsBounded guards against a host that hears nobody, because it gets too little
// processor time, and spends what it has on connections to all hosts of a large deployment, so that it
// never recovers. One such host applied no configuration for 20 s.
func TestSearchForCommandersIsBounded(t *testing.T) {
	s := newTestState("lone", 1)
	s.opts.Zones = []string{"far"} // no workers in its own zone, so no cell to take
	var hosts []*meshpb.Host
	for i := range 150 {
		hosts = append(hosts, &meshpb.Host{Addr: fmt.Sprintf("10.1.0.%d:1", i), Zone: "far"})
	}
	now := time.Duration(0)
	s.Step(now, HostsDiscovered{Hosts: hosts})
	for now < 3*contactLinger {
		now += 100 * time.Millisecond
		s.Step(now, Tick{})
		contacted := 0
		for _, p := range s.sortedPeers {
			if p.contacted {
				contacted++
			}
		}
		if limit := searchContacts * int(contactLinger/searchPeriod+2); contacted > limit {
			t.Fatalf("in contact with %d hosts at once, want at most %d", contacted, limit)
		}
	}
	if s.stats.FramesOut == 0 {
		t.Error("the host asks nobody")
	}
}

// TestNewCellIsAnnouncedWithItsLoad guards against jobs that are refused although a cell of another zone
// has just become usable: hosts of other zones hear of its load only at the next heartbeat.
func TestNewCellIsAnnouncedWithItsLoad(t *testing.T) {
	w := newSimulation(1, 3, 4, 100)
	var commander *simHost
	for range 400 {
		w.advance(5 * time.Millisecond)
		for _, h := range w.hosts {
			if h.zone == "south" && h.state.CellCount() > 0 && len(h.state.ownLoads("south")) > 0 {
				commander = h
			}
		}
		if commander != nil {
			break
		}
	}
	if commander == nil {
		t.Fatal("no host commands workers of the zone")
	}
	w.advance(2*simTickInterval + 4*simLatency)
	for _, h := range w.hosts {
		if h.zone != "north" {
			continue
		}
		cells := h.state.peers[commander.addr].status.GetCells()
		if len(cells) != 1 || len(cells[0].GetLoads()) == 0 {
			t.Errorf("host %s knows of the cells %v", h.name, cells)
		}
	}
}
