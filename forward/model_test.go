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

// cluster simulates several hosts, each with the state machines of dispatch and forward, the messages
// between them, and callers that follow the rules of package client. It also checks the replies.
type cluster struct {
	t                      *rapid.T
	injected               faults
	disabledRules          disabledCallerRules
	now                    time.Duration
	hosts                  []*process // by slot; a killed process stays until it is replaced
	cutLinks               map[[2]int]bool
	messages               []message
	callers                []*caller
	jobs                   map[ticket.ID]*jobRecord
	requests               map[dispatch.WaiterID]*request
	attempts               []*attempt
	lastWaiterID           dispatch.WaiterID
	processCount           ticket.Incarnation
	onlyCheck              string // if set, only checks whose message contains it count
	deliveringCheckedReply bool   // a reply is being delivered that was checked when it was sent
}

// disabledCallerRules selects rules that callers do not follow.
type disabledCallerRules struct{ acceptLateAnswers bool }

// process is one run of a daemon. Its clock starts at 0 with the process.
type process struct {
	slot        int
	incarnation ticket.Incarnation
	startedAt   time.Duration
	dispatch    *dispatch.State
	forward     *State
	paused      bool
	dead        bool
	firstSeen   map[ticket.ID]time.Duration
}

// jobRecord records what really happened to the job of a ticket.
type jobRecord struct {
	ticket      ticket.Ticket
	job         *api.Job
	mintedAt    time.Duration
	owner       *process
	drained     bool // the owner has drained and handed over its answers
	starts      map[int]int
	results     map[int]json.RawMessage
	refused     bool
	submissions int           // submissions by callers
	submitted   bool          // the owner has received a submission; the first one has digest 1
	failedAt    time.Duration // when a host first answered "failed"; 0 for never
}

// caller is one of the callers that share a ticket.
type caller struct {
	record       *jobRecord
	id           ticket.ID
	askedAt      time.Duration
	openRequest  dispatch.WaiterID // 0 for none
	finalOutcome api.Outcome
}

// request is a request that a process has to answer. It comes from a caller or is forwarded by a
// peer.
type request struct {
	id                    ticket.ID
	fromCaller            *caller
	peer                  *process
	peerRequest           dispatch.WaiterID // the peer's request
	digest                uint64            // of the job, for a submission
	answered              bool              // a forwarding host has replied
	isSubmission          bool              // a caller's submission
	reachedOwner          bool              // the owner has received it from a forwarding host
	searchedAfterOwnerEnd bool              // the peers were searched after the owner's process had ended
	answerFound           bool              // the search found the answer
}

// message is a message in transit. onDelivered must not be nil; onLost may be nil.
type message struct {
	to          *process // nil for a caller
	from        *process // nil for a caller
	onDelivered func()
	onLost      func()
}

type attempt struct {
	owner *process
	start dispatch.StartAttempt
	ran   bool
	ended bool
}

func newCluster(t *rapid.T, injected faults, disabledRules disabledCallerRules, onlyCheck string) *cluster {
	cl := &cluster{t: t, onlyCheck: onlyCheck, injected: injected, disabledRules: disabledRules, cutLinks: make(map[[2]int]bool),
		jobs: make(map[ticket.ID]*jobRecord), requests: make(map[dispatch.WaiterID]*request)}
	for slot := range 3 {
		cl.hosts = append(cl.hosts, cl.startProcess(slot))
	}
	return cl
}

// fatalf fails the test. If onlyCheck is set, messages that do not contain it are ignored.
func (cl *cluster) fatalf(format string, args ...any) {
	if message := fmt.Sprintf(format, args...); strings.Contains(message, cl.onlyCheck) {
		cl.t.Fatal(message)
	}
}

