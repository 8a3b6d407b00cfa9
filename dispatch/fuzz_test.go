package dispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/place"
)

// TestFuzzDispatch guards against a second start, a false "not run", a partial or crossed
// answer, a second outcome and unbounded records, under arbitrary orders of events.
func TestFuzzDispatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runMachine(t, switches{}, "") })
}

// maxModelBytes holds about 20 jobs.
const maxModelBytes = 32 << 10

func runMachine(t *rapid.T, off switches, only string) {
	m := newModel(t, off, only)
	m.policy(t)
	m.endpoints(t)
	act := func(f func(*rapid.T)) func(*rapid.T) {
		return func(t *rapid.T) {
			m.t = t
			f(t)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"":          m.check,
		"mint":      act(m.mint),
		"submit":    act(m.submit),
		"submit2":   act(m.submit),
		"await":     act(m.await),
		"cancel":    act(m.cancel),
		"gone":      act(m.gone),
		"timeout":   act(m.timeout),
		"run":       act(m.run),
		"outcome":   act(m.outcome),
		"outcome2":  act(m.outcome),
		"serve":     act(m.serve),
		"crossed":   act(m.crossed),
		"advance":   act(m.advance),
		"pause":     act(m.pause),
		"fetch":     act(m.fetch),
		"policy":    act(m.policy),
		"endpoints": act(m.endpoints),
		"drain":     act(m.drain),
	})
}

func (m *model) mint(t *rapid.T) {
	window := time.Duration(rapid.IntRange(1, 4).Draw(t, "window")) * time.Second
	longest := time.Duration(rapid.IntRange(2, 8).Draw(t, "longest")) * time.Second
	for _, tk := range m.s.Mint(m.now, rapid.IntRange(1, 2).Draw(t, "count"), window, longest) {
		mt := &modelTicket{id: tk.ID(), ticket: tk, minted: m.now}
		m.tickets = append(m.tickets, mt)
		m.byID[mt.id] = mt
	}
}

// pick draws a ticket, recent ones more often.
func (m *model) pick(t *rapid.T) *modelTicket {
	if len(m.tickets) == 0 {
		t.Skip("no ticket")
	}
	back := min(rapid.IntRange(0, 5).Draw(t, "ticket"), len(m.tickets)-1)
	return m.tickets[len(m.tickets)-1-back]
}

func (m *model) submit(t *rapid.T) {
	tk := m.pick(t)
	variant := 0
	if rapid.IntRange(0, 4).Draw(t, "reuse") == 0 {
		variant = 1
	}
	job := tk.job
	if job == nil || variant != 0 {
		job = m.drawJob(t, variant)
	}
	digest := uint64(variant) + 1
	if tk.job == nil {
		tk.job, tk.digest, tk.first = job, digest, m.now
		tk.deadline = m.now + min(job.Deadline(), tk.ticket.MaxDeadline)
	}
	w := m.waiter(tk)
	m.waiters[w].submit, m.waiters[w].digest = true, digest
	m.apply(Submit{ID: tk.id, Ticket: tk.ticket, Job: job, Digest: digest, Waiter: w, NoWait: rapid.Bool().Draw(t, "no wait")})
}

func (m *model) drawJob(t *rapid.T, variant int) *api.Job {
	job := &api.Job{Schema: 1, Team: rapid.SampledFrom([]string{"t1", "t1", "t1", "t2", "none"}).Draw(t, "team"),
		Kind:       rapid.SampledFrom([]string{"k1", "k1", "k1", "k1", "k2", "none"}).Draw(t, "kind"),
		DeadlineMS: int64(rapid.SampledFrom([]int{1, 100, 2000, 3000, 5000, 8000, 9000}).Draw(t, "deadline"))}
	for i := range rapid.IntRange(1, 4).Draw(t, "tasks") {
		job.Tasks = append(job.Tasks, api.Task{Payload: json.RawMessage(fmt.Sprintf("[%d,%d]", variant, i))})
	}
	return job
}

func (m *model) waiter(tk *modelTicket) WaiterID {
	m.nextID++
	m.waiters[m.nextID] = &modelWaiter{tk: tk}
	return m.nextID
}

func (m *model) await(t *rapid.T) {
	tk := m.pick(t)
	m.apply(Await{ID: tk.id, Waiter: m.waiter(tk), NoWait: rapid.Bool().Draw(t, "no wait")})
}

func (m *model) cancel(t *rapid.T) {
	tk := m.pick(t)
	m.apply(Cancel{ID: tk.id, Waiter: m.waiter(tk)})
}

// fetch reports that a caller or a peer has taken the final reply.
func (m *model) fetch(t *rapid.T) {
	tk := m.pick(t)
	if tk.final == "" {
		t.Skip("no final reply")
	}
	tk.fetched = true
	m.apply(AnswerFetched{ID: tk.id, Relayed: rapid.Bool().Draw(t, "relayed")})
}

