package forward

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/dispatch"
	"sesameledge.dev/sesameledge/place"
	"sesameledge.dev/sesameledge/ticket"
)

// world is several hosts, each a dispatch and a forward reducer, the messages between
// them, and callers that follow the rules of package client. It is the oracle too.
type world struct {
	t         *rapid.T
	off       switches
	rules     callerRules
	now       time.Duration
	hosts     []*process // by address; a killed process stays until it is replaced
	cut       map[[2]int]bool
	messages  []message
	callers   []*caller
	jobs      map[ticket.ID]*jobTruth
	requests  map[dispatch.WaiterID]*request
	tries     []*attempt
	nextID    dispatch.WaiterID
	processes ticket.Incarnation
	only      string // if set, the only check that counts
	fromOwner bool   // a host is handed the owner's own reply
}

// callerRules turns rules of the callers off.
type callerRules struct{ acceptLate bool }

// process is one run of a daemon. Its clock starts with it.
type process struct {
	slot     int
	inc      ticket.Incarnation
	started  time.Duration
	dispatch *dispatch.State
	forward  *State
	paused   bool
	dead     bool
	seen     map[ticket.ID]time.Duration
}

// jobTruth is what is true about the job of a ticket.
type jobTruth struct {
	ticket    ticket.Ticket
	job       *api.Job
	minted    time.Duration
	owner     *process
	drained   bool // the owner has drained and handed its answers over
	starts    map[int]int
	results   map[int]json.RawMessage
	refused   bool
	sent      int           // submissions by callers
	submitted bool          // the owner has a submission, of the job with digest 1
	failedAt  time.Duration // when a host first answered "failed"; 0 for never
}

// caller is one of the callers that share a ticket.
type caller struct {
	truth *jobTruth
	id    ticket.ID
	asked time.Duration
	open  dispatch.WaiterID // 0 for none
	final api.Outcome
}

// request is a request that a process has to answer: a caller's, or one forwarded by a
// peer.
type request struct {
	id     ticket.ID
	from   *caller
	peer   *process
	via    dispatch.WaiterID // the peer's request
	digest uint64            // of a submission
	done   bool              // a forwarding host has replied
	submit bool              // a caller's submission
	came   bool              // the owner has received it from the forwarding host
	search bool              // the peers were asked for the answer after the owner had ended
	found  bool              // one of them has it
}

// message is in flight. deliver must not be nil; lost may be.
type message struct {
	to      *process // nil for a caller
	from    *process // nil for a caller
	deliver func()
	lost    func()
}

type attempt struct {
	owner *process
	start dispatch.StartAttempt
	ran   bool
	ended bool
}

func newWorld(t *rapid.T, off switches, rules callerRules, only string) *world {
	w := &world{t: t, only: only, off: off, rules: rules, cut: make(map[[2]int]bool),
		jobs: make(map[ticket.ID]*jobTruth), requests: make(map[dispatch.WaiterID]*request)}
	for slot := range 3 {
		w.hosts = append(w.hosts, w.boot(slot))
	}
	return w
}

// fatalf reports a broken check. A test of one check passes over the others.
func (w *world) fatalf(format string, args ...any) {
	if message := fmt.Sprintf(format, args...); strings.Contains(message, w.only) {
		w.t.Fatal(message)
	}
}

func (w *world) boot(slot int) *process {
	w.processes++
	p := &process{slot: slot, inc: w.processes, started: w.now, seen: make(map[ticket.ID]time.Duration), forward: New()}
	p.forward.off = w.off
	p.dispatch = dispatch.New(dispatch.Options{Host: fmt.Sprintf("h%d", slot), Incarnation: p.inc, Zone: "a", Seed: 1})
	w.onDispatch(p, dispatch.PolicyChanged{Policy: &dispatch.Policy{
		Kinds: map[string]dispatch.Kind{"k": {Group: "g"}}, Teams: map[string]dispatch.Team{"t": {Weight: 1}}, MaxTasks: 8}})
	w.onDispatch(p, dispatch.EndpointsChanged{Endpoints: []place.Endpoint{
		{ID: "m-1", Zone: "a", Group: "g", Slots: 4}, {ID: "m-2", Zone: "a", Group: "g", Slots: 4}}})
	return p
}

func (p *process) local(now time.Duration) time.Duration { return now - p.started }
func (p *process) runs() bool                            { return !p.dead && !p.paused }

func (w *world) onDispatch(p *process, ev dispatch.Event) {
	effects := append([]dispatch.Effect(nil), p.dispatch.Apply(p.local(w.now), ev)...)
	for _, e := range effects {
		switch e := e.(type) {
		case dispatch.StartAttempt:
			w.startAttempt(p, e)
		case dispatch.ReplyTo:
			w.ownerReply(p, e)
		case dispatch.Violation:
			w.fatalf("violation: %s", e.Message)
		}
	}
}

