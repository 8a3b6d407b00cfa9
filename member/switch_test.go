package member_test

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/place"
)

// scenario is a history that needs one mechanism of the reducer.
type scenario struct {
	off member.SwitchOff
	run func(w *world)
}

var scenarios = []scenario{
	{"suspect", func(w *world) { // a member that dies
		w.current["zone-00-1"].dead = true
	}},
	{"refute", func(w *world) { // a member that is paused and suspected
		p := w.current["zone-00-1"]
		p.paused = true
		w.run(3 * time.Second)
		w.resume(p)
	}},
	{"revive", func(w *world) { // a member that is cut off until it is taken for gone
		w.cut["zone-00-1"] = 1
		w.run(15 * time.Second)
	}},
	{"subset", func(w *world) { // a mark whose rumors are all lost
		w.cut["zone-00-1"] = 1
		w.refuse("zone-00-1", 0)
		w.run(15 * time.Second)
	}},
	{"mark", func(w *world) { // a refusal seen by one host
		w.refuse("zone-00-1", 0)
	}},
	{"retire", func(w *world) { // a replaced process that still runs, after its clock went back
		old := w.current["zone-00-1"]
		w.clockBack = time.Hour
		w.startProcess(old.host, old.zone, old.address, w.peersOf())
		w.run(5 * time.Second)
		for range 2 { // raises its heartbeat above that of the new process
			suspicion := old.self(w)
			suspicion.Status = member.Suspect
			w.apply(old, member.Received{Message: member.Message{Members: []member.Record{suspicion}}})
		}
		for _, to := range w.procs {
			if to != old {
				w.apply(to, member.Received{Message: member.Message{From: old.self(w)}})
			}
		}
	}},
	{"bound", func(w *world) { // many marks at once
		for i := range 40 {
			w.endpoints = append(w.endpoints, place.Endpoint{ID: place.EndpointID(fmt.Sprint("more-", i)), Identity: "first"})
			w.refuse("zone-00-1", len(w.endpoints)-1)
		}
		w.publishList(false)
	}},
}

func (w *world) refuse(host string, n int) {
	ep := w.endpoints[n]
	w.marks[member.Mark{Endpoint: ep.ID, Identity: ep.Identity}] = true
	w.apply(w.current[host], member.EndpointLeaving{Endpoint: ep.ID, Identity: ep.Identity})
}

// self returns the record that a process sends of itself.
func (p *process) self(w *world) member.Record {
	for _, v := range p.state.Members(w.processTime(p)) {
		if v.Self {
			return v.Record
		}
	}
	panic("a view does not hold its own process")
}

// Guards against an oracle that notices nothing: each history passes with all mechanisms
// and fails when the one it needs is switched off.
func TestOracleNoticesEachMechanism(t *testing.T) {
	t.Parallel()
	for _, sc := range scenarios {
		for _, off := range []member.SwitchOff{"", sc.off} {
			w := newWorld(1, 1, 3, off)
			w.run(5 * time.Second)
			sc.run(w)
			w.settle()
			switch {
			case off == "" && w.problem != "":
				t.Errorf("%s: with all mechanisms: %s", sc.off, w.problem)
			case off != "" && w.problem == "":
				t.Errorf("%s: switched off, but the oracle noticed nothing", sc.off)
			case off != "":
				t.Logf("%s switched off: %s", off, w.problem)
			}
		}
	}
}
