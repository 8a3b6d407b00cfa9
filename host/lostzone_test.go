package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// cancelFrom submits a job at a host of "south", lets a zone be lost or cut off, and cancels the job after a time at
// another host of "south". It returns that host's statistics.
func cancelFrom(t *testing.T, after time.Duration, lose func(w *simulation, north []*simHost)) Stats {
	t.Helper()
	w, _, _ := newCancelSimulation()
	var north, south []*simHost
	for _, h := range w.hosts {
		if h.zone == "north" {
			north = append(north, h)
		} else {
			south = append(south, h)
		}
	}
	lose(w, north)
	w.advance(after - 200*time.Millisecond)
	w.patience = 20 * time.Second
	j := w.submit(south[0], 1, 15*time.Second, false)
	w.advance(200 * time.Millisecond)
	if len(j.runs) != 1 {
		t.Fatalf("%d runs, want 1", len(j.runs))
	}
	w.cancelJob(south[1], j)
	w.advance(maxCancelWait + 100*time.Millisecond)
	if w.failure != nil {
		t.Fatal(w.failure)
	}
	return south[1].state.Stats()
}

func killAllOf(_ *simulation, hosts []*simHost) {
	for _, h := range hosts {
		h.kill()
	}
}

// cutOff cuts the links between the zones, and hosts off the store if store is set.
func cutOff(store bool) func(w *simulation, hosts []*simHost) {
	return func(w *simulation, hosts []*simHost) {
		(&hostMachine{w: w}).setLinks(func(a, b *simHost) bool { return a.zone != b.zone }, true)
		for _, h := range hosts {
			h.storeCut = store
		}
	}
}

// TestCancellationAfterLossOfZone guards against cancellations that are acknowledged never again once all hosts of a
// zone are gone for good (review/10), and against an acknowledgement while they may only be cut off.
func TestCancellationAfterLossOfZone(t *testing.T) {
	const later = lostZoneTime + 600*time.Millisecond
	for name, c := range map[string]struct {
		after time.Duration
		lose  func(w *simulation, north []*simHost)
		acked bool
	}{
		"lost":                  {later, killAllOf, true},
		"just lost":             {500 * time.Millisecond, killAllOf, false},
		"cut off":               {later, cutOff(false), false},
		"cut off for long":      {3 * later, cutOff(false), false},
		"cut off and no store":  {later, cutOff(true), true},
		"of an earlier version": {later, killOld, false},
	} {
		s := cancelFrom(t, c.after, c.lose)
		if acked := s.CancelsDone == 1; acked != c.acked || s.CancelsDone+s.CancelsUnknown != 1 {
			t.Errorf("%s: %d acknowledged and %d not known, want it acknowledged: %v", name, s.CancelsDone, s.CancelsUnknown, c.acked)
		}
	}
}

// killOld kills hosts whose records promise no signs of life.
func killOld(w *simulation, hosts []*simHost) {
	for _, h := range hosts {
		h.earlierVersion = true
		h.writeRecord()
	}
	w.advance(storeReadInterval)
	killAllOf(w, hosts)
}

// TestSignsOfLifeAreThoseOfTheStore guards against a list of hosts from the settings that counts as a read of their
// records, so that a zone counts as lost whose signs were not read, and against the first record of the store.
func TestSignsOfLifeAreThoseOfTheStore(t *testing.T) {
	s, now := newFuzzState()
	hosts := []*meshpb.Host{{Addr: "127.0.0.1:9", Zone: "south"}}
	s.Step(now, HostsDiscovered{Hosts: hosts, FromStore: true, Records: map[string]HostRecord{"127.0.0.1:9": {Offset: 0, SignsWhenIsolated: true}}})
	if p := s.peers["127.0.0.1:9"]; !p.lastSign.again || p.lastSign.at != now || s.signs.readAt != now {
		t.Fatalf("the first record of the store is read as %+v at %v", p.lastSign, s.signs.readAt)
	}
	s.Step(now+time.Second, HostsDiscovered{Hosts: hosts})
	if s.signs.readAt != now {
		t.Errorf("a list without records counts as read from the store")
	}
}
