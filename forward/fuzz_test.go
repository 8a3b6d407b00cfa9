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

// TestFuzzHosts guards against contradictory outcomes, second starts and false refusals
// when hosts are killed, replaced, paused and partitioned.
func TestFuzzHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runHosts(t, switches{}, callerRules{}, "") })
}

// finalMargin is added to a ticket's lifetime in the bound for a caller's final outcome:
// the pause before a caller's next request.
const finalMargin = 100 * time.Millisecond

func runHosts(t *rapid.T, off switches, rules callerRules, only string) {
	w := newWorld(t, off, rules, only)
	actions := map[string]func(*rapid.T){"": w.check}
	for name, f := range map[string]func(*rapid.T){
		"job": w.job, "request": w.request, "request2": w.request, "request3": w.request,
		"deliver": w.deliver, "deliver2": w.deliver, "deliver3": w.deliver, "deliver4": w.deliver, "lose": w.lose,
		"disconnect": w.disconnect, "run": w.run, "outcome": w.outcome, "serve": w.serve, "serve2": w.serve,
		"kill": w.kill, "drain": w.drain, "replace": w.replace, "pause": w.pause, "resume": w.resume,
		"partition": w.partition, "heal": w.heal, "advance": w.advance, "jump": w.jump, "late": w.late,
	} {
		actions[name] = func(t *rapid.T) {
			w.t = t
			f(t)
		}
	}
	t.Repeat(actions)
}

func (w *world) process(t *rapid.T) *process {
	return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
}

// job mints a ticket for a new job. Two callers share it.
func (w *world) job(t *rapid.T) {
	p := w.process(t)
	if !p.runs() {
		t.Skip("host does not run")
	}
	asked := w.now
	w.now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
	window := time.Duration(rapid.IntRange(1, 2).Draw(t, "window")) * time.Second
	tk := p.dispatch.Mint(p.local(w.now), 1, window, time.Duration(rapid.IntRange(1, 3).Draw(t, "longest"))*time.Second)[0]
	job := &api.Job{Schema: 1, Team: "t", Kind: "k", DeadlineMS: int64(rapid.IntRange(200, 3200).Draw(t, "deadline"))}
	for i := range rapid.IntRange(1, 3).Draw(t, "tasks") {
		job.Tasks = append(job.Tasks, api.Task{Payload: json.RawMessage(fmt.Sprint(i))})
	}
	truth := &jobTruth{ticket: tk, job: job, minted: w.now, owner: p, starts: make(map[int]int), results: make(map[int]json.RawMessage)}
	w.jobs[tk.ID()] = truth
	for range 2 {
		w.callers = append(w.callers, &caller{truth: truth, id: tk.ID(), asked: asked})
	}
	if rapid.Bool().Draw(t, "at once") {
		w.requestAt(w.callers[len(w.callers)-2], p, Submit, 10*time.Second)
		if q := w.process(t); q.runs() && q != p {
			w.requestAt(w.callers[len(w.callers)-1], q, Submit, 0)
		}
	}
}

func (w *world) caller(t *rapid.T) *caller {
	if len(w.callers) == 0 {
		t.Skip("no caller")
	}
	return w.callers[len(w.callers)-1-min(rapid.IntRange(0, 5).Draw(t, "caller"), len(w.callers)-1)]
}

// request submits, awaits or cancels at any host.
func (w *world) request(t *rapid.T) {
	c := w.caller(t)
	if c.final != "" || c.open != 0 {
		t.Skip("busy")
	}
	p := w.process(t)
	if !p.runs() {
		t.Skip("host does not answer")
	}
	op := rapid.SampledFrom([]Operation{Submit, Submit, Submit, Submit, Await, Cancel}).Draw(t, "operation")
	wait := rapid.SampledFrom([]time.Duration{0, time.Second, 10 * time.Second}).Draw(t, "wait")
	w.requestAt(c, p, op, wait)
}

