package dispatch

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/ticket"
)

// model is the oracle: it counts starts per task and replies per ticket, and knows for
// each task whether "not run" would be true. It shares no code with the reducer.
type model struct {
	t       *rapid.T
	s       *State
	now     time.Duration
	tickets []*modelTicket
	byID    map[ticket.ID]*modelTicket
	waiters map[WaiterID]*modelWaiter
	tries   []*modelAttempt
	tasks   map[TaskRef]*modelTask
	nextID  WaiterID
	only    string // if set, the only check that counts
}

// modelTicket is what the oracle knows about a ticket.
type modelTicket struct {
	id       ticket.ID
	ticket   ticket.Ticket
	minted   time.Duration
	job      *api.Job // first submission
	digest   uint64
	first    time.Duration // time of the first submission
	deadline time.Duration // absolute, of the first submission
	refused  bool
	final    api.Outcome
	tries    int
	fetched  bool
}

// modelTask is what the oracle knows about a task.
type modelTask struct {
	mayHaveRun bool // an attempt was made that is not proven "not started"
	starts     int
	result     json.RawMessage
	reported   time.Duration // when the result reached the owner
}

// modelAttempt is an attempt in the hands of an endpoint.
type modelAttempt struct {
	start   StartAttempt
	ran     bool
	refused bool
	ended   *AttemptEnded // the outcome reported first
}

type modelWaiter struct {
	tk     *modelTicket
	digest uint64 // of a submission
	submit bool
	done   bool
}

func newModel(t *rapid.T, off switches, only string) *model {
	s := New(Options{Host: "a-1", Incarnation: 7, Zone: "a", Seed: 1})
	s.off = off
	s.refused.limit, s.refused.forget = 3, off.forgetHalf
	return &model{t: t, s: s, only: only, byID: make(map[ticket.ID]*modelTicket),
		waiters: make(map[WaiterID]*modelWaiter), tasks: make(map[TaskRef]*modelTask)}
}

// fatalf reports a broken check. A test of one check passes over the others.
func (m *model) fatalf(format string, args ...any) {
	if message := fmt.Sprintf(format, args...); strings.Contains(message, m.only) {
		m.t.Fatal(message)
	}
}

func (m *model) task(ref TaskRef) *modelTask {
	mt := m.tasks[ref]
	if mt == nil {
		mt = new(modelTask)
		m.tasks[ref] = mt
	}
	return mt
}

func (m *model) apply(ev Event) {
	for _, e := range m.s.Apply(m.now, ev) {
		switch e := e.(type) {
		case StartAttempt:
			m.started(e)
		case ReplyTo:
			m.replied(e)
		case Violation:
			m.fatalf("the reducer reports a violation: %s", e.Message)
		}
	}
}

// started checks that no task is handed out twice, nor after a refusal, a final reply or
// the deadline.
func (m *model) started(e StartAttempt) {
	tk := m.byID[e.Task.Ticket]
	mt := m.task(e.Task)
	switch {
	case tk.refused:
		m.fatalf("start of %v after the reply \"refused\"", e.Task)
	case tk.final != "":
		m.fatalf("start of %v after the final reply %q", e.Task, tk.final)
	case mt.mayHaveRun:
		m.fatalf("start of %v, which may have run", e.Task)
	case m.now >= tk.deadline || e.Remaining <= 0:
		m.fatalf("start of %v after its deadline", e.Task)
	case string(e.Payload) != string(tk.job.Tasks[e.Task.Index].Payload):
		m.fatalf("start of %v with a payload of another job", e.Task)
	}
	mt.mayHaveRun = true
	tk.tries++
	m.tries = append(m.tries, &modelAttempt{start: e})
}

func (m *model) replied(e ReplyTo) {
	w := m.waiters[e.Waiter]
	if w == nil || w.done {
		m.fatalf("reply to request %d, which is unknown, answered or gone", e.Waiter)
	}
	w.done = true
	r := e.Reply
	if r.Ticket != w.tk.id {
		m.fatalf("request about %s was answered for %s", w.tk.id, r.Ticket)
	}
	switch r.Outcome {
	case api.Complete:
		m.complete(w, r)
	case api.Failed:
		m.failed(w, r)
	case api.Refused:
		m.refusedReply(w.tk, r)
	case api.Unknown:
		m.unknown(w.tk, r)
	default:
		m.fatalf("outcome %q", r.Outcome)
	}
}

// complete checks that the answer is whole, in time and the caller's own.
func (m *model) complete(w *modelWaiter, r *api.Reply) {
	tk := w.tk
	if w.submit && w.digest != tk.digest {
		m.fatalf("a reused ticket got the answer of another job")
	}
	if m.now >= tk.minted+tk.ticket.Lifetime() {
		m.fatalf("complete after the ticket's lifetime")
	}
	m.finalIs(tk, r)
	if len(r.Tasks) != len(tk.job.Tasks) {
		m.fatalf("complete with %d of %d results", len(r.Tasks), len(tk.job.Tasks))
	}
	for i, task := range r.Tasks {
		mt := m.task(TaskRef{Ticket: tk.id, Index: i})
		if task.Index != i || mt.starts != 1 || string(task.Result) != string(mt.result) {
			m.fatalf("task %d: result %s, want %s; %d starts", i, task.Result, mt.result, mt.starts)
		}
		if mt.reported >= tk.deadline {
			m.fatalf("complete, but the result of task %d came after the deadline", i)
		}
	}
}

