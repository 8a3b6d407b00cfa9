package host

import (
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/internal/hostile"
	"sesameledge.dev/sesameledge/mesh/meshpb"
	"sesameledge.dev/sesameledge/sched"
	"sesameledge.dev/sesameledge/session"
)

// TestUndeliverableJobIsAnswered guards against a job that cannot be sent to the commander and that keeps
// its caller and all later jobs without an answer.
func TestUndeliverableJobIsAnswered(t *testing.T) {
	for name, spoil := range map[string]func(*JobArrived){
		"request ID that is not text": func(e *JobArrived) { e.Spec.RequestID = "\xff\xfe" },
		"body beyond every frame":     func(e *JobArrived) { e.Spec.Payload = strings.Repeat("x", session.MaxMessageBytes) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newHostPair()
			job := arrivedJob(1)
			spoil(&job)
			p.step(0, job)
			if len(p.answers) != 1 || p.answers[0].Seq != 1 || p.answers[0].Outcome != sched.Refused {
				t.Fatalf("answers: %+v", p.answers)
			}
			if p.started != 0 {
				t.Error("a task of the refused job was started")
			}
			if n := p.hosts[0].Stats().MessagesRefused; n != 1 {
				t.Errorf("%d messages were counted as refused, want 1", n)
			}
			p.submit(2)
			p.advance(100 * time.Millisecond)
			if p.started != 1 {
				t.Errorf("%d tasks of the next job were started, want 1", p.started)
			}
		})
	}
}

// TestReasonThatIsNotTextArrives guards against an outcome that never reaches its caller's host because
// of the text of its reason.
func TestReasonThatIsNotTextArrives(t *testing.T) {
	p := newHostPair()
	p.submit(1)
	p.advance(50 * time.Millisecond)
	key := sched.JobKey{Host: p.hosts[0].opts.Self.ID, Seq: 1}
	p.hosts[1].handleJobFinished(p.now, sched.JobFinished{Key: key, Outcome: sched.Failed, Reason: "\xff" + strings.Repeat("x", session.MaxMessageBytes)})
	p.advance(50 * time.Millisecond)
	if len(p.answers) != 1 || p.answers[0].Outcome != sched.Failed {
		t.Errorf("answers: %+v", p.answers)
	}
}

// TestManyWorkersAreForwarded guards against entries that do not fit into one message and are never
// forwarded.
func TestManyWorkersAreForwarded(t *testing.T) {
	p := newHostPair()
	peer := p.hosts[1].peers["south:1"]
	peer.info.Zone, peer.status = "north", &meshpb.Status{} // as a host of the zone without a cell
	peer.session = session.New()
	var read WorkersRead
	record := make([]byte, 60<<10)
	for i := range 400 {
		read.Records = append(read.Records, WorkerRecord{ID: "w" + strings.Repeat("x", i%200) + string(rune('a'+i/200)), Record: record})
	}
	p.hosts[1].handleWorkersRead(p.now, read)
	p.hosts[1].forwardWorkers(peer)
	if n := len(read.Records); peer.session.Unacknowledged() < n*len(record)/session.MaxMessageBytes {
		t.Fatalf("%d messages for %d entries", peer.session.Unacknowledged(), n)
	}
	if peer.forwardedChange != p.hosts[1].workerChanges {
		t.Error("the entries stay due")
	}
}

// TestUnknownOutcomeIsNoRefusal guards against an outcome of another version that ends the process or
// that is taken for a job that has not run.
func TestUnknownOutcomeIsNoRefusal(t *testing.T) {
	for _, outcome := range []int32{0, 5, -1, math.MaxInt32} {
		p := newHostPair()
		p.submit(1)
		p.advance(50 * time.Millisecond)
		s := p.hosts[0]
		for _, e := range s.stepOutcome(p.now, 2, &meshpb.Outcome{Seq: 1, Outcome: outcome}) {
			if a, ok := e.(Answer); ok {
				p.answers = append(p.answers, a)
			}
		}
		if len(p.answers) != 1 || p.answers[0].Outcome != sched.Aborted {
			t.Errorf("outcome %d led to %+v", outcome, p.answers)
		}
	}
	if got := sched.Outcome(7).String(); got != "unknown value 7" {
		t.Errorf("the name is %q", got)
	}
}

// stepOutcome applies an outcome as if a frame of a host had brought it.
func (s *State) stepOutcome(now time.Duration, host uint64, o *meshpb.Outcome) []Effect {
	s.handleOutcome(now, host, o)
	return s.Step(now)
}

// TestAbsurdLoadsAreRefused guards against loads whose sums over cells overflow: a random choice among
// cells then ends the process.
func TestAbsurdLoadsAreRefused(t *testing.T) {
	for name, load := range map[string]*meshpb.Load{
		"free":     {Service: "s", Free: math.MaxInt64, Capacity: 1},
		"capacity": {Service: "s", Free: 1, Capacity: math.MaxInt64},
		"queued":   {Service: "s", Queued: math.MaxInt64, Capacity: 1},
		"rate":     {Service: "s", Rate: math.MaxInt64, Capacity: 1},
		"duration": {Service: "s", TaskMs: math.MaxInt64, Capacity: 1},
	} {
		if statusError(&meshpb.Status{Cells: []*meshpb.Cell{{Name: "north", Loads: []*meshpb.Load{load}}}}) == nil {
			t.Errorf("%s: the status was taken", name)
		}
	}
}

// TestOwnFramesAreTaken guards against a host whose frames are refused by all others, because a job of
// its callers makes its load overflow.
func TestOwnFramesAreTaken(t *testing.T) {
	p := newHostPair()
	for seq := range uint64(50) {
		job := arrivedJob(seq + 1)
		job.Spec.Tasks, job.Spec.Need.CPU, job.Spec.Estimate = 10000, 1_000_000, 24*time.Hour
		job.Route.ObjectiveOffset = 24 * time.Hour
		p.step(1, job)
		if err := statusError(p.hosts[1].ownStatus()); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := proto.Marshal(p.hosts[1].ownStatus()); err != nil {
		t.Error(err)
	}
}

// TestHostileMessagesEndNothing sends messages of every kind with hostile strings, sizes and numbers from
// one host to another. It guards against a message that ends the process of its receiver, that makes its
// frames unfit for others, or that keeps later jobs from being served.
func TestHostileMessagesEndNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newHostPair()
		link := p.hosts[0].peers["north:1"].session
		for range rapid.IntRange(1, 10).Draw(t, "messages") {
			m := hostile.Message(t)
			if rapid.Bool().Draw(t, "plausible") && m.GetSubmit() != nil {
				m.GetSubmit().Tasks, m.GetSubmit().Cell, m.GetSubmit().LeftNs = 2, "north", int64(time.Second)
			}
			link.Send(m)
			p.step(0, Tick{})
			if _, err := proto.Marshal(p.hosts[1].ownStatus()); err != nil {
				t.Fatal(err)
			}
			if err := statusError(p.hosts[1].ownStatus()); err != nil {
				t.Fatal(err)
			}
		}
		p.advance(1500 * time.Millisecond)
		p.submit(100)
		p.advance(300 * time.Millisecond)
		if len(p.answers) == 0 && p.started == 0 {
			t.Error("a later job was neither started nor answered")
		}
		if err := p.hosts[1].sched.Check(); err != nil {
			t.Error(err)
		}
	})
}
