package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
)

// poison is a record that makes decoders panic.
const poison = "poison"

// newFragileLoop returns a loop whose state panics on a poisoned configuration or entry of a worker, and its log.
func newFragileLoop() (*loop, *recordedEffects, *bytes.Buffer) {
	effects, out := &recordedEffects{}, &bytes.Buffer{}
	state := host.New(host.Options{
		Self: host.Self{Name: "h", Zone: "z", Addr: "127.0.0.1:1", ID: 1, Weight: 1}, Zones: []string{"z"}, Started: sinceBoot(),
		Decode: host.Decoders{
			Config: func(record []byte) (*fleet.Config, error) {
				panicIfPoisoned(record)
				return &fleet.Config{Version: int64(len(record))}, nil
			},
			Worker: func(id string, record []byte) (fleet.Worker, error) {
				panicIfPoisoned(record)
				return fleet.Worker{ID: id, Zone: "z", Service: "s"}, nil
			},
		},
	})
	return newLoop(state, log.NewLogfmtLogger(out), effects), effects, out
}

func panicIfPoisoned(record []byte) {
	if string(record) == poison {
		panic("a decoder has failed")
	}
}

// arrive hands a job of a caller that waits to a loop and returns the channel of its answer.
func arrive(t *testing.T, l *loop, id string) chan host.Answer {
	answer := make(chan host.Answer, 1)
	l.applyBatch(jobArrival{
		event:  host.JobArrived{Spec: fleet.JobSpec{ID: id, Tasks: 1}, Route: fleet.Route{Service: "s"}, Remaining: time.Minute},
		conn:   newCaller(t).conn,
		seq:    make(chan uint64, 1),
		answer: answer,
	})
	return answer
}

// TestPanicEndsNoProcess guards against an event that ends the process, and against a host that goes on
// with what a failed event has left behind. Callers are told that their jobs may have run; what was read
// before, and by other events of the batch, holds; the numbers of jobs go on.
func TestPanicEndsNoProcess(t *testing.T) {
	l, _, out := newFragileLoop()
	l.applyBatch(host.ConfigRead{Record: []byte("four")})
	answer := arrive(t, l, "a")
	before := l.state
	l.events <- host.ConfigRead{Record: []byte(poison)}
	l.events <- host.StoreReachability{Reachable: true}
	l.applyBatch(host.WorkersRead{Records: []host.WorkerRecord{{ID: "w", Record: []byte("w"), Offset: 1}}})
	if l.state == before || l.panics.Load() != 1 {
		t.Fatalf("%d panics; the state must be another one", l.panics.Load())
	}
	select {
	case a := <-answer:
		if a.Outcome != sched.Aborted {
			t.Errorf("the caller was told %v", a.Outcome)
		}
	default:
		t.Error("the caller has no answer")
	}
	d := l.state.Dump(sinceBoot())
	if d.ConfigVersion != 4 || !d.StoreReached || len(d.Jobs) != 0 || len(d.Cells) != 0 {
		t.Errorf("the new state is %+v", d)
	}
	if text := out.String(); !strings.Contains(text, "a decoder has failed") || !strings.Contains(text, "applyConfig") {
		t.Errorf("the log does not show the place: %s", text)
	}
	arrive(t, l, "b")
	if l.lastSeq != 2 || l.state.OpenJobs() != 1 {
		t.Errorf("job %d, %d open, after the panic", l.lastSeq, l.state.OpenJobs())
	}
	l.applyBatch(stateQuery{done: make(chan struct{}), read: func(time.Duration, *host.State) { panic("query") }})
	if l.state.OpenJobs() != 1 || l.panics.Load() != 2 {
		t.Error("a failed query has changed the state")
	}
}

// TestAnswersToCallsOfReplacedState guards against the answer to a call that the state before a panic has
// made and that is taken for the answer to a call of the new state.
func TestAnswersToCallsOfReplacedState(t *testing.T) {
	l, _, _ := newFragileLoop()
	send := l.callSender()
	l.applyBatch(host.ConfigRead{Record: []byte(poison)})
	send(host.WorkerEvent{Event: sched.HoldReply{Worker: "w", Seq: 1}})
	if events := l.collect(nil, <-l.events); len(events) != 0 {
		t.Errorf("the late answer was taken: %v", events)
	}
	l.callSender()(host.WorkerEvent{Event: sched.HoldReply{Worker: "w", Seq: 1}})
	if events := l.collect(nil, <-l.events); len(events) != 1 {
		t.Error("an answer to a call of the new state was dropped")
	}
}

// TestSourceOfPanicIsDistrusted guards against a host that gives up its jobs again and again because
// another one sends it the same message.
func TestSourceOfPanicIsDistrusted(t *testing.T) {
	l, _, _ := newFragileLoop()
	frame := func(addr string) host.FrameReceived {
		workers := &meshpb.Workers{Workers: []*meshpb.Worker{{Id: "w", Record: []byte(poison)}}}
		message := &meshpb.Message{Kind: &meshpb.Message_Workers{Workers: workers}}
		var to uint64
		l.collect(nil, stateQuery{done: make(chan struct{}), read: func(now time.Duration, s *host.State) { to = s.Dump(now).ID }})
		return host.FrameReceived{Frame: &meshpb.Frame{From: &meshpb.Host{Addr: addr, Id: 9}, To: to, First: 1, Messages: []*meshpb.Message{message}}}
	}
	for range 5 {
		l.applyBatch(frame("127.0.0.1:9"))
	}
	if n := l.panics.Load(); n != 1 {
		t.Errorf("%d panics, want one", n)
	}
	l.applyBatch(frame("127.0.0.1:8"))
	if n := l.panics.Load(); n != 2 {
		t.Errorf("%d panics, want one for each host", n)
	}
	l.distrusted["worker w"] = sinceBoot() + time.Minute
	reply := fleet.HoldReply{Reply: fleet.Reply{Verdict: fleet.Accepted}}
	events := l.collect(nil, host.WorkerEvent{Event: sched.HoldReply{Worker: "w", Reply: reply}})
	if len(events) != 1 || events[0].(host.WorkerEvent).Event.(sched.HoldReply).Reply.Verdict != fleet.NoAnswer {
		t.Errorf("the answer of a distrusted worker became %+v, want none", events)
	}
}
