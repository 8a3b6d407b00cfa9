package member_test

import (
	"testing"
	"time"
)

// framing is the wire overhead of one gossip message with gRPC, in bytes: measured
// 50 to 60 with the header compression of a connection in use.
const framing = 60

// budget is the control traffic that a daemon may cause, sent and received, in bytes a
// second.
const budget = 3000

// controlTraffic returns the bytes a second that one host sends and receives while a
// member restarts every 5 s.
func controlTraffic(t *testing.T, zones, hosts int) float64 {
	w := newWorld(1, zones, hosts, "")
	w.tick, w.unchecked = 250*time.Millisecond, true
	const seconds = 10
	for i := range seconds / 5 {
		w.run(5 * time.Second)
		p := w.current[w.hosts()[i*7%hosts]]
		p.dead = true
		w.startProcess(p.host, p.zone, p.address, w.peersOf())
	}
	if w.problem != "" {
		t.Fatal(w.problem)
	}
	perHost := 2 / float64(hosts) / seconds // each message is sent by one host and received by another
	payload := float64(w.bytes) * perHost
	messages := float64(w.messages) * perHost
	t.Logf("%3d hosts in %2d zones: %.1f messages/s, %.0f B/s encoded, %.0f B/s with framing, mean %d B, largest %d B",
		hosts, zones, messages, payload, payload+messages*framing, w.bytes/w.messages, w.largest)
	return payload + messages*framing
}

// Guards against control traffic that grows with the number of hosts or exceeds 3 KB/s.
func TestControlTrafficStaysInBudget(t *testing.T) {
	t.Parallel()
	sizes := []struct{ zones, hosts int }{{3, 7}, {3, 40}, {1, 100}, {20, 300}}
	rates := make(map[int]float64)
	for _, size := range sizes {
		rate := controlTraffic(t, size.zones, size.hosts)
		if rate > budget {
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

// Guards against an address that proves nothing about a replaced process: the request
// must go to where that incarnation was seen, not to where its successor is.
func TestAddressOfReplacedIncarnation(t *testing.T) {
	w := newWorld(1, 1, 2, "")
	w.run(2 * time.Second)
	old := w.current["zone-00-1"]
	old.dead = true
	w.startProcess(old.host, old.zone, "10.9.0.1:7102", w.peersOf())
	w.run(2 * time.Second)
	viewer := w.current["zone-00-0"].state
	if got, _ := viewer.Address(old.host, old.inc); got != old.address {
		t.Errorf("address of the replaced process: %q, want %q", got, old.address)
	}
	if got, _ := viewer.Address(old.host, w.current[old.host].inc); got != "10.9.0.1:7102" {
		t.Errorf("address of the new process: %q", got)
	}
}

// Guards against a host that takes itself for current forever after another process took
// its name at another address.
func TestReplacedProcessNotices(t *testing.T) {
	w := newWorld(1, 1, 3, "")
	w.run(2 * time.Second)
	old := w.current["zone-00-1"]
	w.startProcess(old.host, old.zone, "10.9.0.1:7102", w.peersOf())
	w.run(time.Minute)
	if !old.noticed {
		t.Error("the replaced process did not notice within a minute")
	}
}
