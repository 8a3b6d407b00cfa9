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

// model is the reference model against which the effects of the state machine are checked. It counts
// the starts of each task, keeps the final outcome of each ticket and knows for each task whether
// "not run" would be true. It shares no code with the state machine.
type model struct {
	t            *rapid.T
	state        *State
	now          time.Duration
	tickets      []*modelTicket
	ticketsByID  map[ticket.ID]*modelTicket
	waiters      map[WaiterID]*modelWaiter
	attempts     []*modelAttempt
	tasks        map[TaskRef]*modelTask
	lastWaiterID WaiterID
	onlyCheck    string // if set, only checks whose message contains it count
}

// modelTicket is what the model knows about a ticket. Times are on the clock of the model.
type modelTicket struct {
	id           ticket.ID
	ticket       ticket.Ticket
	mintedAt     time.Duration
	job          *api.Job // of the first submission
	digest       uint64
	submittedAt  time.Duration // when the first submission was made
	deadline     time.Duration // of the first submission
	refused      bool
	finalOutcome api.Outcome
	attempts     int
	fetched      bool
}

// modelTask is what the model knows about a task.
type modelTask struct {
	mayHaveRun       bool // an attempt was made, and not reported as AttemptNotStarted
	starts           int
	result           json.RawMessage
	resultReportedAt time.Duration // when the result was applied to the state
}

// modelAttempt is an attempt that was sent to an endpoint.
type modelAttempt struct {
	start           StartAttempt
	ran             bool
	refused         bool
	reportedOutcome *AttemptEnded // nil until an outcome is reported
}

type modelWaiter struct {
	tk             *modelTicket
	digest         uint64 // of the job, for a submission
	isSubmission   bool
	answeredOrGone bool
}

func newModel(t *rapid.T, injected faults, onlyCheck string) *model {
	s := New(Options{Host: "a-1", Incarnation: 7, Zone: "a", Seed: 1})
	s.injected = injected
	s.refusedTickets.maxTickets, s.refusedTickets.omitBound = 3, injected.omitRefusalBound
	return &model{t: t, state: s, onlyCheck: onlyCheck, ticketsByID: make(map[ticket.ID]*modelTicket),
		waiters: make(map[WaiterID]*modelWaiter), tasks: make(map[TaskRef]*modelTask)}
}

