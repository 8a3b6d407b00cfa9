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

// Guards against a second start of a task, a false "not run", an answer that is partial or belongs
// to another job, a change of a final outcome and unbounded records, under arbitrary orders of
// events.
func TestFuzzDispatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runModel(t, faults{}, "") })
}

// maxModelBytes is enough for the records of about 20 jobs.
const maxModelBytes = 32 << 10

// runModel plays random actions against the state machine and the model. If onlyCheck is set, only
// checks whose message contains it count.
func runModel(t *rapid.T, injected faults, onlyCheck string) {
	m := newModel(t, injected, onlyCheck)
	m.changePolicy(t)
	m.changeEndpoints(t)
	withT := func(f func(*rapid.T)) func(*rapid.T) {
		return func(t *rapid.T) {
			m.t = t
			f(t)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"":          m.checkInvariants,
		"mint":      withT(m.mintTickets),
		"submit":    withT(m.submitJob),
		"submit2":   withT(m.submitJob),
		"await":     withT(m.awaitJob),
		"cancel":    withT(m.cancelJob),
		"gone":      withT(m.loseCaller),
		"timeout":   withT(m.timeOutRequest),
		"run":       withT(m.runTask),
		"outcome":   withT(m.reportOutcome),
		"outcome2":  withT(m.reportOutcome),
		"serve":     withT(m.completeOpenAttempts),
		"crossed":   withT(m.reportWrongAttempt),
		"advance":   withT(m.advanceClock),
		"pause":     withT(m.pauseToLimit),
		"fetch":     withT(m.fetchAnswer),
		"policy":    withT(m.changePolicy),
		"endpoints": withT(m.changeEndpoints),
		"drain":     withT(m.startDrain),
	})
}

func (m *model) mintTickets(t *rapid.T) {
	window := time.Duration(rapid.IntRange(1, 4).Draw(t, "window")) * time.Second
	maxDeadline := time.Duration(rapid.IntRange(2, 8).Draw(t, "longest")) * time.Second
	for _, tk := range m.state.Mint(m.now, rapid.IntRange(1, 2).Draw(t, "count"), window, maxDeadline) {
		mt := &modelTicket{id: tk.ID(), ticket: tk, mintedAt: m.now}
		m.tickets = append(m.tickets, mt)
		m.ticketsByID[mt.id] = mt
	}
}

// drawTicket draws one of the six newest tickets. If there are fewer, the oldest is drawn more often.
func (m *model) drawTicket(t *rapid.T) *modelTicket {
	if len(m.tickets) == 0 {
		t.Skip("no ticket")
	}
	offset := min(rapid.IntRange(0, 5).Draw(t, "ticket"), len(m.tickets)-1)
	return m.tickets[len(m.tickets)-1-offset]
}

func (m *model) submitJob(t *rapid.T) {
	tk := m.drawTicket(t)
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
		tk.job, tk.digest, tk.submittedAt = job, digest, m.now
		tk.deadline = m.now + min(job.Deadline(), tk.ticket.MaxDeadline)
	}
	w := m.newWaiter(tk)
	m.waiters[w].isSubmission, m.waiters[w].digest = true, digest
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

func (m *model) newWaiter(tk *modelTicket) WaiterID {
	m.lastWaiterID++
	m.waiters[m.lastWaiterID] = &modelWaiter{tk: tk}
	return m.lastWaiterID
}

func (m *model) awaitJob(t *rapid.T) {
	tk := m.drawTicket(t)
	m.apply(Await{ID: tk.id, Waiter: m.newWaiter(tk), NoWait: rapid.Bool().Draw(t, "no wait")})
}

func (m *model) cancelJob(t *rapid.T) {
	tk := m.drawTicket(t)
	m.apply(Cancel{ID: tk.id, Waiter: m.newWaiter(tk)})
}

// fetchAnswer reports that a caller or a peer has fetched the final reply.
func (m *model) fetchAnswer(t *rapid.T) {
	tk := m.drawTicket(t)
	if tk.finalOutcome == "" {
		t.Skip("no final reply")
	}
	tk.fetched = true
	m.apply(AnswerFetched{ID: tk.id, Relayed: rapid.Bool().Draw(t, "relayed")})
}