func (cl *cluster) startProcess(slot int) *process {
	cl.processCount++
	p := &process{slot: slot, incarnation: cl.processCount, startedAt: cl.now, firstSeen: make(map[ticket.ID]time.Duration), forward: New()}
	p.forward.injected = cl.injected
	p.dispatch = dispatch.New(dispatch.Options{Host: fmt.Sprintf("h%d", slot), Incarnation: p.incarnation, Zone: "a", Seed: 1})
	cl.applyDispatch(p, dispatch.PolicyChanged{Policy: &dispatch.Policy{
		Kinds: map[string]dispatch.Kind{"k": {Group: "g"}}, Teams: map[string]dispatch.Team{"t": {Weight: 1}}, MaxTasks: 8}})
	cl.applyDispatch(p, dispatch.EndpointsChanged{Endpoints: []place.Endpoint{
		{ID: "m-1", Zone: "a", Group: "g", Slots: 4}, {ID: "m-2", Zone: "a", Group: "g", Slots: 4}}})
	return p
}

func (p *process) localTime(now time.Duration) time.Duration { return now - p.startedAt }
func (p *process) isRunning() bool                           { return !p.dead && !p.paused }

func (cl *cluster) applyDispatch(p *process, ev dispatch.Event) {
	effects := append([]dispatch.Effect(nil), p.dispatch.Apply(p.localTime(cl.now), ev)...)
	for _, e := range effects {
		switch e := e.(type) {
		case dispatch.StartAttempt:
			cl.recordAttempt(p, e)
		case dispatch.ReplyTo:
			cl.sendOwnerReply(p, e)
		case dispatch.Violation:
			cl.fatalf("violation: %s", e.Message)
		}
	}
}

func (cl *cluster) applyForward(p *process, ev Event) {
	effects := append([]Effect(nil), p.forward.Apply(p.localTime(cl.now), ev)...)
	for _, e := range effects {
		switch e := e.(type) {
		case SendToOwner:
			cl.forwardToOwner(p, e)
		case FindAnswer:
			cl.searchPeers(p, e)
		case ReplyTo:
			cl.checkForwardReply(p, e)
		}
	}
}

func (cl *cluster) recordAttempt(p *process, e dispatch.StartAttempt) {
	record := cl.jobs[e.Task.Ticket]
	if record.refused {
		cl.fatalf("start of %v after the reply \"refused\"", e.Task)
	}
	cl.attempts = append(cl.attempts, &attempt{owner: p, start: e})
}

// sendOwnerReply checks a reply of the owner and sends it to the caller or to the peer that forwarded
// the request.
func (cl *cluster) sendOwnerReply(p *process, e dispatch.ReplyTo) {
	r := cl.requests[e.Waiter]
	record := cl.jobs[r.id]
	switch e.Reply.Outcome {
	case api.Refused:
		cl.markRefused(record)
	case api.Complete:
		if record.failedAt > 0 {
			cl.fatalf("the owner answers complete after another host answered failed")
		}
		if cl.now >= record.mintedAt+record.ticket.Lifetime() {
			cl.fatalf("the owner answers complete after the lifetime")
		}
	}
	if r.peer == nil {
		cl.replyToCaller(r.fromCaller, e.Waiter, p, e.Reply)
		return
	}
	cl.sendMessage(p, r.peer, func() { cl.deliverOwnerReply(r, e.Reply) },
		func() { cl.applyForward(r.peer, OwnerFailed{Waiter: r.peerRequest, Reason: "lost"}) })
}

// deliverOwnerReply delivers the owner's reply to the host that forwarded the request.
func (cl *cluster) deliverOwnerReply(r *request, reply *api.Reply) {
	cl.deliveringCheckedReply = true
	cl.applyForward(r.peer, OwnerReplied{Waiter: r.peerRequest, Reply: reply})
	cl.deliveringCheckedReply = false
}

// markRefused records that the owner refused the job, and checks that no attempt was made for it.
func (cl *cluster) markRefused(record *jobRecord) {
	record.refused = true
	if len(record.starts) > 0 {
		cl.fatalf("refused, but a task has started")
	}
	for _, a := range cl.attempts {
		if a.start.Task.Ticket == record.ticket.ID() {
			cl.fatalf("refused after an attempt")
		}
	}
}

