package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// workersSent counts the worker entries that a step passes on to other hosts.
func workersSent(effects []Effect) int {
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

// TestHeartbeatsAreNotPassedOn guards against flooding hosts that cannot read the store with
// every heartbeat of every worker, from every host: small hosts lose contact under that.
func TestHeartbeatsAreNotPassedOn(t *testing.T) {
	p := newPair() // neither host has reported that the store answers
	heartbeats := 0
	for i := range 20 {
		p.now += 100 * time.Millisecond
		record := WorkerRecord{ID: "w", Record: []byte("w"), Offset: int64(10 + i)}
		for h := range p.hosts {
			effects := p.hosts[h].Step(p.now, WorkersRead{Records: []WorkerRecord{record}}, Tick{})
			heartbeats += workersSent(effects)
			for _, e := range effects {
				if f, ok := e.(SendFrame); ok {
					p.step(1-h, FrameIn{Frame: f.Frame})
				}
			}
		}
	}
	if heartbeats != 0 {
		t.Errorf("%d unchanged entries were passed on", heartbeats)
	}
}

// TestOnlyCommandersPassWorkersOn guards against every host of a deployment sending the same
// entries to one that has just started.
func TestOnlyCommandersPassWorkersOn(t *testing.T) {
	s := newTestState("idle", 1)
	s.Step(0, WorkersRead{Snapshot: true, Records: []WorkerRecord{{ID: "w", Record: []byte("w"), Offset: 1}}})
	if got := len(s.workersFor(newTestPeer("z"))); got != 0 {
		t.Errorf("a host without a cell passes %d entries on", got)
	}
	p := newPair()
	north := p.hosts[1]
	if got := len(north.workersFor(newTestPeer("north"))); got == 0 {
		t.Error("a commander passes nothing on")
	}
}

func newTestPeer(zone string) *peer {
	return &peer{info: &meshpb.Host{Zone: zone}, status: &meshpb.Status{}}
}

// TestOnlyWorkersOfTheZonePassOn guards against traffic between zones that grows with hosts times
// workers: a host needs the entries of its own zone, from the commander there. A commander may
// need those of other commanders, since the hosts of its zone may be cut off from the store
// together.
func TestOnlyWorkersOfTheZonePassOn(t *testing.T) {
	p := newPair()
	for i := range p.hosts {
		p.step(i, WorkersRead{Records: []WorkerRecord{{ID: "far", Record: []byte("far"), Offset: 9}}})
	}
	south, north := p.hosts[0], p.hosts[1]
	if got := len(south.workersFor(newTestPeer("north"))); got != 0 {
		t.Errorf("the commander of another zone passes %d entries on to a host that commands nothing", got)
	}
	commander := newTestPeer("north")
	commander.status.Cells = []*meshpb.Cell{{Name: "north"}}
	if got := len(south.workersFor(commander)); got == 0 {
		t.Error("a commander without the store gets nothing from the commander of another zone")
	}
	if got := len(north.workersFor(newTestPeer("south"))); got != 0 {
		t.Errorf("%d entries of another zone were passed on", got)
	}
}

// TestStartingHostsReadThemselves guards against commanders that send all entries to every host
// that has just started: at 100 hosts that was most of the traffic between zones of a whole day.
func TestStartingHostsReadThemselves(t *testing.T) {
	p := newPair()
	north := p.hosts[1]
	start := &meshpb.Host{Name: "n2", Zone: "north", Addr: "n2:1", Id: 77}
	sent := 0
	stamp := time.Duration(0)
	for end := p.now + startGrace - 100*time.Millisecond; p.now < end; p.now += pairStep {
		frame := &meshpb.Frame{From: start, To: north.opts.Self.ID, Sent: int64(p.now), Echo: int64(stamp), Status: &meshpb.Status{}}
		for _, e := range north.Step(p.now, FrameIn{Frame: frame}, Tick{}) {
			if f, ok := e.(SendFrame); ok && f.Addr == start.GetAddr() {
				stamp = time.Duration(f.Frame.GetSent())
				sent += workersSent([]Effect{f})
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
