package host

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/sched"
)

// evacuationLimit is the time after which a request has to be in force everywhere.
const evacuationLimit = 5 * time.Second

// evacuate requests or withdraws the evacuation of a zone.
func (w *simulation) evacuate(zone string, requested bool) {
	w.requests = append(w.requests, fleet.Evacuation{Zone: zone, Requested: requested, Offset: int64(len(w.requests))})
}

// evacuated reports whether the operator's newest request about a zone is to evacuate it.
func (w *simulation) evacuated(zone string) bool {
	requested := false
	for _, r := range w.requests {
		if r.Zone == zone {
			requested = r.Requested
		}
	}
	return requested
}

// readEvacuations reads the requests from the store as a process does: first those in force, then the
// following ones, and those in force again if the store no longer holds the history.
func (h *simHost) readEvacuations() EvacuationsRead {
	w := h.w
	e := EvacuationsRead{End: int64(len(w.requests))}
	if h.evacuationsRead >= 0 && !w.lostHistory {
		e.Evacuations = w.requests[h.evacuationsRead:]
	} else {
		newest := make(map[string]fleet.Evacuation)
		for _, r := range w.requests {
			newest[r.Zone] = r
		}
		for _, zone := range simZones {
			if newest[zone].Requested {
				e.Evacuations = append(e.Evacuations, newest[zone])
			}
		}
		e.Snapshot = true
	}
	h.evacuationsRead = len(w.requests)
	return e
}

// checkZoneOpen fails the simulation if the host starts a task in a zone that it knows to be evacuated, or
// before it knows which zones are.
func (h *simHost) checkZoneOpen(zone string) {
	if e := &h.state.evacuations; !e.known || e.evacuated(zone) {
		h.w.fail("host %s starts a task in %s (evacuations known: %v)", h.name, zone, e.known)
	}
}

// startsIn counts the starts of tasks that workers of a zone accept during a time.
func (w *simulation) startsIn(zone string, d time.Duration) int {
	before := w.zoneStarts(zone)
	w.advance(d)
	return w.zoneStarts(zone) - before
}

func (w *simulation) zoneStarts(zone string) int {
	n := 0
	for _, ww := range w.workers {
		if ww.info.Zone == zone {
			n += ww.starts
		}
	}
	return n
}

// requireEmpty fails the test if tasks start in an evacuated zone, or if the other zone serves nothing.
func requireEmpty(t *testing.T, w *simulation, zone string, d time.Duration) {
	t.Helper()
	others := 0
	for _, z := range simZones {
		if z != zone {
			others -= w.zoneStarts(z)
		}
	}
	if n := w.startsIn(zone, d); n > 0 {
		t.Errorf("%d tasks were started in the evacuated zone", n)
	}
	for _, z := range simZones {
		if z != zone {
			others += w.zoneStarts(z)
		}
	}
	if others == 0 {
		t.Error("no tasks were started in the other zone")
	}
	if w.failure != nil {
		t.Fatal(w.failure)
	}
}

// newLoadedSimulation returns two zones of two hosts and three workers with load on all hosts.
func newLoadedSimulation() *simulation {
	w := newSimulation(11, 2, 3, 0)
	w.load = 30 * time.Millisecond
	w.advance(3 * time.Second)
	return w
}

// TestEvacuatedZoneGetsNoWork guards against tasks that start in an evacuated zone, jobs of its callers that
// are not served, and a zone that stays empty after it was taken back.
func TestEvacuatedZoneGetsNoWork(t *testing.T) {
	w := newLoadedSimulation()
	w.evacuate("north", true)
	w.advance(time.Second)
	requireEmpty(t, w, "north", 4*time.Second)
	for _, h := range w.hosts {
		j := &job{route: fleet.Route{Service: "s"}, spec: fleet.JobSpec{Tasks: 1}}
		if c, ok := h.state.chooseCell(h.clock(), j); !ok || c.name.Zone() == "north" {
			t.Errorf("host %s passes a job to the evacuated zone, which costs a refusal (%v)", h.name, ok)
		}
	}
	load := w.load
	w.load = 0
	w.advance(4 * time.Second) // until the backlog of the other zone is gone
	j := w.submit(w.hosts[0], 1, 50*time.Millisecond, false)
	w.advance(500 * time.Millisecond)
	if len(j.outcomes) != 1 || j.outcomes[0] != sched.Completed {
		t.Errorf("a caller of the zone is not served: %v %s", j.outcomes, j.reason)
	}
	w.load = load
	w.evacuate("north", false)
	if n := w.startsIn("north", time.Second); n == 0 {
		t.Error("no tasks were started in the zone that was taken back")
	}
}

