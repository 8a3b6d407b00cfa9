package host

import (
	"testing"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/sched"
)

// hostPair is two hosts that exchange frames unless they are partitioned from each other.
type hostPair struct {
	hosts       [2]*State
	now         time.Duration
	partitioned bool
	started     int
	answers     []Answer
}

const hostPairStep = 20 * time.Millisecond

func newHostPair() *hostPair {
	p := &hostPair{now: time.Minute}
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
	p.advance(2 * time.Second)
	return p
}

// step applies events to a host, delivers its frames to the other host at once, and lets the worker
// accept all orders.
func (p *hostPair) step(i int, events ...Event) {
	for _, e := range p.hosts[i].Step(p.now, append([]Event{CallersSeen{At: p.now}}, events...)...) {
		switch e := e.(type) {
		case SendFrame:
			if !p.partitioned {
				p.step(1-i, FrameReceived{Frame: e.Frame})
			}
		case Answer:
			p.answers = append(p.answers, e)
		case sched.StartRun:
			p.started++
			reply := fleet.Reply{Verdict: fleet.Accepted, ClockMillis: p.now.Milliseconds(), ProcessStart: 1}
			p.step(i, WorkerEvent{Event: sched.StartReply{Worker: "w", Run: e.Order.Run, Sent: p.now, Fence: e.Order.Fence, Reply: reply}})
		case sched.HoldWorker:
			if e.Order.WaitMillis == 0 {
				reply := fleet.HoldReply{Reply: fleet.Reply{Verdict: fleet.Accepted, ClockMillis: p.now.Milliseconds(), ProcessStart: 1}}
				p.step(i, WorkerEvent{Event: sched.HoldReply{Worker: "w", Seq: e.Seq, Sent: p.now, Reply: reply}})
			}
		}
	}
}

func (p *hostPair) advance(d time.Duration) {
	for end := p.now + d; p.now < end; p.now += hostPairStep {
		p.step(0, Tick{})
		p.step(1, Tick{})
	}
}

// arrivedJob returns the arrival of a job with one task.
func arrivedJob(seq uint64) JobArrived {
	return JobArrived{
		Seq: seq, Remaining: 20 * time.Second,
		Spec:  fleet.JobSpec{ID: "job", Tasks: 1, Need: fleet.Resources{CPU: 1000, Memory: 1}, Estimate: 100 * time.Millisecond, Ephemeral: true},
		Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, SlackFactor: 1.6, ObjectiveOffset: 10 * time.Second},
	}
}

func (p *hostPair) submit(seq uint64) { p.step(0, arrivedJob(seq)) }

// TestHostPairStartsTask checks that a pair without faults starts tasks, so that the other tests of
// this file do not pass because nothing works.
func TestHostPairStartsTask(t *testing.T) {
	p := newHostPair()
	p.submit(1)
	p.advance(100 * time.Millisecond)
	if p.started != 1 {
		t.Fatalf("%d tasks were started, want 1", p.started)
	}
}

// TestJobAbortedInPartitionIsNotStartedLater guards against a job that is forwarded at the start of
// a partition, answered as aborted, and started after the partition. The caller has resent it by
// then, and it would run twice.
func TestJobAbortedInPartitionIsNotStartedLater(t *testing.T) {
	p := newHostPair()
	p.partitioned = true
	p.submit(1)
	p.advance(5 * time.Second)
	if len(p.answers) != 1 || p.answers[0].Outcome != sched.Aborted {
		t.Fatalf("answers: %+v", p.answers)
	}
	p.partitioned = false
	p.advance(2 * time.Second)
	if p.started != 0 {
		t.Fatalf("%d tasks were started after the partition", p.started)
	}
	p.submit(2)
	p.advance(100 * time.Millisecond)
	if p.started != 1 {
		t.Fatalf("%d tasks were started for a new job, want 1", p.started)
	}
}

// TestJobInDelayedFrameIsNotStarted guards against starting a job from a delayed frame, after the
// caller was told that the job was aborted.
func TestJobInDelayedFrameIsNotStarted(t *testing.T) {
	p := newHostPair()
	p.partitioned = true
	var delayed []SendFrame
	for _, e := range p.hosts[0].Step(p.now, arrivedJob(1)) {
		if f, ok := e.(SendFrame); ok && len(f.Frame.GetMessages()) > 0 {
			delayed = append(delayed, f)
		}
	}
	if len(delayed) == 0 {
		t.Fatal("the job was not forwarded")
	}
	p.advance(3 * time.Second)
	for _, f := range delayed {
		p.step(1, FrameReceived{Frame: f.Frame})
	}
	p.advance(100 * time.Millisecond)
	if p.started != 0 {
		t.Fatalf("%d tasks were started for the delayed job", p.started)
	}
}

// TestPausedCommanderDropsJobsOfOtherZone guards against a commander that wakes from a pause of more than
// a second and goes on with a job whose caller's host has long counted it as lost: the caller may have
// sent the job again. The hosts are of different zones, whose contacts may be older while no job is in
// progress between them.
func TestPausedCommanderDropsJobsOfOtherZone(t *testing.T) {
	for _, pause := range []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 1400 * time.Millisecond} {
		p := newHostPair()
		p.submit(1)
		p.advance(500 * time.Millisecond)
		if p.started != 1 {
			t.Fatalf("%d starts, want 1", p.started)
		}
		p.partitioned = true
		p.now += pause // neither host does anything
		p.step(1, Tick{})
		if stats := p.hosts[1].sched.Stats(); stats.Aborted != 1 || p.started != 1 {
			t.Errorf("after a pause of %v: %d jobs aborted and %d starts, want 1 and 1", pause, stats.Aborted, p.started)
		}
	}
}