func (w *world) requestAt(c *caller, p *process, op Operation, wait time.Duration) {
	if op == Submit {
		c.truth.sent++
	}
	digest := uint64(1)
	if op == Submit && c.truth.submitted && rapid.IntRange(0, 4).Draw(w.t, "reuse") == 0 {
		digest = 2
	}
	c.open = w.newRequest(&request{id: c.id, from: c, digest: digest, submit: op == Submit})
	if p == c.truth.owner {
		w.ask(p, op, c.id, c.truth.ticket, c.open, wait == 0)
		return
	}
	if _, ok := p.seen[c.id]; !ok {
		p.seen[c.id] = p.local(w.now)
	}
	w.onForward(p, Request{ID: c.id, Ticket: c.truth.ticket, Operation: op, Wait: wait, Waiter: c.open, Digest: digest})
}

// disconnect loses a caller's connection. The host may or may not notice.
func (w *world) disconnect(t *rapid.T) {
	c := w.caller(t)
	if c.open == 0 {
		t.Skip("no request")
	}
	gone := c.open
	c.open = 0
	if p := w.process(t); p.runs() {
		w.onForward(p, WaiterGone{Waiter: gone})
		w.onDispatch(p, dispatch.WaiterGone{ID: c.id, Waiter: gone})
	}
}

func (w *world) take(t *rapid.T) message {
	if len(w.messages) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, min(len(w.messages)-1, 3)).Draw(t, "message")
	m := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	return m
}

func (w *world) connected(a, b *process) bool {
	return a == nil || b == nil || !w.cut[[2]int{min(a.slot, b.slot), max(a.slot, b.slot)}]
}

// deliver hands over a message, or reports its loss to the sender.
func (w *world) deliver(t *rapid.T) {
	m := w.take(t)
	switch {
	case m.to != nil && m.to.paused && !m.to.dead:
		w.messages = append(w.messages, m)
	case m.to != nil && !w.connected(m.from, m.to):
		w.fail(m)
	case m.to != nil && w.hosts[m.to.slot].dead:
		w.fail(m)
	case m.to != nil && m.to.dead && m.from.dead:
	default:
		m.deliver()
	}
}

func (w *world) lose(t *rapid.T) { w.fail(w.take(t)) }

func (w *world) fail(m message) {
	if m.lost != nil {
		m.lost()
	}
}

func (w *world) attempt(t *rapid.T) *attempt {
	if len(w.tries) == 0 {
		t.Skip("no attempt")
	}
	return w.tries[len(w.tries)-1-min(rapid.IntRange(0, 5).Draw(t, "attempt"), len(w.tries)-1)]
}

func (w *world) run(t *rapid.T) {
	a := w.attempt(t)
	if a.ran || a.ended {
		t.Skip("ran or refused")
	}
	w.runAttempt(a)
}

func (w *world) runAttempt(a *attempt) {
	if a.ran {
		return
	}
	a.ran = true
	truth, i := w.jobs[a.start.Task.Ticket], a.start.Task.Index
	truth.starts[i]++
	truth.results[i] = json.RawMessage(fmt.Sprintf(`"%s/%d"`, a.start.Task.Ticket, i))
	if truth.starts[i] > 1 {
		w.fatalf("task %v started twice", a.start.Task)
	}
}

func (w *world) outcome(t *rapid.T) {
	a := w.attempt(t)
	if a.ended || !a.owner.runs() {
		t.Skip("ended, or its host does not run")
	}
	w.endAttempt(a)
}

func (w *world) endAttempt(a *attempt) {
	a.ended = true
	ev := dispatch.AttemptEnded{Task: a.start.Task, Attempt: a.start.Attempt, Outcome: dispatch.AttemptNotStarted, Load: -1}
	if a.ran {
		ev.Outcome = dispatch.AttemptCompleted
		ev.Result = w.jobs[a.start.Task.Ticket].results[a.start.Task.Index]
	}
	w.onDispatch(a.owner, ev)
}

// serve lets an endpoint run and answer all that its host has handed out.
func (w *world) serve(t *rapid.T) {
	owner := w.attempt(t).owner
	for i := 0; i < len(w.tries); i++ {
		if a := w.tries[i]; a.owner == owner && !a.ended && owner.runs() {
			w.runAttempt(a)
			w.endAttempt(a)
		}
	}
}