func (w *world) onForward(p *process, ev Event) {
	effects := append([]Effect(nil), p.forward.Apply(p.local(w.now), ev)...)
	for _, e := range effects {
		switch e := e.(type) {
		case SendToOwner:
			w.sendToOwner(p, e)
		case FindAnswer:
			w.findAnswer(p, e)
		case ReplyTo:
			w.forwardReply(p, e)
		}
	}
}

func (w *world) startAttempt(p *process, e dispatch.StartAttempt) {
	truth := w.jobs[e.Task.Ticket]
	if truth.refused {
		w.fatalf("start of %v after the reply \"refused\"", e.Task)
	}
	w.tries = append(w.tries, &attempt{owner: p, start: e})
}

// ownerReply takes a reply of the owner to a caller or to a peer.
func (w *world) ownerReply(p *process, e dispatch.ReplyTo) {
	r := w.requests[e.Waiter]
	truth := w.jobs[r.id]
	switch e.Reply.Outcome {
	case api.Refused:
		w.refused(truth)
	case api.Complete:
		if truth.failedAt > 0 {
			w.fatalf("the owner answers complete after another host answered failed")
		}
		if w.now >= truth.minted+truth.ticket.Lifetime() {
			w.fatalf("the owner answers complete after the lifetime")
		}
	}
	if r.peer == nil {
		w.toCaller(r.from, e.Waiter, p, e.Reply)
		return
	}
	w.send(p, r.peer, func() { w.ownReply(r, e.Reply) },
		func() { w.onForward(r.peer, OwnerFailed{Waiter: r.via, Reason: "lost"}) })
}

// ownReply delivers the owner's own reply to the host that forwarded the request.
func (w *world) ownReply(r *request, reply *api.Reply) {
	w.fromOwner = true
	w.onForward(r.peer, OwnerReplied{Waiter: r.via, Reply: reply})
	w.fromOwner = false
}

func (w *world) refused(truth *jobTruth) {
	truth.refused = true
	if len(truth.starts) > 0 {
		w.fatalf("refused, but a task has started")
	}
	for _, a := range w.tries {
		if a.start.Task.Ticket == truth.ticket.ID() {
			w.fatalf("refused after an attempt")
		}
	}
}

// forwardReply checks what a host says about a ticket of another incarnation.
func (w *world) forwardReply(p *process, e ReplyTo) {
	r := w.requests[e.Waiter]
	r.done = true
	truth := w.jobs[r.id]
	if e.Reply.Outcome == api.Complete {
		w.relayed(r, truth)
	}
	lifetimeOver := p.local(w.now) > p.seen[r.id]+truth.ticket.Lifetime()
	if r.came && e.Reply.NotForwarded {
		w.fatalf("the owner is said not to have received a request that it has")
	}
	if e.Reply.Reason != nil && e.Reply.Reason.Code == api.CodeOwnerLost {
		if !truth.owner.dead && w.now <= truth.minted+truth.ticket.Lifetime() {
			w.fatalf("failed before the lifetime of a live owner's ticket has ended")
		}
		w.checkSearch(r, lifetimeOver)
		if truth.failedAt == 0 {
			truth.failedAt = max(w.now, 1)
		}
	}
	if e.Reply.Outcome == api.Unknown && lifetimeOver {
		w.fatalf("unknown after the lifetime")
	}
	w.toCaller(r.from, e.Waiter, p, e.Reply)
}

// checkSearch holds a host that calls a job lost before the lifetime ends to its search.
func (w *world) checkSearch(r *request, lifetimeOver bool) {
	switch {
	case lifetimeOver:
	case !r.search:
		w.fatalf("failed without a search for the answer after the owner's end")
	case r.found:
		w.fatalf("failed although a peer holds the answer")
	}
}

// relayed checks an answer that a host passes on, or has kept for a drained owner.
func (w *world) relayed(r *request, truth *jobTruth) {
	if r.digest == 2 {
		w.fatalf("a reused ticket got the answer of another job")
	}
	// The owner's own reply may be late on its way: it was checked when it was sent, and the
	// caller's rule decides whether it still counts.
	if truth.drained && !w.fromOwner && w.now >= truth.minted+truth.ticket.Lifetime() {
		w.fatalf("a stored answer is given after the lifetime")
	}
}

