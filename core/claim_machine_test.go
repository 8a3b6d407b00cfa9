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
	keyWindow   = 30 // offsets
	jobDeadline = time.Second
)

// draw returns a number in [0, n).
type draw func(n int) int

// keyMachine runs several hosts over one log of claims. The oracle counts the starts of
// each key's job, which must be at most one, and holds each reply against them.
type keyMachine struct {
	draw     draw
	now      time.Duration
	log      [][]byte
	first    int
	late     [][]byte // appends that failed for their host and may take effect later
	hosts    []*keyHost
	cut      []bool // hosts that other hosts cannot reach
	epochs   []uint64
	keyOf    map[ticket.ID]int
	starts   map[int]ticket.ID
	notRun   map[ticket.ID]bool
	complete map[int]ticket.ID
	waiting  map[dispatch.WaiterID]bool
	replies  map[dispatch.WaiterID]*api.Reply
	waiters  dispatch.WaiterID
	unread   bool // test switch
}

type keyHost struct {
	s        *State
	inc      ticket.Incarnation
	outbox   []claim.Claim
	running  []dispatch.StartAttempt
	forwards []forward.SendToOwner
}

func newKeyMachine(d draw, unread bool) *keyMachine {
	m := &keyMachine{draw: d, unread: unread, cut: make([]bool, 3), keyOf: make(map[ticket.ID]int), starts: make(map[int]ticket.ID),
		notRun: make(map[ticket.ID]bool), complete: make(map[int]ticket.ID), waiting: make(map[dispatch.WaiterID]bool), replies: make(map[dispatch.WaiterID]*api.Reply)}
	for n := range m.cut {
		m.hosts = append(m.hosts, m.newHost(n, ticket.Incarnation(n+1)))
	}
	return m
}

func (m *keyMachine) newHost(n int, inc ticket.Incarnation) *keyHost {
	s := New(Options{Host: fmt.Sprintf("host-%d", n), Incarnation: inc, Zone: "z", Seed: 1})
	s.claims.fold = claim.NewFold(claim.Options{Window: keyWindow, MaxClaims: 20})
	s.claims.startUnread = m.unread
	rec := config.Record{Schema: 1, ID: "one", Text: "schema: 1\nteams: {t: {weight: 1}}\nkinds: {k: {group: g, default_deadline: 1s}}\ngroups: {g: {endpoints: minion}}\n"}
	data, _ := rec.Encode()
	s.Apply(m.now, ConfigRecord{Data: data})
	s.Apply(m.now, dispatch.EndpointsChanged{EntryHosts: 1, Endpoints: []place.Endpoint{{ID: "e", Address: "a", Identity: "i", Zone: "z", Group: "g", Slots: 100}}})
	return &keyHost{s: s, inc: inc}
}

func (m *keyMachine) step() error {
	n := m.draw(len(m.hosts))
	h := m.hosts[n]
	switch m.draw(15) {
	case 0:
		if next, ok := h.s.ClaimsNext(); ok {
			m.epochs = append(m.epochs, next)
		}
	case 1, 2, 3:
		return m.submit(h)
	case 4, 5, 6:
		return m.commit(h)
	case 7, 8, 9:
		return m.read(h, 1+m.draw(4))
	case 10:
		return m.finish(h)
	case 11:
		return m.deliver(h)
	case 12:
		m.now += time.Duration(m.draw(400)) * time.Millisecond
		return m.apply(h, Tick{})
	case 13:
		return m.disturb(n)
	case 14:
		if len(m.late) > 0 {
			m.log, m.late = append(m.log, m.late[0]), m.late[1:]
		}
	}
	return nil
}

// disturb restarts a host, cuts it off, truncates the log, or ends a caller's wait.
func (m *keyMachine) disturb(n int) error {
	switch m.draw(6) {
	case 0:
		m.hosts[n] = m.newHost(n, m.hosts[n].inc+ticket.Incarnation(len(m.hosts)))
		clear(m.waiting) // some of these callers lost their connection; the rest is not checked
	case 1:
		m.cut[n] = !m.cut[n]
	case 2:
		m.first = min(m.first+m.draw(4), len(m.log))
	default:
		return m.apply(m.hosts[n], KeyWaiterTimeout{Waiter: dispatch.WaiterID(m.draw(int(m.waiters) + 1))})
	}
	return nil
}

