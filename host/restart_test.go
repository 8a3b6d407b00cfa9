package host

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/sched"
)

// replaceState replaces the state of a process as package entry does after a panic. What is under way to
// the former state is lost.
func (h *simHost) replaceState() {
	if h.state == nil || h.frozen {
		return
	}
	w := h.w
	w.nextID++
	h.processCount++
	h.state = h.state.Successor(w.nextID, h.clock())
	for seq := range h.seq + 1 {
		if h.open[seq] != nil {
			h.answered(Answer{Seq: seq, Outcome: sched.Aborted})
		}
	}
	process := h.processCount
	w.after(simLatency, func() { h.tick(process) })
	w.after(5*simLatency, func() { h.readStore(process) })
}

// replaceState replaces the state of a host.
func (m *hostMachine) replaceState(t *rapid.T) { m.host(t).replaceState() }

// TestSuccessorGivesUpPermissions guards against a state after a panic that goes on to command workers or
// to count on contacts, and against one that has forgotten what cannot be read again at once.
func TestSuccessorGivesUpPermissions(t *testing.T) {
	p := newHostPair()
	p.submit(1)
	p.advance(50 * time.Millisecond)
	old := p.hosts[1]
	s := old.Successor(77, p.now)
	if s.CellCount() != 0 || s.OpenJobs() != 0 || s.sched.Commands("w") || s.opts.Self.ID != 77 {
		t.Errorf("the new state has %d cells and %d jobs", s.CellCount(), s.OpenJobs())
	}
	if s.config == nil || len(s.workers) != len(old.workers) || s.maxFence != old.maxFence || len(s.peers) != len(old.peers) {
		t.Error("what was read is lost")
	}
	for _, peer := range s.sortedPeers {
		if peer.live {
			t.Errorf("the new state has contact with %s", peer.info.GetAddr())
		}
	}
	if fence := s.newFence(p.now); fence <= old.maxFence {
		t.Errorf("the token %d is not above %d", fence, old.maxFence)
	}
	p.hosts[1] = s
	p.advance(3 * time.Second)
	if len(p.answers) != 1 || p.answers[0].Outcome != sched.Aborted {
		t.Errorf("the job of the other host came to %+v, want aborted", p.answers)
	}
	p.submit(2)
	p.advance(100 * time.Millisecond)
	if p.started != 2 {
		t.Errorf("%d tasks were started, want one of each job", p.started)
	}
}

// TestSuccessorWithoutEntries guards against an entry that makes each new state fail too.
func TestSuccessorWithoutEntries(t *testing.T) {
	p := newHostPair()
	old := p.hosts[1]
	old.opts.Decode.Worker = nil
	if s := old.Successor(77, p.now); s == nil || len(s.workers) != 0 || s.config == nil {
		t.Error("want a state without entries")
	}
}
