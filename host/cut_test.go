package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/sched"
)

// pair is two hosts that exchange frames unless they are cut off from each other.
type pair struct {
	hosts   [2]*State
	now     time.Duration
	cut     bool
	started int
	answers []Answer
}

const pairStep = 20 * time.Millisecond

func newPair() *pair {
	p := &pair{now: time.Minute}
	decode := Decoders{
		Config: func([]byte) (*fleet.Config, error) { return &fleet.Config{Version: 1}, nil },
		Worker: func(id string, _ []byte) (fleet.Worker, error) {
			return fleet.Worker{ID: id, Service: "s", Zone: "north", Capacity: fleet.Resources{CPU: 64000, Memory: 1000}}, nil
		},
	}
	for i, zone := range []string{"south", "north"} {
		p.hosts[i] = New(Options{
			Self:  Self{Name: zone, Zone: zone, Addr: zone + ":1", ID: uint64(i + 1), Weight: 400},
			Zones: []string{"north", "south"}, Seeds: []string{"north:1", "south:1"},
			Decode: decode, Seed: uint64(i + 1), Started: p.now, UnixMillis: 1767225600000,
		})
	}
	for i := range p.hosts {
		p.step(i, ConfigRead{Record: []byte("c")}, WorkersRead{Snapshot: true, Records: []WorkerRecord{{ID: "w", Record: []byte("w")}}})
	}
	p.pass(2 * time.Second)
	return p
}

func (p *pair) step(i int, events ...Event) {
	for _, e := range p.hosts[i].Step(p.now, events...) {
		switch e := e.(type) {
		case SendFrame:
			if !p.cut {
				p.step(1-i, FrameIn{Frame: e.Frame})
			}
		case Answer:
			p.answers = append(p.answers, e)
		case sched.StartRun:
			p.started++
			reply := fleet.Reply{Verdict: fleet.Accepted, Clock: p.now.Milliseconds(), Born: 1}
			p.step(i, WorkerEvent{Event: sched.Started{Worker: "w", Run: e.Order.Run, Reply: reply}})
		case sched.HoldWorker:
			if e.Order.Wait == 0 {
				reply := fleet.HoldReply{Reply: fleet.Reply{Verdict: fleet.Accepted, Clock: p.now.Milliseconds(), Born: 1}}
				p.step(i, WorkerEvent{Event: sched.Held{Worker: "w", Seq: e.Seq, Sent: p.now, Reply: reply}})
			}
		}
	}
}

func (p *pair) pass(d time.Duration) {
	for end := p.now + d; p.now < end; p.now += pairStep {
		p.step(0, Tick{})
		p.step(1, Tick{})
	}
}

func arrivedJob(seq uint64) Arrived {
	return Arrived{
		Seq: seq, Left: 20 * time.Second,
		Spec:  fleet.JobSpec{ID: "job", Tasks: 1, Need: fleet.Resources{CPU: 1000, Memory: 1}, Estimate: 100 * time.Millisecond, Ephemeral: true},
		Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, SlackFactor: 1.6, Target: 10 * time.Second},
	}
}

func (p *pair) submit(seq uint64) { p.step(0, arrivedJob(seq)) }

// TestPairServes guards the other tests of this file against passing because nothing works.
func TestPairServes(t *testing.T) {
	p := newPair()
	p.submit(1)
	p.pass(100 * time.Millisecond)
	if p.started != 1 {
		t.Fatalf("%d tasks were started, want 1", p.started)
	}
}

// TestJobBeyondACutIsNotStartedLater guards against a job that is passed on at the moment of a
// partition, answered as lost, and started when the partition has healed: the caller has sent
// it again by then, and it would run twice.
func TestJobBeyondACutIsNotStartedLater(t *testing.T) {
	p := newPair()
	p.cut = true
	p.submit(1)
	p.pass(5 * time.Second)
	if len(p.answers) != 1 || p.answers[0].Outcome != sched.Aborted {
		t.Fatalf("answers: %+v", p.answers)
	}
	p.cut = false
	p.pass(2 * time.Second)
	if p.started != 0 {
		t.Fatalf("%d tasks were started after the cut", p.started)
	}
	p.submit(2)
	p.pass(100 * time.Millisecond)
	if p.started != 1 {
		t.Fatalf("%d tasks were started for a new job, want 1", p.started)
	}
}

// TestDelayedFrameStartsNothing guards against a job in a frame that lay in a buffer while the
// caller was told that the job is lost.
func TestDelayedFrameStartsNothing(t *testing.T) {
	p := newPair()
	p.cut = true
	var delayed []SendFrame
	for _, e := range p.hosts[0].Step(p.now, arrivedJob(1)) {
		if f, ok := e.(SendFrame); ok && len(f.Frame.GetMessages()) > 0 {
			delayed = append(delayed, f)
		}
	}
	if len(delayed) == 0 {
		t.Fatal("the job was not passed on")
	}
	p.pass(3 * time.Second)
	for _, f := range delayed {
		p.step(1, FrameIn{Frame: f.Frame})
	}
	p.pass(100 * time.Millisecond)
	if p.started != 0 {
		t.Fatalf("%d tasks were started", p.started)
	}
}
