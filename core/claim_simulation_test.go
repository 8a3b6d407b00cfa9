package core

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/claim"
	"sesameledge.dev/sesameledge/config"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/forward"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	claimWindow = 30 // records of the claims stream
	jobDeadline = time.Second
)

// drawInt returns a number in [0, n).
type drawInt func(n int) int

// keySimulation runs several hosts over one claims stream. Its model records under which
// ticket each key's job was started, requires at most one such ticket for each key, and
// compares every reply with these starts.
type keySimulation struct {
	draw                drawInt
	now                 time.Duration
	log                 [][]byte
	firstOffset         int
	lateAppends         [][]byte // appends that were reported as failed and may take effect later
	hosts               []*simulatedHost
	unreachable         []bool // by host: other hosts cannot reach it
	epochs              []uint64
	keyOfTicket         map[ticket.ID]int
	startedTicket       map[int]ticket.ID
	notRun              map[ticket.ID]bool
	completedTicket     map[int]ticket.ID
	unanswered          map[dispatch.WaiterID]bool
	replies             map[dispatch.WaiterID]*api.Reply
	lastWaiter          dispatch.WaiterID
	startBeforeReadBack bool // breaks the hosts on purpose: they start jobs too early
}

type simulatedHost struct {
	state             *State
	incarnation       ticket.Incarnation
	claimsToAppend    []claim.Claim
	runningAttempts   []dispatch.StartAttempt
	forwardedRequests []forward.SendToOwner
}

func newKeySimulation(draw drawInt, startBeforeReadBack bool) *keySimulation {
	sim := &keySimulation{draw: draw, startBeforeReadBack: startBeforeReadBack, unreachable: make([]bool, 3), keyOfTicket: make(map[ticket.ID]int), startedTicket: make(map[int]ticket.ID),
		notRun: make(map[ticket.ID]bool), completedTicket: make(map[int]ticket.ID), unanswered: make(map[dispatch.WaiterID]bool), replies: make(map[dispatch.WaiterID]*api.Reply)}
	for n := range sim.unreachable {
		sim.hosts = append(sim.hosts, sim.newHost(n, ticket.Incarnation(n+1)))
	}
	return sim
}

func (sim *keySimulation) newHost(n int, incarnation ticket.Incarnation) *simulatedHost {
	s := New(Options{Host: fmt.Sprintf("host-%d", n), Incarnation: incarnation, Zone: "z", Seed: 1})
	s.claims.fold = claim.NewFold(claim.Options{Window: claimWindow, MaxClaims: 20})
	s.claims.startBeforeReadBack = sim.startBeforeReadBack
	rec := config.Record{Schema: 1, ID: "one", Text: "schema: 1\nteams: {t: {weight: 1}}\nkinds: {k: {group: g, default_deadline: 1s}}\ngroups: {g: {endpoints: minion}}\n"}
	data, _ := rec.Encode()
	s.Apply(sim.now, ConfigRecord{Data: data})
	s.Apply(sim.now, dispatch.EndpointsChanged{EntryHosts: 1, Endpoints: []place.Endpoint{{ID: "e", Address: "a", Identity: "i", Zone: "z", Group: "g", Slots: 100}}})
	return &simulatedHost{state: s, incarnation: incarnation}
}

func (sim *keySimulation) step() error {
	n := sim.draw(len(sim.hosts))
	h := sim.hosts[n]
	switch sim.draw(15) {
	case 0:
		if next, ok := h.state.NextClaimsOffset(); ok {
			sim.epochs = append(sim.epochs, next)
		}
	case 1, 2, 3:
		return sim.submit(h)
	case 4, 5, 6:
		return sim.appendClaims(h)
	case 7, 8, 9:
		return sim.readLog(h, 1+sim.draw(4))
	case 10:
		return sim.completeAttempts(h)
	case 11:
		return sim.deliverForwarded(h)
	case 12:
		sim.now += time.Duration(sim.draw(400)) * time.Millisecond
		return sim.apply(h, Tick{})
	case 13:
		return sim.injectFault(n)
	case 14:
		if len(sim.lateAppends) > 0 {
			sim.log, sim.lateAppends = append(sim.log, sim.lateAppends[0]), sim.lateAppends[1:]
		}
	}
	return nil
}

