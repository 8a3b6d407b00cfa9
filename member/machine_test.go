package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/member"
)

// quietTime is long enough for goneBound in a zone of 9 and for the calls that end a
// partition, one in four rounds to a random member.
const quietTime = 60 * time.Second

// publishList gives the platform's list to the processes on the main side. A lagging
// list shows the entry hosts of the last time.
func (w *world) publishList(lagging bool) {
	entries := w.entries
	w.entries = nil
	for _, name := range w.hosts() {
		p := w.current[name]
		w.entries = append(w.entries, member.Listed{Host: p.host, Zone: p.zone, Address: p.address, Incarnation: p.inc, Leaving: p.leaving})
	}
	if !lagging {
		entries = w.entries
	}
	for _, p := range w.procs {
		if w.cut[p.zone] == 0 && w.cut[p.host] == 0 {
			w.hand(p, member.HostList{Entries: slices.Clone(entries), Endpoints: slices.Clone(w.endpoints)})
		}
	}
}

type machine struct {
	w     *world
	moves int
}

func (m *machine) draw(t *rapid.T) *process {
	hosts := m.w.hosts()
	return m.w.current[hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]]
}

// actions are the steps of the state machine.
func (m *machine) actions() map[string]func(*rapid.T) {
	w := m.w
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
		},
		"kill": func(t *rapid.T) {
			host := m.draw(t).host
			for _, p := range w.procs {
				p.dead = p.dead || p.host == host // also replaced ones that still run
			}
		},
		"restart": func(t *rapid.T) {
			p := m.draw(t)
			p.dead = true
			w.run(tick)
			w.startProcess(p.host, p.zone, p.address, w.peersOf())
		},
		"restart elsewhere": func(t *rapid.T) {
			p := m.draw(t)
			p.dead = true
			delete(w.byAddress, p.address)
			w.run(tick)
			m.moves++
			w.startProcess(p.host, p.zone, fmt.Sprintf("10.9.%d.1:7102", m.moves), w.peersOf())
		},
		"replace a paused one": func(t *rapid.T) {
			p := m.draw(t)
			if p.dead || p.paused {
				return
			}
			p.paused = true
			w.run(tick)
			m.moves++
			w.startProcess(p.host, p.zone, fmt.Sprintf("10.9.%d.1:7102", m.moves), w.peersOf())
			w.run(member.DefaultSuspectFor)
			w.resume(p)
		},
		"pause": func(t *rapid.T) {
			p := m.draw(t)
			p.paused = true
			w.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "ticks")) * tick)
			w.resume(p)
		},
		"leave": func(t *rapid.T) {
			if p := m.draw(t); !p.dead && !p.paused {
				p.leaving = true
				w.apply(p, member.Leave{})
			}
		},
		"partition": func(t *rapid.T) {
			p := m.draw(t)
			w.cut[rapid.SampledFrom([]string{p.zone, p.host}).Draw(t, "part")] = 1
		},
		"heal": func(*rapid.T) { clear(w.cut) },
		"network": func(t *rapid.T) {
			w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
			w.delay = rapid.Bool().Draw(t, "delay")
		},
		"refuse": func(t *rapid.T) {
			p := m.draw(t)
			ep := w.endpoints[rapid.IntRange(0, len(w.endpoints)-1).Draw(t, "endpoint")]
			if !p.dead && !p.paused {
				w.marks[member.Mark{Endpoint: ep.ID, Identity: ep.Identity}] = true
				w.apply(p, member.EndpointLeaving{Endpoint: ep.ID, Identity: ep.Identity})
			}
		},
		"platform list": func(t *rapid.T) {
			// Zones that are cut off keep their last list.
			w.publishList(rapid.Bool().Draw(t, "lagging"))
		},
		"endpoint leaves": func(t *rapid.T) {
			ep := &w.endpoints[rapid.IntRange(0, len(w.endpoints)-1).Draw(t, "endpoint")]
			ep.Leaving = true
			w.marks[member.Mark{Endpoint: ep.ID, Identity: ep.Identity}] = true
			w.publishList(false)
		},
		"endpoint returns": func(t *rapid.T) {
			ep := &w.endpoints[rapid.IntRange(0, len(w.endpoints)-1).Draw(t, "endpoint")]
			ep.Identity, ep.Leaving = fmt.Sprint("run at ", w.now), false
			w.publishList(false)
		},
		"": func(t *rapid.T) {
			if w.problem != "" {
				t.Fatal(w.problem)
			}
		},
	}
}

// settle ends all faults, waits and compares. Marks count if a live process still
// holds them: a process that dies at once takes its observation along.
func (w *world) settle() {
	clear(w.cut)
	w.loss, w.delay = 0, false
	for _, p := range w.procs {
		if p.paused {
			w.resume(p)
		}
	}
	held := w.heldMarks()
	w.tick = 2 * tick
	w.publishList(false)
	w.run(quietTime)
	w.checkQuiet(held)
}

func (w *world) heldMarks() map[member.Mark]bool {
	held := make(map[member.Mark]bool)
	for _, p := range w.current {
		for _, ep := range p.eps {
			if m := (member.Mark{Endpoint: ep.ID, Identity: ep.Identity}); !p.dead && ep.Leaving && w.marks[m] {
				held[m] = true
			}
		}
	}
	return held
}

// Guards against views that do not converge, old incarnations that come back, marks that
// are lost, and messages above the bound, under loss, delay, partitions, restarts and
// pauses.
func TestViewsConverge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		hosts := rapid.IntRange(zones, 3+2*zones).Draw(t, "hosts")
		m := &machine{w: newWorld(rapid.Uint64().Draw(t, "seed"), zones, hosts, "")}
		t.Repeat(m.actions())
		m.w.settle()
		if m.w.problem != "" {
			t.Fatal(m.w.problem)
		}
	})
}
