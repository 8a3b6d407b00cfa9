package sched

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// refusedReply is the reply to a call that was not sent, because the worker's address refused the connection.
var refusedReply = fleet.Reply{Refused: true}

// TestRefusedCallsGrantNoLease guards against runs of a crashed worker that count as running for as long as
// its address refuses the holds that would extend their lease.
func TestRefusedCallsGrantNoLease(t *testing.T) {
	p := newTestPool(64)
	p.now += 500 * time.Millisecond
	p.submit(1, "r", 1, time.Second)
	w := p.s.workers["w0"]
	bound := w.leaseEndBound
	p.crash("w0")
	for p.now < bound+3*time.Second && len(w.runs) > 0 {
		p.pass(25 * time.Millisecond)
	}
	if late := p.now - p.s.timing.RunOver(bound); late > 25*time.Millisecond {
		t.Errorf("the run counted as running until %v after it was over, want a tick at most", late)
	}
}

// crash ends the process of a worker: its open hold ends without an answer, and its address refuses
// connections.
func (p *testPool) crash(id string) {
	p.crashed[id] = true
	clear(p.running[id])
	if w := p.s.workers[id]; w.holdOpen {
		p.step(HoldReply{Worker: id, Seq: w.holdSeq, Sent: p.now})
	}
}

// TestRefusedStartIsNotARun guards against a task that waits for the end of a lease although its start was
// never sent.
func TestRefusedStartIsNotARun(t *testing.T) {
	p := newSlowPool()
	p.now += 500 * time.Millisecond
	p.submit(1)
	bound := p.s.workers["w0"].leaseEndBound
	p.now += time.Millisecond
	p.step(p.startReply(p.starts[0], p.now-time.Millisecond, refusedReply))
	if w := p.s.workers["w0"]; len(w.runs) != 0 || w.leaseEndBound >= bound {
		t.Errorf("%d runs and a lease of %v after a start that was not sent, want none", len(w.runs), w.leaseEndBound-p.now)
	}
}