// checkForwardReply checks a host's reply about a ticket of another incarnation and sends it to the
// caller.
func (cl *cluster) checkForwardReply(p *process, e ReplyTo) {
	r := cl.requests[e.Waiter]
	r.answered = true
	record := cl.jobs[r.id]
	if e.Reply.Outcome == api.Complete {
		cl.checkRelayedAnswer(r, record)
	}
	lifetimeOver := p.localTime(cl.now) > p.firstSeen[r.id]+record.ticket.Lifetime()
	if r.reachedOwner && e.Reply.NotForwarded {
		cl.fatalf("the owner is said not to have received a request that it has")
	}
	if e.Reply.Reason != nil && e.Reply.Reason.Code == api.CodeOwnerLost {
		if !record.owner.dead && cl.now <= record.mintedAt+record.ticket.Lifetime() {
			cl.fatalf("failed before the lifetime of a live owner's ticket has ended")
		}
		cl.checkSearchBeforeFailure(r, lifetimeOver)
		if record.failedAt == 0 {
			record.failedAt = max(cl.now, 1)
		}
	}
	if e.Reply.Outcome == api.Unknown && lifetimeOver {
		cl.fatalf("unknown after the lifetime")
	}
	cl.replyToCaller(r.fromCaller, e.Waiter, p, e.Reply)
}

// checkSearchBeforeFailure checks that a host which answers before the end of the lifetime that a job
// is lost has searched for the answer and not found it.
func (cl *cluster) checkSearchBeforeFailure(r *request, lifetimeOver bool) {
	switch {
	case lifetimeOver:
	case !r.searchedAfterOwnerEnd:
		cl.fatalf("failed without a search for the answer after the owner's end")
	case r.answerFound:
		cl.fatalf("failed although a peer holds the answer")
	}
}

// checkRelayedAnswer checks a complete answer that a host passes on or has stored for a drained owner.
func (cl *cluster) checkRelayedAnswer(r *request, record *jobRecord) {
	if r.digest == 2 {
		cl.fatalf("a reused ticket got the answer of another job")
	}
	// The owner's own reply may have been delayed in transit. It was checked when it was sent, and
	// the caller's rule decides whether it still counts.
	if record.drained && !cl.deliveringCheckedReply && cl.now >= record.mintedAt+record.ticket.Lifetime() {
		cl.fatalf("a stored answer is given after the lifetime")
	}
}

// forwardToOwner does what the daemon does with the effect.
func (cl *cluster) forwardToOwner(p *process, e SendToOwner) {
	req := e.Request
	var slot int
	if _, err := fmt.Sscanf(req.Ticket.Host, "h%d", &slot); err != nil {
		cl.fatalf("host %q", req.Ticket.Host)
	}
	failed := func() {
		cl.applyForward(p, OwnerFailed{Waiter: req.Waiter, Reason: "lost", NotSent: cl.hosts[slot].dead && !cl.requests[req.Waiter].reachedOwner})
	}
	cl.messages = append(cl.messages, message{from: p, to: cl.hosts[slot], onLost: failed, onDelivered: func() {
		q := cl.hosts[slot]
		if q.incarnation != req.Ticket.Incarnation {
			cl.sendMessage(q, p, func() { cl.applyForward(p, OwnerReplaced{Waiter: req.Waiter, CurrentIncarnation: q.incarnation}) }, failed)
			return
		}
		cl.requests[req.Waiter].reachedOwner = true
		id := cl.newRequest(&request{id: req.ID, peer: p, peerRequest: req.Waiter, digest: req.Digest})
		cl.askOwner(q, req.Operation, req.ID, req.Ticket, id, e.Wait <= 0)
	}})
}

// searchPeers asks the peers that p can reach, without delay. Their answer travels back as a message.
func (cl *cluster) searchPeers(p *process, e FindAnswer) {
	r := cl.requests[e.Request.Waiter]
	r.searchedAfterOwnerEnd = cl.jobs[r.id].owner.dead
	var found *api.Reply
	for _, q := range cl.hosts {
		if found == nil && q != p && q.isRunning() && cl.connected(p, q) {
			found = q.forward.StoredReply(q.localTime(cl.now), e.Request)
		}
	}
	r.answerFound = found != nil
	cl.messages = append(cl.messages, message{from: p, to: p,
		onDelivered: func() { cl.deliverSearchResult(p, e, found) },
		onLost: func() {
			r.answerFound = false
			cl.deliverSearchResult(p, e, nil)
		}})
}