// drawOpenRequest draws a request that is not answered yet.
func (m *model) drawOpenRequest(t *rapid.T) (WaiterID, *modelWaiter) {
	var open []WaiterID
	for id := WaiterID(1); id <= m.lastWaiterID; id++ {
		if w := m.waiters[id]; w != nil && !w.answeredOrGone {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		t.Skip("no open request")
	}
	id := rapid.SampledFrom(open).Draw(t, "request")
	return id, m.waiters[id]
}

func (m *model) loseCaller(t *rapid.T) {
	id, w := m.drawOpenRequest(t)
	m.apply(WaiterGone{ID: w.tk.id, Waiter: id})
	w.answeredOrGone = true
}

func (m *model) timeOutRequest(t *rapid.T) {
	id, w := m.drawOpenRequest(t)
	m.apply(WaiterTimeout{ID: w.tk.id, Waiter: id})
	if !w.answeredOrGone {
		m.fatalf("request %d has no reply after its wait", id)
	}
}

func (m *model) drawAttempt(t *rapid.T) *modelAttempt {
	if len(m.attempts) == 0 {
		t.Skip("no attempt")
	}
	offset := min(rapid.IntRange(0, 7).Draw(t, "attempt"), len(m.attempts)-1)
	return m.attempts[len(m.attempts)-1-offset]
}

// runTask lets an endpoint run the task of an attempt.
func (m *model) runTask(t *rapid.T) {
	a := m.drawAttempt(t)
	if a.ran || a.refused {
		t.Skip("ran or refused")
	}
	m.runAttempt(a)
}

func (m *model) runAttempt(a *modelAttempt) {
	a.ran = true
	mt := m.task(a.start.Task)
	mt.starts++
	mt.result = m.expectedResult(a.start.Task)
	if mt.starts > 1 {
		m.fatalf("task %v started twice", a.start.Task)
	}
}

// reportOutcome reports how an attempt ended. If that was reported before, it repeats the report.
func (m *model) reportOutcome(t *rapid.T) {
	m.endAttempt(t, m.drawAttempt(t))
}

// completeOpenAttempts runs the tasks of all open attempts and reports the outcomes, most of them as
// completed.
func (m *model) completeOpenAttempts(t *rapid.T) {
	attempts := m.attempts
	for _, a := range attempts {
		if !a.ran && !a.refused {
			m.runAttempt(a)
		}
		if a.reportedOutcome == nil {
			m.endAttempt(t, a)
		}
	}
}

func (m *model) endAttempt(t *rapid.T, a *modelAttempt) {
	if a.reportedOutcome != nil {
		m.apply(*a.reportedOutcome)
		return
	}
	ev := AttemptEnded{Task: a.start.Task, Attempt: a.start.Attempt, ReportedLoad: -1, Reason: "drawn"}
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
		m.task(a.start.Task).resultReportedAt = m.now
	}
	a.reportedOutcome = &ev
	m.apply(ev)
}

// reportWrongAttempt reports an outcome for an attempt that was never made, or for a task index that
// does not exist.
func (m *model) reportWrongAttempt(t *rapid.T) {
	a := m.drawAttempt(t)
	ev := AttemptEnded{Task: a.start.Task, Attempt: a.start.Attempt + rapid.SampledFrom([]int{-1, 1}).Draw(t, "offset"),
		Outcome: AttemptOutcome(rapid.IntRange(1, 4).Draw(t, "outcome")), Result: json.RawMessage(`"crossed"`), ReportedLoad: -1}
	for _, other := range m.attempts {
		if other.start.Task == ev.Task && other.start.Attempt == ev.Attempt {
			t.Skip("names another attempt of the task")
		}
	}
	if rapid.IntRange(0, 3).Draw(t, "index") == 0 {
		ev.Task.Index = 99
	}
	m.apply(ev)
}

func (m *model) advanceClock(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
}

// pauseToLimit advances the clock to just before, to or just after a time limit without a Tick, as
// after a pause of the process, and may apply an event there.
func (m *model) pauseToLimit(t *rapid.T) {
	tk := m.drawTicket(t)
	at := rapid.SampledFrom([]time.Duration{tk.deadline, tk.mintedAt + tk.ticket.Window,
		tk.mintedAt + tk.ticket.Lifetime()}).Draw(t, "limit")
	at += time.Duration(rapid.IntRange(-1, 1).Draw(t, "off")) * time.Nanosecond
	m.now = max(m.now, at)
	m.applyEventAfterPause(t)
}

// applyEventAfterPause draws the first event after a pause; there may be none.
func (m *model) applyEventAfterPause(t *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(t, "first") {
	case 0:
		m.submitJob(t)
	case 1:
		m.completeOpenAttempts(t)
	case 2:
		m.awaitJob(t)
	}
}

func (m *model) changePolicy(t *rapid.T) {
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

func (m *model) changeEndpoints(t *rapid.T) {
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

func (m *model) startDrain(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "drain") == 0 {
		m.apply(DrainStarted{})
	}
}