func (w *world) kill(t *rapid.T) {
	p := w.process(t)
	if p.dead || rapid.IntRange(0, 2).Draw(t, "kill") > 0 {
		t.Skip("not killed")
	}
	p.dead = true
}

// drain ends a process without open jobs and hands its answers to a peer.
func (w *world) drain(t *rapid.T) {
	p, q := w.process(t), w.process(t)
	if !p.runs() || !q.runs() || p == q || p.dispatch.OpenJobs() > 0 {
		t.Skip("cannot drain")
	}
	for _, a := range p.dispatch.Unfetched(p.local(w.now)) {
		if !q.forward.Store(q.local(w.now), a, 1) {
			t.Fatal("an answer was not stored")
		}
	}
	for _, truth := range w.jobs {
		truth.drained = truth.drained || truth.owner == p
	}
	p.dead = true
}

func (w *world) replace(t *rapid.T) {
	p := w.process(t)
	if !p.dead {
		t.Skip("alive")
	}
	w.hosts[p.slot] = w.boot(p.slot)
}

func (w *world) pause(t *rapid.T)  { w.process(t).paused = true }
func (w *world) resume(t *rapid.T) { w.process(t).paused = false }

func (w *world) partition(t *rapid.T) {
	a, b := w.process(t).slot, w.process(t).slot
	w.cut[[2]int{min(a, b), max(a, b)}] = a != b
}

func (w *world) heal(_ *rapid.T) { clear(w.cut) }

func (w *world) advance(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
}

// jump goes to the end of a ticket's lifetime, as some host sees it.
func (w *world) jump(t *rapid.T) {
	c := w.caller(t)
	at := c.asked + c.truth.ticket.Lifetime()
	for _, p := range w.hosts {
		if seen, ok := p.seen[c.id]; ok && rapid.Bool().Draw(t, "host's view") {
			at = p.started + seen + c.truth.ticket.Lifetime()
		}
	}
	w.now = max(w.now, at+time.Duration(rapid.IntRange(-1, 1).Draw(t, "off"))*time.Nanosecond)
}

// late asks a host that has seen a ticket again, right after the lifetime in its view.
func (w *world) late(t *rapid.T) {
	c := w.caller(t)
	var p *process
	for _, q := range w.hosts {
		if _, ok := q.seen[c.id]; ok && q.runs() {
			p = q
		}
	}
	if p == nil || c.open != 0 || c.final != "" {
		t.Skip("not seen, or busy")
	}
	w.now = max(w.now, p.started+p.seen[c.id]+c.truth.ticket.Lifetime()+1)
	w.requestAt(c, p, Await, 0)
}

func (w *world) check(t *rapid.T) {
	w.t = t
	for _, p := range w.hosts {
		if p.runs() {
			w.onDispatch(p, dispatch.Tick{})
			w.onForward(p, Tick{})
			w.checkMemory(p)
		}
	}
	for _, c := range w.callers {
		if c.final == "" && !w.rules.acceptLate && w.now-c.asked > c.truth.ticket.Lifetime()+finalMargin {
			c.final = api.Failed // the caller's own rule
		}
	}
	for _, truth := range w.jobs {
		w.checkFinal(truth)
	}
}

// checkFinal holds a running owner to its deadline.
func (w *world) checkFinal(truth *jobTruth) {
	if !truth.owner.runs() || w.now < truth.minted+truth.ticket.Lifetime() {
		return
	}
	for _, j := range truth.owner.dispatch.View(truth.owner.local(w.now)).Jobs {
		if j.Ticket == truth.ticket.ID() {
			w.fatalf("the owner keeps a job after its ticket's lifetime")
		}
	}
}

func (w *world) checkMemory(p *process) {
	if n := len(p.forward.seen); n > len(p.seen) {
		w.fatalf("%d tickets remembered, %d seen", n, len(p.seen))
	}
	if n := len(p.forward.gone); n > int(w.processes) {
		w.fatalf("%d incarnations remembered, %d existed", n, w.processes)
	}
	for id := range p.forward.waiting {
		if r := w.requests[id]; r == nil || r.done {
			w.fatalf("request %d is unknown or answered, and still kept", id)
		}
	}
}