func (m *model) failed(w *modelWaiter, r *api.Reply) {
	if m.answerMayBeGone(w.tk, r) {
		return
	}
	m.finalIs(w.tk, r)
	for _, task := range r.Tasks {
		mt := m.task(TaskRef{Ticket: w.tk.id, Index: task.Index})
		switch {
		case task.State == api.TaskNotRun && mt.mayHaveRun:
			m.fatalf("task %d is said not to have run, but may have", task.Index)
		case task.State == api.TaskRan && mt.starts == 0:
			m.fatalf("task %d is said to have run, but has not", task.Index)
		case len(task.Result) > 0:
			m.fatalf("a failed job carries a partial answer")
		}
	}
}

// answerMayBeGone allows "answer expired" once the answer was fetched or the ticket's
// lifetime has ended.
func (m *model) answerMayBeGone(tk *modelTicket, r *api.Reply) bool {
	if r.Reason == nil || r.Reason.Code != api.CodeAnswerExpired {
		return false
	}
	if !tk.fetched && m.now < tk.minted-mintResolution+tk.ticket.Lifetime() {
		m.fatalf("answer expired within the ticket's lifetime, but nobody has fetched it")
	}
	return true
}

func (m *model) refusedReply(tk *modelTicket, r *api.Reply) {
	for i := 0; tk.job != nil && i < len(tk.job.Tasks); i++ {
		if m.task(TaskRef{Ticket: tk.id, Index: i}).mayHaveRun {
			m.fatalf("refused (%v), but task %d may have run", r.Reason, i)
		}
	}
	if tk.tries > 0 {
		m.fatalf("refused (%v) after an attempt", r.Reason)
	}
	m.finalIs(tk, r)
	tk.refused = true
}

func (m *model) unknown(tk *modelTicket, r *api.Reply) {
	switch {
	case r.Reason.Code == api.CodeRunning && (tk.final != "" || m.now >= tk.deadline):
		m.fatalf("running after %q or the deadline", tk.final)
	case r.Reason.Code == api.CodeTicketNotFound && tk.tries > 0:
		m.fatalf("not submitted, but started")
	}
}

// finalIs checks that the final outcome of a ticket never changes.
func (m *model) finalIs(tk *modelTicket, r *api.Reply) {
	if tk.final != "" && tk.final != r.Outcome {
		m.fatalf("ticket %s: outcome %q after %q (%v)", tk.id, r.Outcome, tk.final, r.Reason)
	}
	tk.final = r.Outcome
}

// check holds between any two events.
func (m *model) check(t *rapid.T) {
	m.t = t
	m.apply(Tick{})
	for id, w := range m.waiters {
		if !w.done && w.tk.job != nil && m.now >= w.tk.deadline {
			m.fatalf("request %d has no reply after the deadline", id)
		}
	}
	if n := m.s.Counters().Violations; n > 0 {
		m.fatalf("%d violations counted", n)
	}
	m.checkTotals()
	m.checkMemory()
}

func (m *model) checkTotals() {
	open := 0
	for _, j := range m.s.jobs {
		if !j.ended() {
			open += j.open
		}
	}
	if open != m.s.open {
		m.fatalf("%d open tasks counted, %d exist", m.s.open, open)
	}
	team := 0
	for name, n := range m.s.teamOpen {
		if n < 0 {
			m.fatalf("team %s has %d open tasks", name, n)
		}
		team += n
	}
	if team != open {
		m.fatalf("%d open tasks of teams, %d exist", team, open)
	}
}

// checkMemory holds records against the tickets whose lifetime or window has not ended.
func (m *model) checkMemory() {
	live, window := 0, 0
	for _, tk := range m.tickets {
		if m.now < tk.minted+tk.ticket.Lifetime() {
			live++
		}
		if m.now < tk.minted+tk.ticket.Window+refusalSweep {
			window++
		}
	}
	if n := len(m.s.jobs); n > live {
		m.fatalf("%d records for %d live tickets", n, live)
	}
	if n := len(m.s.refused.tickets); n > min(window, m.s.refused.limit) {
		m.fatalf("%d refusals for %d open tickets, limit %d", n, window, m.s.refused.limit)
	}
	if n := len(m.s.timers); n > 2*len(m.s.jobs)+1 { // one polls for held tasks
		m.fatalf("%d timers for %d jobs", n, len(m.s.jobs))
	}
	m.checkBytes()
	m.checkSlots()
}

// checkBytes allows results of accepted jobs beyond the limit, nothing else.
func (m *model) checkBytes() {
	var bytes, results int64
	for _, j := range m.s.jobs {
		bytes += j.bytes
		for i := range j.tasks {
			results += int64(len(j.tasks[i].result))
		}
	}
	if bytes != m.s.bytes {
		m.fatalf("%d bytes counted, %d held", m.s.bytes, bytes)
	}
	if bytes-results > maxModelBytes {
		m.fatalf("%d bytes held besides results, limit %d", bytes-results, maxModelBytes)
	}
}

// checkSlots holds the slots in use against the attempts of the jobs on record.
func (m *model) checkSlots() {
	used, inFlight := 0, 0
	for _, ep := range m.s.endpoints.View() {
		used += ep.Outstanding
	}
	for _, j := range m.s.jobs {
		inFlight += j.inFlight
	}
	if used > inFlight {
		m.fatalf("%d slots in use for %d attempts", used, inFlight)
	}
}

func (m *model) result(ref TaskRef) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`"result of %s/%d"`, ref.Ticket, ref.Index))
}
