package forward

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/dispatch"
)

// Guards against contradictory outcomes, second starts and false refusals when hosts are killed,
// replaced, paused and separated by network partitions.
func TestFuzzHostFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runModel(t, faults{}, disabledCallerRules{}, "") })
}

// callerPause is the pause before a caller's next request. A caller has a final outcome no later than
// this long after the ticket's lifetime.
const callerPause = 100 * time.Millisecond

// runModel plays random actions against a cluster. If onlyCheck is set, only checks whose message
// contains it count.
func runModel(t *rapid.T, injected faults, disabledRules disabledCallerRules, onlyCheck string) {
	cl := newCluster(t, injected, disabledRules, onlyCheck)
	actions := map[string]func(*rapid.T){"": cl.checkInvariants}
	for name, f := range map[string]func(*rapid.T){
		"job": cl.startJob, "request": cl.sendRequest, "request2": cl.sendRequest, "request3": cl.sendRequest,
		"deliver": cl.deliverMessage, "deliver2": cl.deliverMessage, "deliver3": cl.deliverMessage, "deliver4": cl.deliverMessage, "lose": cl.loseMessage,
		"disconnect": cl.loseCallerConnection, "run": cl.runTask, "outcome": cl.reportOutcome, "serve": cl.completeOpenAttempts, "serve2": cl.completeOpenAttempts,
		"kill": cl.killProcess, "drain": cl.drainProcess, "replace": cl.replaceProcess, "pause": cl.pauseProcess, "resume": cl.resumeProcess,
		"partition": cl.cutLink, "heal": cl.healLinks, "advance": cl.advanceClock, "jump": cl.jumpToLifetimeEnd, "late": cl.askAfterLifetime,
	} {
		actions[name] = func(t *rapid.T) {
			cl.t = t
			f(t)
		}
	}
	t.Repeat(actions)
}

func (cl *cluster) drawProcess(t *rapid.T) *process {
	return cl.hosts[rapid.IntRange(0, len(cl.hosts)-1).Draw(t, "host")]
}

// startJob mints a ticket for a new job. Two callers share it.
func (cl *cluster) startJob(t *rapid.T) {
	p := cl.drawProcess(t)
	if !p.isRunning() {
		t.Skip("host does not run")
	}
	asked := cl.now
	cl.now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
	window := time.Duration(rapid.IntRange(1, 2).Draw(t, "window")) * time.Second
	tk := p.dispatch.Mint(p.localTime(cl.now), 1, window, time.Duration(rapid.IntRange(1, 3).Draw(t, "longest"))*time.Second)[0]
	job := &api.Job{Schema: 1, Team: "t", Kind: "k", DeadlineMS: int64(rapid.IntRange(200, 3200).Draw(t, "deadline"))}
	for i := range rapid.IntRange(1, 3).Draw(t, "tasks") {
		job.Tasks = append(job.Tasks, api.Task{Payload: json.RawMessage(fmt.Sprint(i))})
	}
	record := &jobRecord{ticket: tk, job: job, mintedAt: cl.now, owner: p, starts: make(map[int]int), results: make(map[int]json.RawMessage)}
	cl.jobs[tk.ID()] = record
	for range 2 {
		cl.callers = append(cl.callers, &caller{record: record, id: tk.ID(), askedAt: asked})
	}
	if rapid.Bool().Draw(t, "at once") {
		cl.sendRequestTo(cl.callers[len(cl.callers)-2], p, Submit, 10*time.Second)
		if q := cl.drawProcess(t); q.isRunning() && q != p {
			cl.sendRequestTo(cl.callers[len(cl.callers)-1], q, Submit, 0)
		}
	}
}

func (cl *cluster) drawCaller(t *rapid.T) *caller {
	if len(cl.callers) == 0 {
		t.Skip("no caller")
	}
	return cl.callers[len(cl.callers)-1-min(rapid.IntRange(0, 5).Draw(t, "caller"), len(cl.callers)-1)]
}

// sendRequest sends a submission, an await or a cancellation to any host.
func (cl *cluster) sendRequest(t *rapid.T) {
	c := cl.drawCaller(t)
	if c.finalOutcome != "" || c.openRequest != 0 {
		t.Skip("busy")
	}
	p := cl.drawProcess(t)
	if !p.isRunning() {
		t.Skip("host does not answer")
	}
	op := rapid.SampledFrom([]Operation{Submit, Submit, Submit, Submit, Await, Cancel}).Draw(t, "operation")
	wait := rapid.SampledFrom([]time.Duration{0, time.Second, 10 * time.Second}).Draw(t, "wait")
	cl.sendRequestTo(c, p, op, wait)
}

