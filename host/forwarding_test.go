package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// countForwardedWorkers counts the worker entries in the frames among effects.
func countForwardedWorkers(effects []Effect) int {
	n := 0
	for _, e := range effects {
		if f, ok := e.(SendFrame); ok {
			for _, m := range f.Frame.GetMessages() {
				n += len(m.GetWorkers().GetWorkers())
			}
		}
	}
	return n
}

// TestUnchangedWorkersAreNotForwarded guards against every host forwarding every heartbeat of every
// worker to hosts that cannot read the store: small hosts lose contact under that load.
func TestUnchangedWorkersAreNotForwarded(t *testing.T) {
	p := newHostPair() // neither host has reported that the store answers
	heartbeats := 0
	for i := range 20 {
		p.now += 100 * time.Millisecond
		record := WorkerRecord{ID: "w", Record: []byte("w"), Offset: int64(10 + i)}
		for h := range p.hosts {
			effects := p.hosts[h].Step(p.now, WorkersRead{Records: []WorkerRecord{record}}, Tick{})
			heartbeats += countForwardedWorkers(effects)
			for _, e := range effects {
				if f, ok := e.(SendFrame); ok {
					p.step(1-h, FrameReceived{Frame: f.Frame})
				}
			}
		}
	}
	if heartbeats != 0 {
		t.Errorf("%d unchanged entries were forwarded", heartbeats)
	}
}

// TestOnlyCommandersForwardWorkers guards against every host of a deployment sending the same
// entries to a host that has just started.
func TestOnlyCommandersForwardWorkers(t *testing.T) {
	s := newTestState("idle", 1)
	s.Step(0, WorkersRead{Snapshot: true, Records: []WorkerRecord{{ID: "w", Record: []byte("w"), Offset: 1}}})
	if got := len(s.changedWorkersFor(newTestPeer("z"))); got != 0 {
		t.Errorf("a host without a cell forwards %d entries", got)
	}
	p := newHostPair()
	north := p.hosts[1]
	if got := len(north.changedWorkersFor(newTestPeer("north"))); got == 0 {
		t.Error("a commander forwards no entries")
	}
}

// newTestPeer returns a peer of a zone that commands no cell.
func newTestPeer(zone string) *peer {
	return &peer{info: &meshpb.Host{Zone: zone}, status: &meshpb.Status{}}
}

// TestOnlyWorkersOfPeerZoneAreForwarded guards against traffic between zones that grows with hosts
// times workers. A host needs only the entries of its own zone, from the commander there. A
// commander may need them from commanders of other zones, since all hosts of its zone may be cut
// off from the store together.
func TestOnlyWorkersOfPeerZoneAreForwarded(t *testing.T) {
	p := newHostPair()
	for i := range p.hosts {
		p.step(i, WorkersRead{Records: []WorkerRecord{{ID: "far", Record: []byte("far"), Offset: 9}}})
	}
	south, north := p.hosts[0], p.hosts[1]
	if got := len(south.changedWorkersFor(newTestPeer("north"))); got != 0 {
		t.Errorf("the commander of another zone forwards %d entries to a host that commands nothing", got)
	}
	commander := newTestPeer("north")
	commander.status.Cells = []*meshpb.Cell{{Name: "north"}}
	if got := len(south.changedWorkersFor(commander)); got == 0 {
		t.Error("a commander without the store gets nothing from the commander of another zone")
	}
	if got := len(north.changedWorkersFor(newTestPeer("south"))); got != 0 {
		t.Errorf("%d entries of another zone were forwarded", got)
	}
}

// TestNoWorkersAreForwardedToStartingHosts guards against commanders that send all entries to every
// host that has just started: with 100 hosts this was most of a day's traffic between zones.
func TestNoWorkersAreForwardedToStartingHosts(t *testing.T) {
	p := newHostPair()
	north := p.hosts[1]
	start := &meshpb.Host{Name: "n2", Zone: "north", Addr: "n2:1", Id: 77}
	sent := 0
	stamp := time.Duration(0)
	for end := p.now + workerForwardDelay - 100*time.Millisecond; p.now < end; p.now += hostPairStep {
		frame := &meshpb.Frame{From: start, To: north.opts.Self.ID, Sent: int64(p.now), Echo: int64(stamp), Status: &meshpb.Status{}}
		for _, e := range north.Step(p.now, FrameReceived{Frame: frame}, Tick{}) {
			if f, ok := e.(SendFrame); ok && f.Addr == start.GetAddr() {
				stamp = time.Duration(f.Frame.GetSent())
				sent += countForwardedWorkers([]Effect{f})
			}
		}
	}
	if peer := north.peers[start.GetAddr()]; peer == nil || !peer.live {
		t.Fatal("the new host is not in contact")
	}
	if sent != 0 {
		t.Errorf("%d entries were sent to a host that has just started", sent)
	}
}