// injectFault restarts a host, makes it unreachable or reachable again, truncates the log, or
// ends a caller's wait.
func (sim *keySimulation) injectFault(n int) error {
	switch sim.draw(6) {
	case 0:
		sim.hosts[n] = sim.newHost(n, sim.hosts[n].incarnation+ticket.Incarnation(len(sim.hosts)))
		clear(sim.unanswered) // callers of this host lost their connection; the rest is not checked
	case 1:
		sim.unreachable[n] = !sim.unreachable[n]
	case 2:
		sim.firstOffset = min(sim.firstOffset+sim.draw(4), len(sim.log))
	default:
		return sim.apply(sim.hosts[n], KeyWaiterTimeout{Waiter: dispatch.WaiterID(sim.draw(int(sim.lastWaiter) + 1))})
	}
	return nil
}

func (sim *keySimulation) submit(h *simulatedHost) error {
	if len(sim.epochs) == 0 {
		return nil
	}
	key := sim.draw(len(sim.epochs))
	t := h.state.Dispatch.Mint(sim.now, 1, 3*jobDeadline, 2*jobDeadline)[0]
	sim.keyOfTicket[t.ID()] = key
	sim.lastWaiter++
	sim.unanswered[sim.lastWaiter] = true
	job := &api.Job{Schema: 1, Team: "t", Kind: "k", Key: fmt.Sprint(key), KeyEpoch: &sim.epochs[key],
		DeadlineMS: jobDeadline.Milliseconds(), Tasks: make([]api.Task, 2)}
	return sim.apply(h, KeySubmit{ID: t.ID(), Ticket: t, Job: job, Digest: uint64(key), Waiter: sim.lastWaiter, Wait: jobDeadline})
}

// appendClaims appends a host's queued claims. The append succeeds; or takes effect but its
// answer is lost; or fails for certain; or its answer is lost and it takes effect later or
// never.
func (sim *keySimulation) appendClaims(h *simulatedHost) error {
	if len(h.claimsToAppend) == 0 {
		return nil
	}
	data, _ := json.Marshal(claim.Record{Schema: claim.Schema, Claims: h.claimsToAppend})
	failed := ClaimsNotAppended{MayBeAppended: true}
	for _, c := range h.claimsToAppend {
		failed.Tickets = append(failed.Tickets, c.Ticket)
	}
	h.claimsToAppend = nil
	switch sim.draw(6) {
	case 0:
		sim.log = append(sim.log, data)
	case 1:
		sim.lateAppends = append(sim.lateAppends, data)
	case 2:
		failed.MayBeAppended = false
	case 3:
	default:
		sim.log = append(sim.log, data)
		return nil
	}
	return sim.apply(h, failed)
}

func (sim *keySimulation) readLog(h *simulatedHost, count int) error {
	next, started := h.state.NextClaimsOffset()
	if !started || int(next) < sim.firstOffset {
		if err := sim.apply(h, ClaimsBounds{First: uint64(sim.firstOffset), Next: uint64(len(sim.log))}); err != nil {
			return err
		}
		next, _ = h.state.NextClaimsOffset()
	}
	for o := int(next); o < min(int(next)+count, len(sim.log)); o++ {
		if err := sim.apply(h, ClaimRecord{Offset: uint64(o), Data: sim.log[o]}); err != nil {
			return err
		}
	}
	return nil
}

func (sim *keySimulation) completeAttempts(h *simulatedHost) error {
	running := h.runningAttempts
	h.runningAttempts = nil
	for _, a := range running {
		ev := dispatch.AttemptEnded{Task: a.Task, Attempt: a.Attempt, Outcome: dispatch.AttemptCompleted, Result: json.RawMessage("1"), ReportedLoad: -1}
		if err := sim.apply(h, ev); err != nil {
			return err
		}
	}
	return nil
}

// deliverForwarded delivers a host's forwarded requests to the owners of their tickets.
func (sim *keySimulation) deliverForwarded(h *simulatedHost) error {
	requests := h.forwardedRequests
	h.forwardedRequests = nil
	for _, f := range requests {
		var ev Event = forward.OwnerFailed{Waiter: f.Request.Waiter, Reason: "unreachable"}
		n := 0
		_, _ = fmt.Sscanf(f.Request.Ticket.Host, "host-%d", &n)
		owner := sim.hosts[n]
		switch {
		case sim.unreachable[n]:
		case owner.incarnation != f.Request.Ticket.Incarnation:
			ev = forward.OwnerReplaced{Waiter: f.Request.Waiter, CurrentIncarnation: owner.incarnation}
		default:
			sim.lastWaiter++
			w := sim.lastWaiter
			if err := sim.apply(owner, dispatch.Await{ID: f.Request.ID, Waiter: w, NoWait: true}); err != nil {
				return err
			}
			if sim.replies[w] == nil {
				return errors.New("an owner did not answer")
			}
			ev = forward.OwnerReplied{Waiter: f.Request.Waiter, Reply: sim.replies[w]}
		}
		if err := sim.apply(h, ev); err != nil {
			return err
		}
	}
	return nil
}