// deliverSearchResult delivers the answer of the peers. A stored answer was given within the lifetime
// when the peers were asked. In transit it may be delayed like the owner's own reply.
func (cl *cluster) deliverSearchResult(p *process, e FindAnswer, found *api.Reply) {
	if p.dead {
		return
	}
	cl.deliveringCheckedReply = true
	cl.applyForward(p, AnswerSearched{Waiter: e.Request.Waiter, Reply: found})
	cl.deliveringCheckedReply = false
}

func (cl *cluster) newRequest(r *request) dispatch.WaiterID {
	cl.lastWaiterID++
	cl.requests[cl.lastWaiterID] = r
	return cl.lastWaiterID
}

// askOwner applies a request to the owner's dispatch state.
func (cl *cluster) askOwner(p *process, op Operation, id ticket.ID, t ticket.Ticket, waiter dispatch.WaiterID, noWait bool) {
	switch op {
	case Submit:
		cl.jobs[id].submitted = true
		cl.applyDispatch(p, dispatch.Submit{ID: id, Ticket: t, Job: cl.jobs[id].job, Digest: cl.requests[waiter].digest, Waiter: waiter, NoWait: noWait})
	case Cancel:
		cl.applyDispatch(p, dispatch.Cancel{ID: id, Waiter: waiter})
	default:
		cl.applyDispatch(p, dispatch.Await{ID: id, Waiter: waiter, NoWait: noWait})
	}
}

func (cl *cluster) sendMessage(from, to *process, deliver, lost func()) {
	cl.messages = append(cl.messages, message{from: from, to: to, onDelivered: deliver, onLost: lost})
}

func (cl *cluster) replyToCaller(c *caller, waiter dispatch.WaiterID, from *process, r *api.Reply) {
	cl.messages = append(cl.messages, message{from: from,
		onDelivered: func() { cl.handleCallerReply(c, waiter, r) },
		onLost: func() {
			if c.openRequest == waiter {
				c.openRequest = 0
			}
		}})
}

// handleCallerReply applies the rules of package client to a reply.
func (cl *cluster) handleCallerReply(c *caller, waiter dispatch.WaiterID, r *api.Reply) {
	if c.openRequest != waiter || c.finalOutcome != "" {
		return
	}
	c.openRequest = 0
	if r.NotForwarded && cl.requests[waiter].isSubmission && c.record.submissions == 1 {
		cl.takeNewTicket(c.record)
		return
	}
	switch r.Outcome {
	case api.Complete:
		if cl.now-c.askedAt <= c.record.ticket.Lifetime() || cl.disabledRules.acceptLateAnswers {
			cl.acceptComplete(c, r)
		}
	case api.Failed, api.Refused:
		c.finalOutcome = r.Outcome
	}
}

// takeNewTicket stands for callers that take a new ticket for a job whose only submission did not
// reach the owner. From now on a start with the old ticket would be a second start of the job, so
// the old ticket counts as refused.
func (cl *cluster) takeNewTicket(record *jobRecord) {
	cl.markRefused(record)
	for _, c := range cl.callers {
		if c.record == record {
			c.finalOutcome = api.Refused
		}
	}
}

// acceptComplete checks an answer that a caller accepts as complete.
func (cl *cluster) acceptComplete(c *caller, r *api.Reply) {
	c.finalOutcome = api.Complete
	if c.record.failedAt > 0 && c.record.failedAt < cl.now && !c.record.owner.dead {
		cl.fatalf("complete accepted after a host had answered failed")
	}
	if len(r.Tasks) != len(c.record.job.Tasks) {
		cl.fatalf("complete with %d of %d results", len(r.Tasks), len(c.record.job.Tasks))
	}
	for i, task := range r.Tasks {
		if c.record.starts[i] != 1 || string(task.Result) != string(c.record.results[i]) {
			cl.fatalf("task %d: result %s, want %s, %d starts", i, task.Result, c.record.results[i], c.record.starts[i])
		}
	}
}
