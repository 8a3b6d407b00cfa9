package host

import (
	"time"

	"pgregory.net/rapid"
)

// This file holds the faults of hosts that hostMachine injects.

// restart kills the process of a host and starts a new one after the time down.
func (m *hostMachine) restart(h *simHost, down time.Duration) {
	h.kill()
	process := h.processCount
	m.w.after(down, func() {
		if h.processCount == process {
			h.boot()
		}
	})
}

func (m *hostMachine) kill(t *rapid.T) {
	m.restart(m.host(t), bootTime+drawTime(t, "down", 0, 2000))
}

func (m *hostMachine) killAll(t *rapid.T) {
	down := bootTime + drawTime(t, "down", 0, 2000)
	for _, h := range m.w.hosts {
		m.restart(h, down)
	}
}

// freeze suspends a process.
func (m *hostMachine) freeze(t *rapid.T) {
	if h := m.host(t); h.state != nil && !h.frozen {
		m.freezeHost(t, h, drawTime(t, "for", 50, 4000))
	}
}

// freezeWithCallers suspends a process soon after jobs have arrived there, whose callers leave during the pause and
// send their jobs again.
func (m *hostMachine) freezeWithCallers(t *rapid.T) {
	h := m.host(t)
	if h.state == nil || h.frozen {
		return
	}
	for range rapid.IntRange(1, 4).Draw(t, "jobs") {
		m.w.submit(h, rapid.IntRange(1, 4).Draw(t, "tasks"), drawTime(t, "takes", 300, 2500), false)
	}
	m.w.advance(drawTime(t, "before", 5, 300))
	if h.state == nil || h.frozen {
		return
	}
	process, last := h.processCount, h.seq
	m.w.after(drawTime(t, "stay", 0, 400), func() {
		for seq := last; seq > 0 && h.processCount == process; seq-- {
			h.closeConnection(seq, true)
		}
	})
	m.freezeHost(t, h, drawTime(t, "for", 200, 2500))
}

// freezeHost suspends a process, possibly between its decisions and their effects, or after a look at its callers on
// which its first steps after the pause rest.
func (m *hostMachine) freezeHost(t *rapid.T, h *simHost, lasts time.Duration) {
	if rapid.Bool().Draw(t, "between") {
		h.stalled = true
	} else {
		h.frozen = true
	}
	process := h.processCount
	if rapid.Bool().Draw(t, "blind") {
		h.blindUntil = m.w.now + lasts + drawTime(t, "blindFor", 0, 100)
	}
	m.w.after(lasts, func() {
		if h.processCount == process {
			h.wake()
		}
	})
}

// drain stops a process as the platform does: it asks first, and kills the process after the grace
// period.
func (m *hostMachine) drain(t *rapid.T) {
	h := m.host(t)
	if h.state == nil || h.draining {
		return
	}
	h.draining = true
	life := h.life
	h.deliver(h.processCount, Drain{})
	deadline := m.w.now + 6*time.Second
	var poll func()
	poll = func() {
		switch {
		case h.life != life:
		case m.w.now >= deadline || !h.frozen && h.state.OpenJobs() == 0 && h.state.CellCount() == 0:
			m.restart(h, bootTime)
		default:
			m.w.after(20*time.Millisecond, poll)
		}
	}
	m.w.after(20*time.Millisecond, poll)
}