func (sim *keySimulation) apply(h *simulatedHost, ev Event) error {
	effects := append([]Effect(nil), h.state.Apply(sim.now, ev)...)
	for _, e := range effects {
		var err error
		switch e := e.(type) {
		case AppendClaim:
			h.claimsToAppend = append(h.claimsToAppend, e.Claim)
		case dispatch.StartAttempt:
			h.runningAttempts = append(h.runningAttempts, e)
			err = sim.checkStart(e.Task.Ticket)
		case dispatch.ReplyTo:
			err = sim.checkReply(e.Waiter, e.Reply)
		case forward.ReplyTo:
			err = sim.checkReply(e.Waiter, e.Reply)
		case forward.SendToOwner:
			h.forwardedRequests = append(h.forwardedRequests, e)
		case forward.FindAnswer: // no host drains, so no peer stores an answer
			err = sim.apply(h, forward.AnswerSearched{Waiter: e.Request.Waiter})
		case dispatch.Violation:
			err = errors.New(e.Message)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (sim *keySimulation) checkStart(id ticket.ID) error {
	key := sim.keyOfTicket[id]
	if other, ok := sim.startedTicket[key]; ok && other != id {
		return errors.Newf("key %d was started under %s and %s", key, other, id)
	}
	if sim.notRun[id] {
		return errors.Newf("%s was started after the reply that it did not run", id)
	}
	sim.startedTicket[key] = id
	return nil
}

func (sim *keySimulation) checkReply(w dispatch.WaiterID, r *api.Reply) error {
	delete(sim.unanswered, w)
	sim.replies[w] = r
	key := sim.keyOfTicket[r.Ticket]
	switch {
	case r.Outcome == api.Complete && sim.startedTicket[key] != r.Ticket:
		return errors.Newf("complete without a start: %s", r.Ticket)
	case r.Outcome == api.Refused && r.Ticket == "":
		return errors.Newf("a job with a key was refused without a ticket: %v", r.Reason)
	case r.Outcome == api.Refused, r.Outcome == api.Failed && len(r.Tasks) > 0 && r.Tasks[0].State == api.TaskNotRun && r.Tasks[1].State == api.TaskNotRun:
		if sim.startedTicket[key] == r.Ticket {
			return errors.Newf("a reply says that %s did not run, but it was started", r.Ticket)
		}
		sim.notRun[r.Ticket] = true
	}
	return nil
}

// run takes some steps, then advances the time without faults and checks that every caller
// was answered.
func (sim *keySimulation) run(steps int) error {
	for range steps {
		if err := sim.step(); err != nil {
			return err
		}
	}
	for range 30 {
		sim.now += jobDeadline / 4
		for n, h := range sim.hosts {
			sim.unreachable[n] = false
			for _, f := range []func() error{
				func() error { return sim.apply(h, Tick{}) }, func() error { return sim.appendClaims(h) },
				func() error { return sim.readLog(h, len(sim.log)) }, func() error { return sim.deliverForwarded(h) }, func() error { return sim.completeAttempts(h) },
			} {
				if err := f(); err != nil {
					return err
				}
			}
		}
	}
	if len(sim.unanswered) > 0 {
		return errors.Newf("%d callers were not answered", len(sim.unanswered))
	}
	return nil
}

// Guards against a key whose job is started twice, on one host or on two; against a start
// after the reply that the job has not run; and against callers that get no reply.
func TestKeyedJobStartsAtMostOnce(t *testing.T) {
	var starts int
	rapid.Check(t, func(t *rapid.T) {
		sim := newKeySimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "d") }, false)
		if err := sim.run(150); err != nil {
			t.Fatal(err)
		}
		starts += len(sim.startedTicket)
	})
	if starts == 0 {
		t.Error("no job was started")
	}
	t.Logf("%d jobs started", starts)
}

// Checks that the simulation detects hosts that start a job before its claim was read back.
func TestKeySimulationDetectsEarlyStart(t *testing.T) {
	detected := 0
	for seed := range uint64(20) {
		if newKeySimulation(rand.New(rand.NewPCG(seed, 3)).IntN, true).run(300) != nil {
			detected++
		}
	}
	if detected == 0 {
		t.Error("a start before the claim was read back was not detected")
	}
	t.Logf("detected in %d of 20 runs", detected)
}
