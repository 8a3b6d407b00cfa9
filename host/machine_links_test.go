package host

import (
	"time"

	"pgregory.net/rapid"
)

// This file holds the faults of networks and workers that hostMachine injects.

// endFaultLater runs end after a drawn time.
func (m *hostMachine) endFaultLater(t *rapid.T, end func()) {
	m.w.after(drawTime(t, "for", 50, 5000), end)
}

// cut partitions a host from another one, in one direction or both.
func (m *hostMachine) cut(t *rapid.T) {
	a, b := m.host(t), m.host(t)
	if a == b {
		return
	}
	links := []*simLink{m.w.links[[2]int{a.index, b.index}]}
	if rapid.Bool().Draw(t, "both") {
		links = append(links, m.w.links[[2]int{b.index, a.index}])
	}
	for _, link := range links {
		link.cut = true
	}
	m.endFaultLater(t, func() {
		for _, link := range links {
			link.heal(m.w)
		}
	})
}

// cutHost partitions a host from all others and perhaps from the store.
func (m *hostMachine) cutHost(t *rapid.T) {
	h := m.host(t)
	h.storeCut = rapid.Bool().Draw(t, "store")
	m.setLinks(func(a, b *simHost) bool { return a == h || b == h }, true)
	m.endFaultLater(t, func() {
		h.storeCut = false
		m.setLinks(func(a, b *simHost) bool { return a == h || b == h }, false)
	})
}

// cutZone partitions the zones from each other and perhaps one of them from the store.
func (m *hostMachine) cutZone(t *rapid.T) {
	store := rapid.Bool().Draw(t, "store")
	m.setZoneCut(true, store)
	m.endFaultLater(t, func() { m.setZoneCut(false, false) })
}

func (m *hostMachine) setZoneCut(cut, store bool) {
	m.setLinks(func(a, b *simHost) bool { return a.zone != b.zone }, cut)
	for _, ww := range m.w.workers {
		ww.zoneCut = cut
	}
	for _, h := range m.w.hosts {
		h.storeCut = store && h.zone == simZones[0]
	}
}

// setLinks cuts or heals the links between hosts for which match returns true.
func (m *hostMachine) setLinks(match func(a, b *simHost) bool, cut bool) {
	for _, a := range m.w.hosts {
		for _, b := range m.w.hosts {
			switch link := m.w.links[[2]int{a.index, b.index}]; {
			case a == b || !match(a, b):
			case cut:
				link.cut = true
			default:
				link.heal(m.w)
			}
		}
	}
}

// silence makes an open connection deliver nothing; a new connection works.
func (m *hostMachine) silence(t *rapid.T) {
	if a, b := m.host(t), m.host(t); a != b {
		m.w.links[[2]int{a.index, b.index}].silent = true
	}
}

// disturb makes one worker or all workers lose replies, carry out orders late, or be unreachable.
func (m *hostMachine) disturb(t *rapid.T) {
	workers := []*simWorker{m.worker(t)}
	if rapid.Bool().Draw(t, "all") {
		workers = m.w.workers
	}
	how := rapid.IntRange(0, 2).Draw(t, "how")
	for _, ww := range workers {
		switch how {
		case 0:
			ww.lateShare = 0.4
		case 1:
			ww.lostReplyShare = 0.4
		case 2:
			ww.cut = true
		}
	}
	m.endFaultLater(t, func() {
		for _, ww := range workers {
			ww.lateShare, ww.lostReplyShare, ww.cut = 0, 0, false
		}
	})
}

func (m *hostMachine) restartWorker(t *rapid.T) {
	ww := m.worker(t)
	m.w.restartWorker(ww, drawTime(t, "down", int(minWorkerRestart.Milliseconds()), 3000), 0)
}

// minWorkerRestart is the shortest time in which a worker restarts, as package sched assumes. A worker
// that restarts at once has seen no fencing token while its commander still takes it for the former
// process, so that a rival with a lower token can start tasks beside those of the commander.
const minWorkerRestart = time.Second

// hideWorker removes a worker, or adds it again as a new process. This can change the number of
// cells of its zone.
func (m *hostMachine) hideWorker(t *rapid.T) {
	ww := m.worker(t)
	ww.unlisted = !ww.unlisted
	m.w.restartWorker(ww, minWorkerRestart, 0)
	m.w.publishWorker(ww)
}

func (m *hostMachine) drainWorker(t *rapid.T) {
	ww := m.worker(t)
	ww.info.Draining = !ww.info.Draining
	m.w.publishWorker(ww)
}

// evacuate asks for the evacuation of a zone or withdraws it, and perhaps drops the history of the store.
func (m *hostMachine) evacuate(t *rapid.T) {
	m.w.evacuate(rapid.SampledFrom(simZones).Draw(t, "zone"), rapid.Bool().Draw(t, "requested"))
	m.w.lostHistory = rapid.Bool().Draw(t, "lostHistory")
}

// heal ends all faults of networks and workers.
func (m *hostMachine) heal() {
	m.setZoneCut(false, false)
	m.setLinks(func(*simHost, *simHost) bool { return true }, false)
	for _, ww := range m.w.workers {
		ww.lateShare, ww.lostReplyShare, ww.cut = 0, 0, false
	}
}