// fatalf fails the test. If onlyCheck is set, messages that do not contain it are ignored.
func (m *model) fatalf(format string, args ...any) {
	if message := fmt.Sprintf(format, args...); strings.Contains(message, m.onlyCheck) {
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
	for _, e := range m.state.Apply(m.now, ev) {
		switch e := e.(type) {
		case StartAttempt:
			m.checkStart(e)
		case ReplyTo:
			m.checkReply(e)
		case Violation:
			m.fatalf("the state machine reports a violation: %s", e.Message)
		}
	}
}

// checkStart checks that no task is started twice, nor after a refusal, a final reply or the deadline.
func (m *model) checkStart(e StartAttempt) {
	tk := m.ticketsByID[e.Task.Ticket]
	mt := m.task(e.Task)
	switch {
	case tk.refused:
		m.fatalf("start of %v after the reply \"refused\"", e.Task)
	case tk.finalOutcome != "":
		m.fatalf("start of %v after the final reply %q", e.Task, tk.finalOutcome)
	case mt.mayHaveRun:
		m.fatalf("start of %v, which may have run", e.Task)
	case m.now >= tk.deadline || e.Remaining <= 0:
		m.fatalf("start of %v after its deadline", e.Task)
	case string(e.Payload) != string(tk.job.Tasks[e.Task.Index].Payload):
		m.fatalf("start of %v with a payload of another job", e.Task)
	}
	mt.mayHaveRun = true
	tk.attempts++
	m.attempts = append(m.attempts, &modelAttempt{start: e})
}

func (m *model) checkReply(e ReplyTo) {
	w := m.waiters[e.Waiter]
	if w == nil || w.answeredOrGone {
		m.fatalf("reply to request %d, which is unknown, answered or gone", e.Waiter)
	}
	w.answeredOrGone = true
	r := e.Reply
	if r.Ticket != w.tk.id {
		m.fatalf("request about %s was answered for %s", w.tk.id, r.Ticket)
	}
	switch r.Outcome {
	case api.Complete:
		m.checkComplete(w, r)
	case api.Failed:
		m.checkFailed(w, r)
	case api.Refused:
		m.checkRefused(w.tk, r)
	case api.Unknown:
		m.checkUnknown(w.tk, r)
	default:
		m.fatalf("outcome %q", r.Outcome)
	}
}

// checkComplete checks that a complete answer has all results, is in time and belongs to the caller's
// job.
func (m *model) checkComplete(w *modelWaiter, r *api.Reply) {
	tk := w.tk
	if w.isSubmission && w.digest != tk.digest {
		m.fatalf("a reused ticket got the answer of another job")
	}
	if m.now >= tk.mintedAt+tk.ticket.Lifetime() {
		m.fatalf("complete after the ticket's lifetime")
	}
	m.checkFinalOutcome(tk, r)
	if len(r.Tasks) != len(tk.job.Tasks) {
		m.fatalf("complete with %d of %d results", len(r.Tasks), len(tk.job.Tasks))
	}
	for i, task := range r.Tasks {
		mt := m.task(TaskRef{Ticket: tk.id, Index: i})
		if task.Index != i || mt.starts != 1 || string(task.Result) != string(mt.result) {
			m.fatalf("task %d: result %s, want %s; %d starts", i, task.Result, mt.result, mt.starts)
		}
		if mt.resultReportedAt >= tk.deadline {
			m.fatalf("complete, but the result of task %d came after the deadline", i)
		}
	}
}

func (m *model) checkFailed(w *modelWaiter, r *api.Reply) {
	if m.isExpiredAnswer(w.tk, r) {
		return
	}
	m.checkFinalOutcome(w.tk, r)
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

// isExpiredAnswer reports whether the reply says that the answer expired. It checks that the answer
// was fetched or that the ticket's lifetime has ended.
func (m *model) isExpiredAnswer(tk *modelTicket, r *api.Reply) bool {
	if r.Reason == nil || r.Reason.Code != api.CodeAnswerExpired {
		return false
	}
	if !tk.fetched && m.now < tk.mintedAt-mintResolution+tk.ticket.Lifetime() {
		m.fatalf("answer expired within the ticket's lifetime, but nobody has fetched it")
	}
	return true
}

func (m *model) checkRefused(tk *modelTicket, r *api.Reply) {
	for i := 0; tk.job != nil && i < len(tk.job.Tasks); i++ {
		if m.task(TaskRef{Ticket: tk.id, Index: i}).mayHaveRun {
			m.fatalf("refused (%v), but task %d may have run", r.Reason, i)
		}
	}
	if tk.attempts > 0 {
		m.fatalf("refused (%v) after an attempt", r.Reason)
	}
	m.checkFinalOutcome(tk, r)
	tk.refused = true
}

func (m *model) checkUnknown(tk *modelTicket, r *api.Reply) {
	switch {
	case r.Reason.Code == api.CodeRunning && (tk.finalOutcome != "" || m.now >= tk.deadline):
		m.fatalf("running after %q or the deadline", tk.finalOutcome)
	case r.Reason.Code == api.CodeTicketNotFound && tk.attempts > 0:
		m.fatalf("not submitted, but started")
	}
}

// checkFinalOutcome checks that the final outcome of a ticket never changes, and records it.
func (m *model) checkFinalOutcome(tk *modelTicket, r *api.Reply) {
	if tk.finalOutcome != "" && tk.finalOutcome != r.Outcome {
		m.fatalf("ticket %s: outcome %q after %q (%v)", tk.id, r.Outcome, tk.finalOutcome, r.Reason)
	}
	tk.finalOutcome = r.Outcome
}

// checkInvariants checks what has to hold after each action.
func (m *model) checkInvariants(t *rapid.T) {
	m.t = t
	m.apply(Tick{})
	for id, w := range m.waiters {
		if !w.answeredOrGone && w.tk.job != nil && m.now >= w.tk.deadline {
			m.fatalf("request %d has no reply after the deadline", id)
		}
	}
	if n := m.state.Counters().Violations; n > 0 {
		m.fatalf("%d violations counted", n)
	}
	m.checkTotals()
	m.checkRecordCounts()
}

func (m *model) checkTotals() {
	open := 0
	for _, j := range m.state.jobs {
		if !j.ended() {
			open += j.openTasks
		}
	}
	if open != m.state.openTasks {
		m.fatalf("%d open tasks counted, %d exist", m.state.openTasks, open)
	}
	team := 0
	for name, n := range m.state.teamOpenTasks {
		if n < 0 {
			m.fatalf("team %s has %d open tasks", name, n)
		}
		team += n
	}
	if team != open {
		m.fatalf("%d open tasks of teams, %d exist", team, open)
	}
}

// checkRecordCounts compares the number of records with the number of tickets whose lifetime or
// window has not ended.
func (m *model) checkRecordCounts() {
	liveTickets, openTickets := 0, 0
	for _, tk := range m.tickets {
		if m.now < tk.mintedAt+tk.ticket.Lifetime() {
			liveTickets++
		}
		if m.now < tk.mintedAt+tk.ticket.Window+refusalSweepInterval {
			openTickets++
		}
	}
	if n := len(m.state.jobs); n > liveTickets {
		m.fatalf("%d records for %d live tickets", n, liveTickets)
	}
	if n := len(m.state.refusedTickets.tickets); n > min(openTickets, m.state.refusedTickets.maxTickets) {
		m.fatalf("%d refusals for %d open tickets, limit %d", n, openTickets, m.state.refusedTickets.maxTickets)
	}
	if n := len(m.state.timers); n > 2*len(m.state.jobs)+1 { // a deadline and an expiry each, and one spare
		m.fatalf("%d timers for %d jobs", n, len(m.state.jobs))
	}
	m.checkBytes()
	m.checkSlots()
}

// checkBytes checks the sum of the held bytes. Only results of accepted jobs may exceed the limit.
func (m *model) checkBytes() {
	var bytes, results int64
	for _, j := range m.state.jobs {
		bytes += j.heldBytes
		for i := range j.tasks {
			results += int64(len(j.tasks[i].result))
		}
	}
	if bytes != m.state.heldBytes {
		m.fatalf("%d bytes counted, %d held", m.state.heldBytes, bytes)
	}
	if bytes-results > maxModelBytes {
		m.fatalf("%d bytes held besides results, limit %d", bytes-results, maxModelBytes)
	}
}

// checkSlots checks that there are no more slots in use than attempts in flight.
func (m *model) checkSlots() {
	slotsInUse, inFlight := 0, 0
	for _, ep := range m.state.endpoints.View() {
		slotsInUse += ep.Outstanding
	}
	for _, j := range m.state.jobs {
		inFlight += j.inFlight
	}
	if slotsInUse > inFlight {
		m.fatalf("%d slots in use for %d attempts", slotsInUse, inFlight)
	}
}

func (m *model) expectedResult(ref TaskRef) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`"result of %s/%d"`, ref.Ticket, ref.Index))
}