// pending draws a request without a reply.
func (m *model) pending(t *rapid.T) (WaiterID, *modelWaiter) {
	var open []WaiterID
	for id := WaiterID(1); id <= m.nextID; id++ {
		if w := m.waiters[id]; w != nil && !w.done {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		t.Skip("no open request")
	}
	id := rapid.SampledFrom(open).Draw(t, "request")
	return id, m.waiters[id]
}

func (m *model) gone(t *rapid.T) {
	id, w := m.pending(t)
	m.apply(WaiterGone{ID: w.tk.id, Waiter: id})
	w.done = true
}

func (m *model) timeout(t *rapid.T) {
	id, w := m.pending(t)
	m.apply(WaiterTimeout{ID: w.tk.id, Waiter: id})
	if !w.done {
		m.fatalf("request %d has no reply after its wait", id)
	}
}

func (m *model) attempt(t *rapid.T) *modelAttempt {
	if len(m.tries) == 0 {
		t.Skip("no attempt")
	}
	back := min(rapid.IntRange(0, 7).Draw(t, "attempt"), len(m.tries)-1)
	return m.tries[len(m.tries)-1-back]
}

// run starts a task at its endpoint.
func (m *model) run(t *rapid.T) {
	a := m.attempt(t)
	if a.ran || a.refused {
		t.Skip("ran or refused")
	}
	m.runAttempt(a)
}

func (m *model) runAttempt(a *modelAttempt) {
	a.ran = true
	mt := m.task(a.start.Task)
	mt.starts++
	mt.result = m.result(a.start.Task)
	if mt.starts > 1 {
		m.fatalf("task %v started twice", a.start.Task)
	}
}

// outcome reports how an attempt ended, or reports it once more.
func (m *model) outcome(t *rapid.T) {
	m.end(t, m.attempt(t))
}

// serve runs all open attempts and reports them, most of them as completed.
func (m *model) serve(t *rapid.T) {
	tries := m.tries
	for _, a := range tries {
		if !a.ran && !a.refused {
			m.runAttempt(a)
		}
		if a.ended == nil {
			m.end(t, a)
		}
	}
}

func (m *model) end(t *rapid.T, a *modelAttempt) {
	if a.ended != nil {
		m.apply(*a.ended)
		return
	}
	ev := AttemptEnded{Task: a.start.Task, Attempt: a.start.Attempt, Load: -1, Reason: "drawn"}
	switch {
	case rapid.IntRange(0, 5).Draw(t, "unknown") == 0:
		ev.Outcome = AttemptUnknown
	case !a.ran:
		ev.Outcome = AttemptNotStarted
		a.refused = true
		m.task(a.start.Task).mayHaveRun = false
	case rapid.IntRange(0, 5).Draw(t, "failed") == 0:
		ev.Outcome = AttemptFailed
	default:
		ev.Outcome = AttemptCompleted
		ev.Result = m.task(a.start.Task).result
		m.task(a.start.Task).reported = m.now
	}
	a.ended = &ev
	m.apply(ev)
}

// crossed reports an outcome for an attempt that is not the one in flight.
func (m *model) crossed(t *rapid.T) {
	a := m.attempt(t)
	ev := AttemptEnded{Task: a.start.Task, Attempt: a.start.Attempt + rapid.SampledFrom([]int{-1, 1}).Draw(t, "offset"),
		Outcome: AttemptOutcome(rapid.IntRange(1, 4).Draw(t, "outcome")), Result: json.RawMessage(`"crossed"`), Load: -1}
	for _, other := range m.tries {
		if other.start.Task == ev.Task && other.start.Attempt == ev.Attempt {
			t.Skip("names another attempt of the task")
		}
	}
	if rapid.IntRange(0, 3).Draw(t, "index") == 0 {
		ev.Task.Index = 99
	}
	m.apply(ev)
}

func (m *model) advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
}

// pause jumps to or just past a limit, so that the next event meets it unprocessed.
func (m *model) pause(t *rapid.T) {
	tk := m.pick(t)
	at := rapid.SampledFrom([]time.Duration{tk.deadline, tk.minted + tk.ticket.Window,
		tk.minted + tk.ticket.Lifetime()}).Draw(t, "limit")
	at += time.Duration(rapid.IntRange(-1, 1).Draw(t, "off")) * time.Nanosecond
	m.now = max(m.now, at)
	m.pausedEvent(t)
}

// pausedEvent is the first event after a pause.
func (m *model) pausedEvent(t *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(t, "first") {
	case 0:
		m.submit(t)
	case 1:
		m.serve(t)
	case 2:
		m.await(t)
	}
}

func (m *model) policy(t *rapid.T) {
	p := &Policy{
		Kinds:       map[string]Kind{"k1": {Group: "g1"}, "k2": {Group: "g2", MaxTasks: 3}},
		Teams:       map[string]Team{"t1": {Weight: 1}, "t2": {Weight: 1, MaxTasks: 3}},
		MaxTasks:    rapid.IntRange(2, 12).Draw(t, "max tasks"),
		MaxBytes:    rapid.SampledFrom([]int64{2500, 2500, maxModelBytes}).Draw(t, "max bytes"),
		MaxAttempts: rapid.IntRange(1, 3).Draw(t, "max attempts"),
	}
	if rapid.IntRange(0, 4).Draw(t, "drop") == 0 {
		delete(p.Kinds, "k2")
	}
	m.apply(PolicyChanged{Policy: p})
}

func (m *model) endpoints(t *rapid.T) {
	var list []place.Endpoint
	for i := range rapid.SampledFrom([]int{0, 1, 2, 3, 4, 4, 4, 4}).Draw(t, "endpoints") {
		list = append(list, place.Endpoint{
			ID: place.EndpointID(fmt.Sprintf("m-%d", i)), Address: "127.0.0.1:1", Zone: "a",
			Identity: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "identity"),
			Group:    rapid.SampledFrom([]string{"g1", "g1", "g1", "g2"}).Draw(t, "group"),
			Slots:    rapid.IntRange(1, 6).Draw(t, "slots"),
			Leaving:  rapid.IntRange(0, 5).Draw(t, "leaving") == 0,
		})
	}
	m.apply(EndpointsChanged{Endpoints: list})
}

func (m *model) drain(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "drain") == 0 {
		m.apply(DrainStarted{})
	}
}