func (cl *cluster) sendRequestTo(c *caller, p *process, op Operation, wait time.Duration) {
	if op == Submit {
		c.record.submissions++
	}
	digest := uint64(1)
	if op == Submit && c.record.submitted && rapid.IntRange(0, 4).Draw(cl.t, "reuse") == 0 {
		digest = 2
	}
	c.openRequest = cl.newRequest(&request{id: c.id, fromCaller: c, digest: digest, isSubmission: op == Submit})
	if p == c.record.owner {
		cl.askOwner(p, op, c.id, c.record.ticket, c.openRequest, wait == 0)
		return
	}
	if _, ok := p.firstSeen[c.id]; !ok {
		p.firstSeen[c.id] = p.localTime(cl.now)
	}
	cl.applyForward(p, Request{ID: c.id, Ticket: c.record.ticket, Operation: op, Wait: wait, Waiter: c.openRequest, Digest: digest})
}

// loseCallerConnection breaks a caller's connection. The host that had the request may or may not
// notice it.
func (cl *cluster) loseCallerConnection(t *rapid.T) {
	c := cl.drawCaller(t)
	if c.openRequest == 0 {
		t.Skip("no request")
	}
	lost := c.openRequest
	c.openRequest = 0
	if p := cl.drawProcess(t); p.isRunning() {
		cl.applyForward(p, WaiterGone{Waiter: lost})
		cl.applyDispatch(p, dispatch.WaiterGone{ID: c.id, Waiter: lost})
	}
}

func (cl *cluster) takeMessage(t *rapid.T) message {
	if len(cl.messages) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, min(len(cl.messages)-1, 3)).Draw(t, "message")
	m := cl.messages[i]
	cl.messages = append(cl.messages[:i:i], cl.messages[i+1:]...)
	return m
}

func (cl *cluster) connected(a, b *process) bool {
	return a == nil || b == nil || !cl.cutLinks[[2]int{min(a.slot, b.slot), max(a.slot, b.slot)}]
}

// deliverMessage delivers a message, or reports its loss to the sender.
func (cl *cluster) deliverMessage(t *rapid.T) {
	m := cl.takeMessage(t)
	switch {
	case m.to != nil && m.to.paused && !m.to.dead:
		cl.messages = append(cl.messages, m)
	case m.to != nil && !cl.connected(m.from, m.to):
		cl.reportLoss(m)
	case m.to != nil && cl.hosts[m.to.slot].dead:
		cl.reportLoss(m)
	case m.to != nil && m.to.dead && m.from.dead:
	default:
		m.onDelivered()
	}
}

func (cl *cluster) loseMessage(t *rapid.T) { cl.reportLoss(cl.takeMessage(t)) }

func (cl *cluster) reportLoss(m message) {
	if m.onLost != nil {
		m.onLost()
	}
}

func (cl *cluster) drawAttempt(t *rapid.T) *attempt {
	if len(cl.attempts) == 0 {
		t.Skip("no attempt")
	}
	return cl.attempts[len(cl.attempts)-1-min(rapid.IntRange(0, 5).Draw(t, "attempt"), len(cl.attempts)-1)]
}

func (cl *cluster) runTask(t *rapid.T) {
	a := cl.drawAttempt(t)
	if a.ran || a.ended {
		t.Skip("ran or refused")
	}
	cl.runAttempt(a)
}

func (cl *cluster) runAttempt(a *attempt) {
	if a.ran {
		return
	}
	a.ran = true
	record, i := cl.jobs[a.start.Task.Ticket], a.start.Task.Index
	record.starts[i]++
	record.results[i] = json.RawMessage(fmt.Sprintf(`"%s/%d"`, a.start.Task.Ticket, i))
	if record.starts[i] > 1 {
		cl.fatalf("task %v started twice", a.start.Task)
	}
}

func (cl *cluster) reportOutcome(t *rapid.T) {
	a := cl.drawAttempt(t)
	if a.ended || !a.owner.isRunning() {
		t.Skip("ended, or its host does not run")
	}
	cl.endAttempt(a)
}

func (cl *cluster) endAttempt(a *attempt) {
	a.ended = true
	ev := dispatch.AttemptEnded{Task: a.start.Task, Attempt: a.start.Attempt, Outcome: dispatch.AttemptNotStarted, ReportedLoad: -1}
	if a.ran {
		ev.Outcome = dispatch.AttemptCompleted
		ev.Result = cl.jobs[a.start.Task.Ticket].results[a.start.Task.Index]
	}
	cl.applyDispatch(a.owner, ev)
}

// completeOpenAttempts runs the tasks of all open attempts of one process and reports their outcomes.
func (cl *cluster) completeOpenAttempts(t *rapid.T) {
	owner := cl.drawAttempt(t).owner
	for i := 0; i < len(cl.attempts); i++ {
		if a := cl.attempts[i]; a.owner == owner && !a.ended && owner.isRunning() {
			cl.runAttempt(a)
			cl.endAttempt(a)
		}
	}
}

func (cl *cluster) killProcess(t *rapid.T) {
	p := cl.drawProcess(t)
	if p.dead || rapid.IntRange(0, 2).Draw(t, "kill") > 0 {
		t.Skip("not killed")
	}
	p.dead = true
}

