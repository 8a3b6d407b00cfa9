package sched

import (
	"fmt"
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// slowPool drives the scheduler with one worker whose answers to starts the test gives itself.
type slowPool struct {
	s        *State
	now      time.Duration
	starts   []StartRun
	stops    []StopRun
	outcomes []Outcome
}

func newSlowPool() *slowPool {
	p := &slowPool{s: New(0), now: time.Minute - settleTime}
	info := fleet.Worker{ID: "w0", Service: "s", Zone: "z", Capacity: fleet.Resources{CPU: 64000, Memory: 1000}}
	p.step(UpdateWorkers{Workers: []fleet.Worker{info}})
	p.step(TakeWorker{Worker: "w0", Cell: "z", Fence: 1})
	p.now = time.Minute
	p.step(Tick{})
	return p
}

// step applies an event. Holds without a wait are answered at once, with no runs.
func (p *slowPool) step(ev Event) {
	stepSeen(p.s, p.now, ev, 0)
	p.s.Place(p.now)
	for _, e := range p.s.Ready() {
		switch e := e.(type) {
		case StartRun:
			p.starts = append(p.starts, e)
		case StopRun:
			p.stops = append(p.stops, e)
		case JobFinished:
			p.outcomes = append(p.outcomes, e.Outcome)
		case HoldWorker:
			if e.Order.WaitMillis == 0 {
				reply := fleet.HoldReply{Reply: p.accepted()}
				p.step(HoldReply{Worker: "w0", Seq: e.Seq, Sent: p.now, Fence: e.Order.Fence, Reply: reply})
			}
		}
	}
}

func (p *slowPool) accepted() fleet.Reply {
	return fleet.Reply{Verdict: fleet.Accepted, ClockMillis: p.now.Milliseconds(), ProcessStart: 1}
}

func (p *slowPool) submit(seq uint64) {
	p.step(Submit{Job: Job{
		Key: JobKey{Host: 1, Seq: seq}, Cell: "z", Left: 10 * time.Second,
		Spec:  fleet.JobSpec{ID: fmt.Sprintf("job%d", seq), Tasks: 1, Need: fleet.Resources{CPU: 1000, Memory: 1}, Estimate: time.Second},
		Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, SlackFactor: 1.6, ObjectiveOffset: 5 * time.Second},
	}})
}

// startReply returns the answer to a start that was sent at a time; verdict NoAnswer stands for none.
func (p *slowPool) startReply(e StartRun, sent time.Duration, reply fleet.Reply) StartReply {
	return StartReply{Worker: "w0", Run: e.Order.Run, Sent: sent, Fence: e.Order.Fence, Reply: reply}
}

// TestSlowAnswersRaiseTimeout guards against starts that are given up and stopped while every answer
// is slow, as on a link with a queue: the time that answers take becomes the time to wait for them.
func TestSlowAnswersRaiseTimeout(t *testing.T) {
	p := newSlowPool()
	for seq := uint64(1); seq <= 10; seq++ {
		p.submit(seq)
		e := p.starts[len(p.starts)-1]
		sent := p.now
		p.now += 200 * time.Millisecond
		p.step(p.startReply(e, sent, p.accepted()))
	}
	p.submit(11)
	if got := p.starts[len(p.starts)-1].Timeout; got <= 200*time.Millisecond || got > maxCallTimeout {
		t.Errorf("timeout after slow answers is %v, want it above 200 ms and at most %v", got, maxCallTimeout)
	}
}

// TestLateAnswerConfirmsRun guards against a run that is stopped, or started a second time, after its
// worker has accepted it late.
func TestLateAnswerConfirmsRun(t *testing.T) {
	p := newSlowPool()
	p.submit(1)
	e, sent := p.starts[0], p.now
	p.now += minOrderTimeout - 20*time.Millisecond
	p.step(p.startReply(e, sent, p.accepted()))
	p.now += 20 * time.Millisecond
	p.step(p.startReply(e, sent, fleet.Reply{})) // the timer was faster than the event queue
	p.now += unansweredStartTimeout + maxCallTimeout
	p.step(Tick{})
	if len(p.starts) != 1 || len(p.stops) != 0 {
		t.Errorf("%d starts and %d stops, want 1 and 0", len(p.starts), len(p.stops))
	}
}

// TestOldAnswerDoesNotDateClock guards against a lease that is reckoned from a reading of the worker's
// clock which waited in a suspended process: the worker may have another process by now, whose clock
// began anew, and would carry out an order long after its sender has given it up.
func TestOldAnswerDoesNotDateClock(t *testing.T) {
	p := newSlowPool()
	w := p.s.workers["w0"]
	p.step(StopReply{Worker: "w0", Sent: p.now, Reply: p.accepted()})
	before := w.lastClockAt
	sent, reply := p.now, p.accepted()
	p.now += 5 * time.Second
	p.step(StopReply{Worker: "w0", Sent: sent, Reply: reply})
	if w.lastClockAt != before || !w.clockStale(p.now) {
		t.Errorf("a reading of %v ago counts as new", p.now-sent)
	}
}

// TestRefusalOfOldTokenKeepsWorker guards against giving up a worker because it refused an order with
// an earlier fencing token of this same host.
func TestRefusalOfOldTokenKeepsWorker(t *testing.T) {
	p := newSlowPool()
	p.step(TakeWorker{Worker: "w0", Cell: "z", Fence: 5})
	p.step(StopReply{Worker: "w0", Sent: p.now, Fence: 1, Reply: fleet.Reply{Verdict: fleet.Fenced}})
	if !p.s.Commands("w0") {
		t.Error("the worker was given up after the refusal of a former token")
	}
	p.step(StopReply{Worker: "w0", Sent: p.now, Fence: 5, Reply: fleet.Reply{Verdict: fleet.Fenced}})
	if p.s.Commands("w0") {
		t.Error("the worker is kept after it refused the current token")
	}
}