func (m *keyMachine) submit(h *keyHost) error {
	if len(m.epochs) == 0 {
		return nil
	}
	key := m.draw(len(m.epochs))
	t := h.s.Dispatch.Mint(m.now, 1, 3*jobDeadline, 2*jobDeadline)[0]
	m.keyOf[t.ID()] = key
	m.waiters++
	m.waiting[m.waiters] = true
	job := &api.Job{Schema: 1, Team: "t", Kind: "k", Key: fmt.Sprint(key), KeyEpoch: &m.epochs[key],
		DeadlineMS: jobDeadline.Milliseconds(), Tasks: make([]api.Task, 2)}
	return m.apply(h, KeySubmit{ID: t.ID(), Ticket: t, Job: job, Digest: uint64(key), Waiter: m.waiters, Wait: jobDeadline})
}

// commit appends a host's queued claims. The append succeeds, loses its answer, fails,
// or is reported lost and takes effect later or never.
func (m *keyMachine) commit(h *keyHost) error {
	if len(h.outbox) == 0 {
		return nil
	}
	data, _ := json.Marshal(claim.Record{Schema: claim.Schema, Claims: h.outbox})
	failed := ClaimsNotAppended{MayBeAppended: true}
	for _, c := range h.outbox {
		failed.Tickets = append(failed.Tickets, c.Ticket)
	}
	h.outbox = nil
	switch m.draw(6) {
	case 0:
		m.log = append(m.log, data)
	case 1:
		m.late = append(m.late, data)
	case 2:
		failed.MayBeAppended = false
	case 3:
	default:
		m.log = append(m.log, data)
		return nil
	}
	return m.apply(h, failed)
}

func (m *keyMachine) read(h *keyHost, count int) error {
	next, started := h.s.ClaimsNext()
	if !started || int(next) < m.first {
		if err := m.apply(h, ClaimsBounds{First: uint64(m.first), Next: uint64(len(m.log))}); err != nil {
			return err
		}
		next, _ = h.s.ClaimsNext()
	}
	for o := int(next); o < min(int(next)+count, len(m.log)); o++ {
		if err := m.apply(h, ClaimRecord{Offset: uint64(o), Data: m.log[o]}); err != nil {
			return err
		}
	}
	return nil
}

func (m *keyMachine) finish(h *keyHost) error {
	running := h.running
	h.running = nil
	for _, a := range running {
		ev := dispatch.AttemptEnded{Task: a.Task, Attempt: a.Attempt, Outcome: dispatch.AttemptCompleted, Result: json.RawMessage("1"), Load: -1}
		if err := m.apply(h, ev); err != nil {
			return err
		}
	}
	return nil
}

// deliver carries a host's forwarded requests to their owners.
func (m *keyMachine) deliver(h *keyHost) error {
	forwards := h.forwards
	h.forwards = nil
	for _, f := range forwards {
		var ev Event = forward.OwnerFailed{Waiter: f.Request.Waiter, Reason: "cut off"}
		n := 0
		_, _ = fmt.Sscanf(f.Request.Ticket.Host, "host-%d", &n)
		owner := m.hosts[n]
		switch {
		case m.cut[n]:
		case owner.inc != f.Request.Ticket.Incarnation:
			ev = forward.OwnerReplaced{Waiter: f.Request.Waiter, Now: owner.inc}
		default:
			m.waiters++
			w := m.waiters
			if err := m.apply(owner, dispatch.Await{ID: f.Request.ID, Waiter: w, NoWait: true}); err != nil {
				return err
			}
			if m.replies[w] == nil {
				return errors.New("an owner did not answer")
			}
			ev = forward.OwnerReplied{Waiter: f.Request.Waiter, Reply: m.replies[w]}
		}
		if err := m.apply(h, ev); err != nil {
			return err
		}
	}
	return nil
}

