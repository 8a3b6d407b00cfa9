package sched

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// widePool is a scheduler with workers whose answers to starts and stops the test gives.
type widePool struct {
	t      *testing.T
	s      *State
	now    time.Duration
	starts map[fleet.RunKey]StartRun // unanswered
	stops  map[fleet.RunKey]StopRun  // unanswered
	ended  []JobFinished
}

func newWidePool(t *testing.T, workers ...string) *widePool {
	p := &widePool{t: t, s: New(0), now: time.Minute - settleTime, starts: make(map[fleet.RunKey]StartRun), stops: make(map[fleet.RunKey]StopRun)}
	var list []fleet.Worker
	for _, id := range workers {
		list = append(list, fleet.Worker{ID: id, Service: "s", Zone: "z", Capacity: fleet.Resources{CPU: 64000, Memory: 100000}})
	}
	p.step(UpdateWorkers{Workers: list})
	for _, id := range workers {
		p.step(TakeWorker{Worker: id, Cell: "z", Fence: 1})
	}
	p.now = time.Minute
	p.step(Tick{})
	return p
}

func (p *widePool) accepted() fleet.Reply {
	return fleet.Reply{Verdict: fleet.Accepted, ClockMillis: p.now.Milliseconds(), ProcessStart: 1}
}

// step applies an event, and checks how many calls to each worker are open then. Holds without a wait are answered at
// once.
func (p *widePool) step(ev Event) {
	p.t.Helper()
	stepSeen(p.s, p.now, ev, 0)
	p.s.Place(p.now)
	for _, e := range p.s.Ready() {
		switch e := e.(type) {
		case StartRun:
			p.starts[e.Order.Run] = e
		case StopRun:
			p.stops[e.Order.Run] = e
		case JobFinished:
			p.ended = append(p.ended, e)
		case HoldWorker:
			if e.Order.WaitMillis == 0 {
				p.step(HoldReply{Worker: e.Worker.ID, Seq: e.Seq, Sent: p.now, Fence: 1, Reply: fleet.HoldReply{Reply: p.accepted()}})
			}
		}
	}
	open := make(map[string]openOrders)
	for _, e := range p.starts {
		o := open[e.Worker.ID]
		o.starts++
		open[e.Worker.ID] = o
	}
	for _, e := range p.stops {
		o := open[e.Worker.ID]
		o.stops++
		open[e.Worker.ID] = o
	}
	for id, o := range open {
		if o.starts > maxOpenOrders || o.stops > maxOpenOrders {
			p.t.Fatalf("%s has %d open starts and %d open stops, want %d at most", id, o.starts, o.stops, maxOpenOrders)
		}
	}
}

// answerStarts accepts the open starts and returns their number.
func (p *widePool) answerStarts() int {
	n := 0
	for key, e := range p.starts {
		delete(p.starts, key)
		n++
		p.step(StartReply{Worker: e.Worker.ID, Run: key, Sent: p.now, Fence: 1, Reply: p.accepted()})
	}
	return n
}

// answerStops does the same for stops.
func (p *widePool) answerStops() int {
	n := 0
	for key, e := range p.stops {
		delete(p.stops, key)
		n++
		p.step(StopReply{Worker: e.Worker.ID, Run: key, Sent: p.now, Fence: 1, Reply: p.accepted()})
	}
	return n
}

// TestWideJobBoundsOpenOrders guards against a host that has thousands of orders under way at once, because a job of
// many small tasks starts, or is given up, and against tasks that are forgotten beyond the bound.
func TestWideJobBoundsOpenOrders(t *testing.T) {
	const tasks = 1800
	p := newWidePool(t, "w0", "w1", "w2")
	key := JobKey{Host: 1, Seq: 1}
	p.step(Submit{Job: Job{
		Key: key, Cell: "z", Left: 30 * time.Second,
		Spec:  fleet.JobSpec{ID: "wide", Tasks: tasks, Need: fleet.Resources{CPU: 10, Memory: 1}, Estimate: 5 * time.Second},
		Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, SlackFactor: 1.6, ObjectiveOffset: 5 * time.Second},
	}})
	started := 0
	for len(p.starts) > 0 {
		started += p.answerStarts()
	}
	if started != tasks {
		t.Fatalf("%d tasks were started, want %d", started, tasks)
	}
	p.step(Cancel{Key: key})
	stopped := 0
	for len(p.stops) > 0 {
		stopped += p.answerStops()
	}
	if stopped != tasks {
		t.Errorf("%d tasks were stopped, want %d", stopped, tasks)
	}
}

// TestUnansweredOrdersMakeRoom guards against a worker that gets no order any more because earlier ones were not
// answered.
func TestUnansweredOrdersMakeRoom(t *testing.T) {
	p := newWidePool(t, "w0")
	p.step(Submit{Job: Job{
		Key: JobKey{Host: 1, Seq: 1}, Cell: "z", Left: 30 * time.Second,
		Spec:  fleet.JobSpec{ID: "wide", Tasks: 4 * maxOpenOrders, Need: fleet.Resources{CPU: 10, Memory: 1}, Estimate: 5 * time.Second},
		Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, SlackFactor: 1.6, ObjectiveOffset: 5 * time.Second},
	}})
	first := p.starts
	p.starts = make(map[fleet.RunKey]StartRun)
	p.now += minOrderTimeout
	for key := range first {
		p.step(StartReply{Worker: "w0", Run: key, Sent: p.now - minOrderTimeout, Fence: 1})
	}
	p.step(Tick{})
	if len(first) != maxOpenOrders || len(p.starts) != maxOpenOrders {
		t.Errorf("%d starts at first and %d after these stayed unanswered, want %d each", len(first), len(p.starts), maxOpenOrders)
	}
}
