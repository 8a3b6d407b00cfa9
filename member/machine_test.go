package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/member"
)

// settleTime is longer than maxGoneDelay for a zone of 9 hosts, and long enough for the calls
// that end a partition, which go to a random member once in four rounds.
const settleTime = 60 * time.Second

// publishList gives the platform's list to the processes on the side with the platform. A
// lagging list has the entry hosts of the previous list.
func (sim *simulation) publishList(lagging bool) {
	entries := sim.lastListed
	sim.lastListed = nil
	for _, name := range sim.hosts() {
		p := sim.current[name]
		sim.lastListed = append(sim.lastListed, member.ListedHost{Host: p.host, Zone: p.zone, Address: p.address, Incarnation: p.incarnation, Leaving: p.leaving})
	}
	if !lagging {
		entries = sim.lastListed
	}
	for _, p := range sim.processes {
		if sim.partitionSide[p.zone] == 0 && sim.partitionSide[p.host] == 0 {
			sim.handleEvent(p, member.HostList{Entries: slices.Clone(entries), Endpoints: slices.Clone(sim.endpoints)})
		}
	}
}

// machine plays random events in a simulation.
type machine struct {
	sim        *simulation
	movedHosts int // processes started at a new address
}

func (m *machine) drawProcess(t *rapid.T) *process {
	hosts := m.sim.hosts()
	return m.sim.current[hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]]
}

// actions returns the actions of the state machine.
func (m *machine) actions() map[string]func(*rapid.T) {
	sim := m.sim
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			sim.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tickInterval)
		},
		"kill": func(t *rapid.T) {
			host := m.drawProcess(t).host
			for _, p := range sim.processes {
				p.dead = p.dead || p.host == host // replaced processes of the host that still run die too
			}
		},
		"restart": func(t *rapid.T) {
			p := m.drawProcess(t)
			p.dead = true
			sim.run(tickInterval)
			sim.startProcess(p.host, p.zone, p.address, sim.configuredPeers())
		},
		"restart elsewhere": func(t *rapid.T) {
			p := m.drawProcess(t)
			p.dead = true
			delete(sim.byAddress, p.address)
			sim.run(tickInterval)
			m.movedHosts++
			sim.startProcess(p.host, p.zone, fmt.Sprintf("10.9.%d.1:7102", m.movedHosts), sim.configuredPeers())
		},
		"replace a paused one": func(t *rapid.T) {
			p := m.drawProcess(t)
			if p.dead || p.paused {
				return
			}
			p.paused = true
			sim.run(tickInterval)
			m.movedHosts++
			sim.startProcess(p.host, p.zone, fmt.Sprintf("10.9.%d.1:7102", m.movedHosts), sim.configuredPeers())
			sim.run(member.DefaultSuspectTimeout)
			sim.resume(p)
		},
		"pause": func(t *rapid.T) {
			p := m.drawProcess(t)
			p.paused = true
			sim.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "ticks")) * tickInterval)
			sim.resume(p)
		},
		"leave": func(t *rapid.T) {
			if p := m.drawProcess(t); !p.dead && !p.paused {
				p.leaving = true
				sim.apply(p, member.Leave{})
			}
		},
		"partition": func(t *rapid.T) {
			p := m.drawProcess(t)
			sim.partitionSide[rapid.SampledFrom([]string{p.zone, p.host}).Draw(t, "part")] = 1
		},
		"heal": func(*rapid.T) { clear(sim.partitionSide) },
		"network": func(t *rapid.T) {
			sim.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
			sim.randomDelay = rapid.Bool().Draw(t, "delay")
		},
		"refuse": func(t *rapid.T) {
			p := m.drawProcess(t)
			ep := sim.endpoints[rapid.IntRange(0, len(sim.endpoints)-1).Draw(t, "endpoint")]
			if !p.dead && !p.paused {
				sim.marks[member.LeavingMark{Endpoint: ep.ID, Identity: ep.Identity}] = true
				sim.apply(p, member.EndpointLeaving{Endpoint: ep.ID, Identity: ep.Identity})
			}
		},
		"platform list": func(t *rapid.T) {
			// Processes cut off from the platform keep their last list.
			sim.publishList(rapid.Bool().Draw(t, "lagging"))
		},
		"endpoint leaves": func(t *rapid.T) {
			ep := &sim.endpoints[rapid.IntRange(0, len(sim.endpoints)-1).Draw(t, "endpoint")]
			ep.Leaving = true
			sim.marks[member.LeavingMark{Endpoint: ep.ID, Identity: ep.Identity}] = true
			sim.publishList(false)
		},
		"endpoint returns": func(t *rapid.T) {
			ep := &sim.endpoints[rapid.IntRange(0, len(sim.endpoints)-1).Draw(t, "endpoint")]
			ep.Identity, ep.Leaving = fmt.Sprint("run at ", sim.now), false
			sim.publishList(false)
		},
		"": func(t *rapid.T) {
			if sim.failure != "" {
				t.Fatal(sim.failure)
			}
		},
	}
}

// settle ends all faults, waits for settleTime and checks the views. Only marks that a live
// process holds must reach the others: a process that dies right after a refusal may not have
// sent its mark.
func (sim *simulation) settle() {
	clear(sim.partitionSide)
	sim.loss, sim.randomDelay = 0, false
	for _, p := range sim.processes {
		if p.paused {
			sim.resume(p)
		}
	}
	required := sim.heldMarks()
	sim.step = 2 * tickInterval
	sim.publishList(false)
	sim.run(settleTime)
	sim.checkConverged(required)
}

// heldMarks returns the marks that at least one live process holds.
func (sim *simulation) heldMarks() map[member.LeavingMark]bool {
	held := make(map[member.LeavingMark]bool)
	for _, p := range sim.current {
		for _, ep := range p.endpoints {
			if m := (member.LeavingMark{Endpoint: ep.ID, Identity: ep.Identity}); !p.dead && ep.Leaving && sim.marks[m] {
				held[m] = true
			}
		}
	}
	return held
}

// TestViewsConverge guards against views that do not converge, old incarnations that come
// back, lost marks, and messages above the size limit. The faults are loss, delay, partitions,
// restarts and pauses.
func TestViewsConverge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		hosts := rapid.IntRange(zones, 3+2*zones).Draw(t, "hosts")
		m := &machine{sim: newSimulation(rapid.Uint64().Draw(t, "seed"), zones, hosts, "")}
		t.Repeat(m.actions())
		m.sim.settle()
		if m.sim.failure != "" {
			t.Fatal(m.sim.failure)
		}
	})
}