func (m *keyMachine) apply(h *keyHost, ev Event) error {
	effects := append([]Effect(nil), h.s.Apply(m.now, ev)...)
	for _, e := range effects {
		var err error
		switch e := e.(type) {
		case AppendClaim:
			h.outbox = append(h.outbox, e.Claim)
		case dispatch.StartAttempt:
			h.running = append(h.running, e)
			err = m.started(e.Task.Ticket)
		case dispatch.ReplyTo:
			err = m.replied(e.Waiter, e.Reply)
		case forward.ReplyTo:
			err = m.replied(e.Waiter, e.Reply)
		case forward.SendToOwner:
			h.forwards = append(h.forwards, e)
		case forward.FindAnswer: // no host drains, so no peer holds an answer
			err = m.apply(h, forward.AnswerSearched{Waiter: e.Request.Waiter})
		case dispatch.Violation:
			err = errors.New(e.Message)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *keyMachine) started(id ticket.ID) error {
	key := m.keyOf[id]
	if other, ok := m.starts[key]; ok && other != id {
		return errors.Newf("key %d was started under %s and %s", key, other, id)
	}
	if m.notRun[id] {
		return errors.Newf("%s was started after the answer that it did not run", id)
	}
	m.starts[key] = id
	return nil
}

func (m *keyMachine) replied(w dispatch.WaiterID, r *api.Reply) error {
	delete(m.waiting, w)
	m.replies[w] = r
	key := m.keyOf[r.Ticket]
	switch {
	case r.Outcome == api.Complete && m.starts[key] != r.Ticket:
		return errors.Newf("complete without a start: %s", r.Ticket)
	case r.Outcome == api.Refused && r.Ticket == "":
		return errors.Newf("a job with a key was refused without a ticket: %v", r.Reason)
	case r.Outcome == api.Refused, r.Outcome == api.Failed && len(r.Tasks) > 0 && r.Tasks[0].State == api.TaskNotRun && r.Tasks[1].State == api.TaskNotRun:
		if m.starts[key] == r.Ticket {
			return errors.Newf("%s is said not to have run", r.Ticket)
		}
		m.notRun[r.Ticket] = true
	}
	return nil
}

// run takes some steps, then lets time pass and checks that every caller is answered.
func (m *keyMachine) run(steps int) error {
	for range steps {
		if err := m.step(); err != nil {
			return err
		}
	}
	for range 30 {
		m.now += jobDeadline / 4
		for n, h := range m.hosts {
			m.cut[n] = false
			for _, f := range []func() error{
				func() error { return m.apply(h, Tick{}) }, func() error { return m.commit(h) },
				func() error { return m.read(h, len(m.log)) }, func() error { return m.deliver(h) }, func() error { return m.finish(h) },
			} {
				if err := f(); err != nil {
					return err
				}
			}
		}
	}
	if len(m.waiting) > 0 {
		return errors.Newf("%d callers were not answered", len(m.waiting))
	}
	return nil
}

// Guards against a key whose job starts twice, on one host or on two, against a start
// after an answer "not run", and against callers that are not answered.
func TestKeysStartOnce(t *testing.T) {
	var starts int
	rapid.Check(t, func(t *rapid.T) {
		m := newKeyMachine(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "d") }, false)
		if err := m.run(150); err != nil {
			t.Fatal(err)
		}
		starts += len(m.starts)
	})
	if starts == 0 {
		t.Error("no job was started")
	}
	t.Logf("%d jobs started", starts)
}

// Guards against a machine that would not notice a start before the claim was read back.
func TestKeyMachineCatchesEarlyStart(t *testing.T) {
	caught := 0
	for seed := range uint64(20) {
		if newKeyMachine(rand.New(rand.NewPCG(seed, 3)).IntN, true).run(300) != nil {
			caught++
		}
	}
	if caught == 0 {
		t.Error("a start before the claim was read back was not caught")
	}
	t.Logf("caught in %d of 20 runs", caught)
}
