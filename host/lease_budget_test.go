package host

import (
	"testing"
	"time"
)

// lateStops plays a deployment whose workers carry out all stops late and answer none, beside a fault.
// Callers send their jobs again callerResendDelay after their connections broke, to any host. The
// simulation fails if a task then runs twice at the same time.
func lateStops(t *testing.T, fault func(m *hostMachine, h *simHost)) {
	t.Helper()
	resent := 0
	for seed := range uint64(40) {
		w := newSimulation(seed, 3, 8, 100)
		w.estimate, w.patience = 4*time.Second, 10*time.Second
		for _, ww := range w.workers {
			ww.lateStopShare = 1
		}
		w.advance(2*time.Second + time.Duration(w.rng.Int64N(int64(100*time.Millisecond))))
		for _, h := range w.hosts {
			w.submit(h, 1+w.rng.IntN(2), 4*time.Second, false)
		}
		w.advance(300 * time.Millisecond)
		h := w.killable()
		for range 20 + w.rng.IntN(10) { // each sends a frame, so that the contact is fresh
			w.submit(h, 1, 15*time.Millisecond, false)
			w.advance(20*time.Millisecond + time.Duration(w.rng.Int64N(int64(5*time.Millisecond))))
		}
		fault(&hostMachine{w: w}, h)
		resent += w.playOut(t, seed)
	}
	if resent < 40 {
		t.Errorf("%d jobs were sent again; the test shows nothing", resent)
	}
}

// playOut checks the simulation of a seed until its second 8. It returns how often jobs were sent again.
func (w *simulation) playOut(t *testing.T, seed uint64) (resent int) {
	t.Helper()
	for w.now < time.Hour+8*time.Second && w.failure == nil {
		w.advance(5 * time.Millisecond)
		w.check()
	}
	if w.failure != nil {
		t.Fatalf("seed %d: %v", seed, w.failure)
	}
	for _, j := range w.jobs {
		resent += j.resends
	}
	return resent
}

// killable returns a host with jobs of callers that commands no cell.
func (w *simulation) killable() *simHost {
	for _, h := range w.hosts {
		if h.state.CellCount() == 0 && len(h.open) > 0 {
			return h
		}
	}
	return nil
}

// TestLateStopsAfterLostHost guards against a run that outlasts the time after which its caller sends the
// job again: the time to notice a lost host, to give up a stop and for the lease to lapse on a clock 2%
// slow.
func TestLateStopsAfterLostHost(t *testing.T) {
	lateStops(t, func(_ *hostMachine, h *simHost) { h.kill() })
}

// TestLateStopsAfterRestart guards against the same where a new process replaces the lost one.
func TestLateStopsAfterRestart(t *testing.T) {
	lateStops(t, func(m *hostMachine, h *simHost) { m.restart(h, 300*time.Millisecond) })
}

// linksOf returns the links from a host to the others.
func (m *hostMachine) linksOf(h *simHost) []*simLink {
	var links []*simLink
	for _, o := range m.w.hosts {
		if o != h {
			links = append(links, m.w.links[[2]int{h.index, o.index}])
		}
	}
	return links
}

// leaveAll closes the connections of all callers of a host, who send their jobs again.
func (h *simHost) leaveAll() {
	for seq := range h.seq + 1 {
		h.closeConnection(seq, true)
	}
}

// TestLateStopsOfDelayedCancellation guards against the same where the callers' connections break and
// the frames with the cancellations are under way for nearly as long as a contact may be old.
func TestLateStopsOfDelayedCancellation(t *testing.T) {
	lateStops(t, func(m *hostMachine, h *simHost) {
		for _, link := range m.linksOf(h) {
			link.cut = true
			m.w.after(435*time.Millisecond, func() { link.heal(m.w) })
		}
		h.leaveAll()
	})
}

// leaveUnnoticed breaks the connections of all callers of a host, who send their jobs again. The host finds
// that out after a delay.
func (h *simHost) leaveUnnoticed(delay time.Duration) {
	for seq := range h.seq + 1 {
		h.breakConnection(seq, true, func(notice func()) { h.w.after(delay, notice) })
	}
}

// TestLateStopsOfCallersNoticedLate guards against the same where the host is so short of processor time
// that it finds out late that its callers have left, and the frames with the cancellations are delayed, too.
func TestLateStopsOfCallersNoticedLate(t *testing.T) {
	lateStops(t, func(m *hostMachine, h *simHost) {
		const noticed = 200 * time.Millisecond
		h.leaveUnnoticed(noticed)
		for range 19 { // each job sends a frame, so that the contact is fresh
			m.w.submit(h, 1, 15*time.Millisecond, false)
			m.w.advance(10 * time.Millisecond)
		}
		for _, link := range m.linksOf(h) {
			link.cut = true
			m.w.after(445*time.Millisecond, func() { link.heal(m.w) })
		}
	})
}

// TestLateStopsOfLostCancellation guards against the same where the frames with the cancellations are
// lost twice, other frames still arrive meanwhile, and then the host is cut off.
func TestLateStopsOfLostCancellation(t *testing.T) {
	lateStops(t, func(m *hostMachine, h *simHost) {
		setCut := func(cut bool) {
			for _, link := range m.linksOf(h) {
				link.held, link.cut = nil, cut
			}
		}
		setCut(true)
		h.leaveAll()
		for i := range 39 {
			setCut(i == 20 || i == 21) // when unacknowledged messages are sent again
			m.w.submit(h, 1, 15*time.Millisecond, false)
			m.w.advance(10 * time.Millisecond)
		}
		setCut(true)
		m.w.after(4*time.Second, func() { setCut(false) })
	})
}
