package member_test

import (
	"testing"
	"time"
)

// framingBytes is the overhead of gRPC for one gossip message. It is 50 to 60 bytes on a
// connection whose header compression has seen earlier messages.
const framingBytes = 60

// maxTrafficBytesPerSecond limits the control traffic that a daemon sends and receives.
const maxTrafficBytesPerSecond = 3000

// controlTrafficBytesPerSecond returns the traffic that one host sends and receives on average
// while a member restarts every 5 s.
func controlTrafficBytesPerSecond(t *testing.T, zones, hosts int) float64 {
	sim := newSimulation(1, zones, hosts, "")
	sim.step, sim.skipOrderCheck = 250*time.Millisecond, true
	const seconds = 10
	for i := range seconds / 5 {
		sim.run(5 * time.Second)
		p := sim.current[sim.hosts()[i*7%hosts]]
		p.dead = true
		sim.startProcess(p.host, p.zone, p.address, sim.configuredPeers())
	}
	if sim.failure != "" {
		t.Fatal(sim.failure)
	}
	perHost := 2 / float64(hosts) / seconds // each message is sent by one host and received by another
	payload := float64(sim.totalBytes) * perHost
	messages := float64(sim.messageCount) * perHost
	t.Logf("%3d hosts in %2d zones: %.1f messages/s, %.0f B/s encoded, %.0f B/s with framing, mean %d B, largest %d B",
		hosts, zones, messages, payload, payload+messages*framingBytes, sim.totalBytes/sim.messageCount, sim.largestBytes)
	return payload + messages*framingBytes
}

// TestControlTrafficStaysBelowLimit guards against control traffic that grows with the number
// of hosts or exceeds 3 KB/s for a host.
func TestControlTrafficStaysBelowLimit(t *testing.T) {
	t.Parallel()
	sizes := []struct{ zones, hosts int }{{3, 7}, {3, 40}, {1, 100}, {20, 300}}
	rates := make(map[int]float64)
	for _, size := range sizes {
		rate := controlTrafficBytesPerSecond(t, size.zones, size.hosts)
		if rate > maxTrafficBytesPerSecond {
			t.Errorf("%d hosts in %d zones: %.0f B/s per host", size.hosts, size.zones, rate)
		}
		rates[size.hosts] = rate
	}
	slope := (rates[300] - rates[40]) / 260
	t.Logf("slope from 40 to 300 hosts: %.2f B/s per host", slope)
	if slope > 1 {
		t.Errorf("the traffic of a host grows by %.2f B/s with each host", slope)
	}
}

// TestAddressOfReplacedIncarnation guards against asking about a replaced process at the
// address of its successor, whose answer proves nothing about it. The request must go to the
// address where that incarnation was seen.
func TestAddressOfReplacedIncarnation(t *testing.T) {
	sim := newSimulation(1, 1, 2, "")
	sim.run(2 * time.Second)
	old := sim.current["zone-00-1"]
	old.dead = true
	sim.startProcess(old.host, old.zone, "10.9.0.1:7102", sim.configuredPeers())
	sim.run(2 * time.Second)
	viewer := sim.current["zone-00-0"].state
	if got, _ := viewer.Address(old.host, old.incarnation); got != old.address {
		t.Errorf("address of the replaced process: %q, want %q", got, old.address)
	}
	if got, _ := viewer.Address(old.host, sim.current[old.host].incarnation); got != "10.9.0.1:7102" {
		t.Errorf("address of the new process: %q", got)
	}
}

// TestReplacedProcessNoticesReplacement guards against a process that never finds out that
// another process has taken its host name at another address.
func TestReplacedProcessNoticesReplacement(t *testing.T) {
	sim := newSimulation(1, 1, 3, "")
	sim.run(2 * time.Second)
	old := sim.current["zone-00-1"]
	sim.startProcess(old.host, old.zone, "10.9.0.1:7102", sim.configuredPeers())
	sim.run(time.Minute)
	if !old.noticedReplacement {
		t.Error("the replaced process did not notice within a minute")
	}
}
