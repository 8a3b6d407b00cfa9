package member_test

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/member"
	"sesameledge.dev/sesameledge/place"
)

// scenario is a sequence of events whose outcome depends on one mechanism of the state machine.
type scenario struct {
	mechanism member.Mechanism
	run       func(sim *simulation)
}

var scenarios = []scenario{
	{"suspect", func(sim *simulation) { // a member dies
		sim.current["zone-00-1"].dead = true
	}},
	{"refute", func(sim *simulation) { // a member is paused and suspected
		p := sim.current["zone-00-1"]
		p.paused = true
		sim.run(3 * time.Second)
		sim.resume(p)
	}},
	{"revive", func(sim *simulation) { // a member is cut off until the others see it as gone
		sim.partitionSide["zone-00-1"] = 1
		sim.run(15 * time.Second)
	}},
	{"subset", func(sim *simulation) { // all rumors of a mark are lost
		sim.partitionSide["zone-00-1"] = 1
		sim.refuseAsLeaving("zone-00-1", 0)
		sim.run(15 * time.Second)
	}},
	{"mark", func(sim *simulation) { // only one host sees a refusal
		sim.refuseAsLeaving("zone-00-1", 0)
	}},
	{"retire", func(sim *simulation) { // the wall clock goes back, and a replaced process still runs
		old := sim.current["zone-00-1"]
		sim.clockLag = time.Hour
		sim.startProcess(old.host, old.zone, old.address, sim.configuredPeers())
		sim.run(5 * time.Second)
		for range 2 { // a refutation raises its heartbeat above that of the new process
			suspicion := old.self(sim)
			suspicion.Status = member.Suspect
			sim.apply(old, member.Received{Message: member.Message{Members: []member.Record{suspicion}}})
		}
		for _, to := range sim.processes {
			if to != old {
				sim.apply(to, member.Received{Message: member.Message{From: old.self(sim)}})
			}
		}
	}},
	{"bound", func(sim *simulation) { // many marks are set at once
		for i := range 40 {
			sim.endpoints = append(sim.endpoints, place.Endpoint{ID: place.EndpointID(fmt.Sprint("more-", i)), Identity: "first"})
			sim.refuseAsLeaving("zone-00-1", len(sim.endpoints)-1)
		}
		sim.publishList(false)
	}},
}

// refuseAsLeaving has a host see the n-th endpoint refuse work because it is leaving.
func (sim *simulation) refuseAsLeaving(host string, n int) {
	ep := sim.endpoints[n]
	sim.marks[member.LeavingMark{Endpoint: ep.ID, Identity: ep.Identity}] = true
	sim.apply(sim.current[host], member.EndpointLeaving{Endpoint: ep.ID, Identity: ep.Identity})
}

// self returns the record that a process has of itself.
func (p *process) self(sim *simulation) member.Record {
	for _, v := range p.state.Members(sim.processTime(p)) {
		if v.Self {
			return v.Record
		}
	}
	panic("a view does not hold its own process")
}

// TestOracleDetectsDisabledMechanisms guards against an oracle that detects no fault: each
// scenario passes with all mechanisms and fails when the one that it depends on is off.
func TestOracleDetectsDisabledMechanisms(t *testing.T) {
	t.Parallel()
	for _, sc := range scenarios {
		for _, disabled := range []member.Mechanism{"", sc.mechanism} {
			sim := newSimulation(1, 1, 3, disabled)
			sim.run(5 * time.Second)
			sc.run(sim)
			sim.settle()
			switch {
			case disabled == "" && sim.failure != "":
				t.Errorf("%s: with all mechanisms: %s", sc.mechanism, sim.failure)
			case disabled != "" && sim.failure == "":
				t.Errorf("%s: switched off, but the oracle detected nothing", sc.mechanism)
			case disabled != "":
				t.Logf("%s switched off: %s", disabled, sim.failure)
			}
		}
	}
}