// TestEvacuationSurvivesFaults guards against an evacuation that is forgotten or comes late when the store,
// the zone, a host or the commander fails during it.
func TestEvacuationSurvivesFaults(t *testing.T) {
	m := func(w *simulation) *hostMachine { return &hostMachine{w: w} }
	storeAway := func(w *simulation, away bool) {
		for _, h := range w.hosts {
			h.storeCut = away
		}
	}
	for name, fault := range map[string]func(*simulation){
		"store away": func(w *simulation) {
			w.advance(time.Second)
			storeAway(w, true)
			w.hosts[2].kill() // its successor can learn the request only from the others
			w.advance(time.Second)
			w.hosts[2].boot()
		},
		"zone cut off from the store before": func(w *simulation) { w.hosts[0].storeCut, w.hosts[2].storeCut = true, true },
		"zone cut":                           func(w *simulation) { m(w).setZoneCut(true, false) },
		"host restarted":                     func(w *simulation) { w.hosts[2].kill(); w.advance(100 * time.Millisecond); w.hosts[2].boot() },
		"commander lost":                     func(w *simulation) { w.commander("north").kill() },
		"all hosts restarted": func(w *simulation) {
			for _, h := range w.hosts {
				h.kill()
				h.boot()
			}
		},
		"history lost": func(w *simulation) { w.lostHistory = true },
	} {
		t.Run(name, func(t *testing.T) {
			w := newLoadedSimulation()
			w.evacuate("north", true)
			fault(w)
			w.advance(evacuationLimit)
			requireEmpty(t, w, "north", 4*time.Second)
			m(w).heal()
			storeAway(w, false)
			w.evacuate("north", false)
			w.advance(evacuationLimit)
			if n := w.startsIn("north", time.Second); n == 0 {
				t.Error("no tasks were started in the zone that was taken back")
			}
		})
	}
}

// commander returns a host that commands workers of a zone.
func (w *simulation) commander(zone string) *simHost {
	for _, h := range w.hosts {
		if h.state != nil && h.zone == zone && h.state.CellCount() > 0 {
			return h
		}
	}
	return nil
}

// TestQuickEvacuationsEndInNewestState guards against hosts that keep an older state when a zone is evacuated
// and taken back in quick succession, with and without the history.
func TestQuickEvacuationsEndInNewestState(t *testing.T) {
	for _, lost := range []bool{false, true} {
		w := newLoadedSimulation()
		w.lostHistory = lost
		for i := range 7 {
			w.evacuate("north", i%2 == 0)
			w.evacuate("south", i%2 == 1)
			w.advance(70 * time.Millisecond)
		}
		w.advance(time.Second)
		for _, h := range w.hosts {
			for _, zone := range simZones {
				if got := h.state.evacuations.evacuated(zone); got != w.evacuated(zone) {
					t.Errorf("history lost %v: host %s has %s evacuated: %v", lost, h.name, zone, got)
				}
			}
		}
	}
}

// TestOlderEvacuationsChangeNothing guards against an evacuation that comes back from an older view: a stale
// read, a message that was delayed, or a record that has been covered by a newer complete list.
func TestOlderEvacuationsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{}
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			w.evacuate(rapid.SampledFrom(simZones).Draw(t, "zone"), rapid.Bool().Draw(t, "requested"))
		}
		list := func(at int) []fleet.Evacuation {
			past := &simulation{requests: w.requests[:at]}
			return (&simHost{w: past, evacuationsRead: -1}).readEvacuations().Evacuations
		}
		var e evacuations
		reader, newest := 0, 0
		e.replace(0, list(0), 0)
		for range 20 {
			at := rapid.IntRange(0, len(w.requests)).Draw(t, "at")
			if rapid.Bool().Draw(t, "complete") {
				e.replace(0, list(at), int64(at)) // a snapshot or another host's copy
			} else {
				e.apply(0, w.requests[reader:max(reader, at)], int64(max(reader, at)))
				reader = max(reader, at)
			}
			newest = max(newest, at)
			past := &simulation{requests: w.requests[:newest]}
			for _, zone := range simZones {
				if got, want := e.evacuated(zone), past.evacuated(zone); got != want {
					t.Fatalf("%s evacuated: %v, want %v at %d of %v", zone, got, want, newest, w.requests)
				}
			}
		}
	})
}

// TestNothingStartsBeforeEvacuationsAreKnown guards against a commander that has just started and starts tasks
// although its zone may be evacuated.
func TestNothingStartsBeforeEvacuationsAreKnown(t *testing.T) {
	p := newHostPair()
	commander := p.hosts[1]
	commander.opts.AwaitEvacuations = true
	commander.restrictStarts(p.now)
	p.submit(1)
	own := arrivedJob(2)
	own.Spec.ID = "own" // a second submission of one job would wait for the first
	p.step(1, own)
	p.advance(100 * time.Millisecond)
	if p.started != 0 {
		t.Errorf("%d tasks were started", p.started)
	}
	p.step(1, EvacuationsRead{Snapshot: true, End: 1})
	p.submit(3)
	p.advance(100 * time.Millisecond)
	if p.started != 2 { // the commander's own job has waited, the first one was refused
		t.Errorf("%d tasks were started when the evacuations were known, want 2", p.started)
	}
}

// TestClosedZonesRefuseAtOnce guards against callers that wait although no zone can run their job: all zones are
// evacuated, or an evacuated one is cut off.
func TestClosedZonesRefuseAtOnce(t *testing.T) {
	for name, begin := range map[string]func(*hostMachine){
		"all zones": func(m *hostMachine) { m.w.evacuate("south", true) },
		"cut off":   func(m *hostMachine) { m.setZoneCut(true, false) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(3, 1, 2, 0)
			w.advance(3 * time.Second)
			w.evacuate("north", true)
			begin(&hostMachine{w: w})
			w.advance(3 * time.Second)
			j := w.submit(w.hosts[0], 1, 50*time.Millisecond, false)
			w.advance(20 * time.Millisecond)
			if fmt.Sprint(j.outcomes) != fmt.Sprint([]sched.Outcome{sched.Refused}) {
				t.Errorf("outcomes %v %s", j.outcomes, j.reason)
			}
		})
	}
}
