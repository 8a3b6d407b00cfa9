package host

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWokenHostStartsNothingForCallersThatLeft guards against a host that was paused and that starts tasks for own
// callers, or extends the leases of their runs, before it has found out that they left during the pause. Their jobs
// run on other hosts by then.
func TestWokenHostStartsNothingForCallersThatLeft(t *testing.T) {
	resent := 0
	for seed := range uint64(40) {
		w := newSimulation(seed, 1, 8, 100)
		w.estimate, w.patience = 900*time.Millisecond, 4*time.Second
		w.advance(2*time.Second + time.Duration(w.rng.Int64N(int64(100*time.Millisecond))))
		h := w.hosts[seed%2]
		for range 6 {
			w.submit(h, 4, 900*time.Millisecond, false)
		}
		w.advance(40 * time.Millisecond)
		h.frozen = true
		w.advance(20 * time.Millisecond)
		for seq := range h.seq / 2 {
			h.closeConnection(seq, true)
		}
		pause := 1350*time.Millisecond + time.Duration(w.rng.Int64N(int64(500*time.Millisecond)))
		w.after(pause, h.wake)
		h.blindUntil = w.now + pause + time.Duration(w.rng.Int64N(int64(maxNoticeDelay)))
		resent += w.playOut(t, seed)
	}
	if resent < 40 {
		t.Errorf("%d jobs were sent again; the test shows nothing", resent)
	}
}

// TestLateStopsOfPausedHost guards against a host that was paused for less than the contact timeout and that tells the
// commander of a cell with its next frames that it wants all its jobs, before it has looked at its callers.
func TestLateStopsOfPausedHost(t *testing.T) {
	lateStops(t, func(m *hostMachine, h *simHost) {
		const pause, blind = 300 * time.Millisecond, 300 * time.Millisecond
		h.frozen = true
		h.leaveAll()
		notices := h.inbox
		h.inbox = nil
		h.blindUntil = m.w.now + pause + blind
		m.w.after(pause, h.wake)
		m.w.after(pause+blind, func() { h.step(notices...) })
	})
}

// TestPausesMachine checks the guarantees of entry hosts under pauses of zones with one host each, whose callers leave
// and send their jobs to the other zone. A zone with a second host hides what a host does as it wakes up: the other one
// has taken its workers.
func TestPausesMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &hostMachine{w: newSimulation(rapid.Uint64().Draw(t, "seed"), 1, 4, 100)}
		m.w.advance(2 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"submit":        m.submit,
			"leave":         m.leave,
			"freeze":        m.fault(m.freeze),
			"freezeCallers": m.fault(m.freezeWithCallers),
			"pass":          func(t *rapid.T) { m.w.advance(drawTime(t, "ms", 1, 100)) },
			"passLong":      func(t *rapid.T) { m.w.advance(drawTime(t, "ms", 100, 1500)) },
			"":              m.check,
		})
		m.recover(t)
	})
}