// sendToOwner does what the shell does with the effect.
func (w *world) sendToOwner(p *process, e SendToOwner) {
	req := e.Request
	var slot int
	if _, err := fmt.Sscanf(req.Ticket.Host, "h%d", &slot); err != nil {
		w.fatalf("host %q", req.Ticket.Host)
	}
	failed := func() {
		w.onForward(p, OwnerFailed{Waiter: req.Waiter, Reason: "lost", NotSent: w.hosts[slot].dead && !w.requests[req.Waiter].came})
	}
	w.messages = append(w.messages, message{from: p, to: w.hosts[slot], lost: failed, deliver: func() {
		q := w.hosts[slot]
		if q.inc != req.Ticket.Incarnation {
			w.send(q, p, func() { w.onForward(p, OwnerReplaced{Waiter: req.Waiter, Now: q.inc}) }, failed)
			return
		}
		w.requests[req.Waiter].came = true
		id := w.newRequest(&request{id: req.ID, peer: p, via: req.Waiter, digest: req.Digest})
		w.ask(q, req.Operation, req.ID, req.Ticket, id, e.Wait <= 0)
	}})
}

// findAnswer asks the peers that p reaches at once; what they say travels as a message.
func (w *world) findAnswer(p *process, e FindAnswer) {
	r := w.requests[e.Request.Waiter]
	r.search = w.jobs[r.id].owner.dead
	var found *api.Reply
	for _, q := range w.hosts {
		if found == nil && q != p && q.runs() && w.connected(p, q) {
			found = q.forward.StoredReply(q.local(w.now), e.Request)
		}
	}
	r.found = found != nil
	w.messages = append(w.messages, message{from: p, to: p,
		deliver: func() { w.searched(p, e, found) },
		lost: func() {
			r.found = false
			w.searched(p, e, nil)
		}})
}

// searched delivers what the peers answered. A stored answer was given within the lifetime
// when they were asked; on its way it is like the owner's own reply.
func (w *world) searched(p *process, e FindAnswer, found *api.Reply) {
	if p.dead {
		return
	}
	w.fromOwner = true
	w.onForward(p, AnswerSearched{Waiter: e.Request.Waiter, Reply: found})
	w.fromOwner = false
}

func (w *world) newRequest(r *request) dispatch.WaiterID {
	w.nextID++
	w.requests[w.nextID] = r
	return w.nextID
}

// ask hands a request to the owner's dispatcher.
func (w *world) ask(p *process, op Operation, id ticket.ID, t ticket.Ticket, waiter dispatch.WaiterID, noWait bool) {
	switch op {
	case Submit:
		w.jobs[id].submitted = true
		w.onDispatch(p, dispatch.Submit{ID: id, Ticket: t, Job: w.jobs[id].job, Digest: w.requests[waiter].digest, Waiter: waiter, NoWait: noWait})
	case Cancel:
		w.onDispatch(p, dispatch.Cancel{ID: id, Waiter: waiter})
	default:
		w.onDispatch(p, dispatch.Await{ID: id, Waiter: waiter, NoWait: noWait})
	}
}

func (w *world) send(from, to *process, deliver, lost func()) {
	w.messages = append(w.messages, message{from: from, to: to, deliver: deliver, lost: lost})
}

func (w *world) toCaller(c *caller, waiter dispatch.WaiterID, from *process, r *api.Reply) {
	w.messages = append(w.messages, message{from: from,
		deliver: func() { w.callerReply(c, waiter, r) },
		lost: func() {
			if c.open == waiter {
				c.open = 0
			}
		}})
}

// callerReply applies the rules of package client to a reply.
func (w *world) callerReply(c *caller, waiter dispatch.WaiterID, r *api.Reply) {
	if c.open != waiter || c.final != "" {
		return
	}
	c.open = 0
	if r.NotForwarded && w.requests[waiter].submit && c.truth.sent == 1 {
		w.abandon(c.truth)
		return
	}
	switch r.Outcome {
	case api.Complete:
		if w.now-c.asked <= c.truth.ticket.Lifetime() || w.rules.acceptLate {
			w.accept(c, r)
		}
	case api.Failed, api.Refused:
		c.final = r.Outcome
	}
}

// abandon takes a new ticket for a job whose only submission did not reach the owner. From
// now on a start with the old ticket would be a second start of the job.
func (w *world) abandon(truth *jobTruth) {
	w.refused(truth)
	for _, c := range w.callers {
		if c.truth == truth {
			c.final = api.Refused
		}
	}
}

// accept checks an answer that a caller takes as complete.
func (w *world) accept(c *caller, r *api.Reply) {
	c.final = api.Complete
	if c.truth.failedAt > 0 && c.truth.failedAt < w.now && !c.truth.owner.dead {
		w.fatalf("complete accepted after a host had answered failed")
	}
	if len(r.Tasks) != len(c.truth.job.Tasks) {
		w.fatalf("complete with %d of %d results", len(r.Tasks), len(c.truth.job.Tasks))
	}
	for i, task := range r.Tasks {
		if c.truth.starts[i] != 1 || string(task.Result) != string(c.truth.results[i]) {
			w.fatalf("task %d: result %s, want %s, %d starts", i, task.Result, c.truth.results[i], c.truth.starts[i])
		}
	}
}