// drainProcess ends a process that has no open jobs and hands its answers over to a peer.
func (cl *cluster) drainProcess(t *rapid.T) {
	p, q := cl.drawProcess(t), cl.drawProcess(t)
	if !p.isRunning() || !q.isRunning() || p == q || p.dispatch.OpenJobs() > 0 {
		t.Skip("cannot drain")
	}
	for _, a := range p.dispatch.UnfetchedAnswers(p.localTime(cl.now)) {
		if !q.forward.StoreAnswer(q.localTime(cl.now), a, 1) {
			t.Fatal("an answer was not stored")
		}
	}
	for _, record := range cl.jobs {
		record.drained = record.drained || record.owner == p
	}
	p.dead = true
}

func (cl *cluster) replaceProcess(t *rapid.T) {
	p := cl.drawProcess(t)
	if !p.dead {
		t.Skip("alive")
	}
	cl.hosts[p.slot] = cl.startProcess(p.slot)
}

func (cl *cluster) pauseProcess(t *rapid.T)  { cl.drawProcess(t).paused = true }
func (cl *cluster) resumeProcess(t *rapid.T) { cl.drawProcess(t).paused = false }

func (cl *cluster) cutLink(t *rapid.T) {
	a, b := cl.drawProcess(t).slot, cl.drawProcess(t).slot
	cl.cutLinks[[2]int{min(a, b), max(a, b)}] = a != b
}

func (cl *cluster) healLinks(_ *rapid.T) { clear(cl.cutLinks) }

func (cl *cluster) advanceClock(t *rapid.T) {
	cl.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
}

// jumpToLifetimeEnd advances the clock to about the end of a ticket's lifetime as the caller or some
// host sees it.
func (cl *cluster) jumpToLifetimeEnd(t *rapid.T) {
	c := cl.drawCaller(t)
	at := c.askedAt + c.record.ticket.Lifetime()
	for _, p := range cl.hosts {
		if seen, ok := p.firstSeen[c.id]; ok && rapid.Bool().Draw(t, "host's view") {
			at = p.startedAt + seen + c.record.ticket.Lifetime()
		}
	}
	cl.now = max(cl.now, at+time.Duration(rapid.IntRange(-1, 1).Draw(t, "off"))*time.Nanosecond)
}

// askAfterLifetime sends a request to a host that has seen the ticket before, right after the end of
// the lifetime in the host's view.
func (cl *cluster) askAfterLifetime(t *rapid.T) {
	c := cl.drawCaller(t)
	var p *process
	for _, q := range cl.hosts {
		if _, ok := q.firstSeen[c.id]; ok && q.isRunning() {
			p = q
		}
	}
	if p == nil || c.openRequest != 0 || c.finalOutcome != "" {
		t.Skip("not seen, or busy")
	}
	cl.now = max(cl.now, p.startedAt+p.firstSeen[c.id]+c.record.ticket.Lifetime()+1)
	cl.sendRequestTo(c, p, Await, 0)
}

func (cl *cluster) checkInvariants(t *rapid.T) {
	cl.t = t
	for _, p := range cl.hosts {
		if p.isRunning() {
			cl.applyDispatch(p, dispatch.Tick{})
			cl.applyForward(p, Tick{})
			cl.checkMemory(p)
		}
	}
	for _, c := range cl.callers {
		if c.finalOutcome == "" && !cl.disabledRules.acceptLateAnswers && cl.now-c.askedAt > c.record.ticket.Lifetime()+callerPause {
			c.finalOutcome = api.Failed // a caller's own rule after the lifetime
		}
	}
	for _, record := range cl.jobs {
		cl.checkRecordsExpire(record)
	}
}

// checkRecordsExpire checks that a running owner deletes a job at the end of the ticket's lifetime.
func (cl *cluster) checkRecordsExpire(record *jobRecord) {
	if !record.owner.isRunning() || cl.now < record.mintedAt+record.ticket.Lifetime() {
		return
	}
	for _, j := range record.owner.dispatch.View(record.owner.localTime(cl.now)).Jobs {
		if j.Ticket == record.ticket.ID() {
			cl.fatalf("the owner keeps a job after its ticket's lifetime")
		}
	}
}

func (cl *cluster) checkMemory(p *process) {
	if n := len(p.forward.firstSeen); n > len(p.firstSeen) {
		cl.fatalf("%d tickets remembered, %d seen", n, len(p.firstSeen))
	}
	if n := len(p.forward.goneOwners); n > int(cl.processCount) {
		cl.fatalf("%d incarnations remembered, %d existed", n, cl.processCount)
	}
	for id := range p.forward.pendingRequests {
		if r := cl.requests[id]; r == nil || r.answered {
			cl.fatalf("request %d is unknown or answered, and still kept", id)
		}
	}
}
