package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/internal/workermodel"
)

// startRivalRun starts a run for another host if the worker has free capacity for it.
func startRivalRun(w *workermodel.Worker, now time.Duration, fence int64, number int) {
	need := fleet.Resources{CPU: 30000, Memory: 64}
	if w.Free().Fits(need) {
		run := fleet.RunKey{Task: fleet.Task{Job: "rival", Index: number}, Attempt: 1}
		w.Start(now, fleet.StartOrder{Run: run, Fence: fence, LeaseEnd: w.Clock(now) + workermodel.MaxLease}, need)
	}
}

// schedMachine runs the scheduler against model workers over a network that delays calls, loses
// calls or answers, and carries out calls after their sender has given them up.
type schedMachine struct {
	s              *State
	now            time.Duration
	workers        []*workermodel.Worker
	rivalFences    map[string]int64           // fencing token of a rival commander, by worker
	pendingCalls   []call                     // neither delivered nor lost
	givenUpCalls   []call                     // reported as unanswered; may still be carried out
	taskCounts     map[JobKey]int             // number of tasks of each submitted job
	needs          map[string]fleet.Resources // of a task, by job name
	doneTasks      map[fleet.Task]bool        // tasks of which a run has ended done
	outcomes       map[JobKey]Outcome
	leftAt         map[JobKey]time.Duration // when the callers left, of jobs whose callers have
	lookedAt       time.Duration            // when the callers were last looked at
	blindUntil     time.Duration            // they are not looked at again before
	lastJobSeq     uint64
	lastFence      int64 // highest fencing token handed out
	lastCallNumber int
}

// call is a call to a worker.
type call struct {
	effect   Effect
	sent     time.Duration
	number   int
	reported bool // as unanswered; the answer may still come
}

func newSchedMachine() *schedMachine {
	m := &schedMachine{
		s: New(0), now: time.Minute, taskCounts: make(map[JobKey]int), needs: make(map[string]fleet.Resources),
		doneTasks: make(map[fleet.Task]bool), outcomes: make(map[JobKey]Outcome), rivalFences: make(map[string]int64), lastFence: 10,
		leftAt: make(map[JobKey]time.Duration),
	}
	for i := range 3 {
		capacity := fleet.Resources{CPU: int64(64000 + 32000*(i%2)), Memory: 1000}
		w := workermodel.New(fmt.Sprintf("w%d", i), capacity, []float64{1, 0.98, 1}[i])
		w.Endings.Unlisted = i == 2
		m.workers = append(m.workers, w)
	}
	m.sendDirectory(-1)
	for _, w := range m.workers {
		m.step(TakeWorker{Worker: w.ID, Cell: "z", Fence: m.lastFence})
	}
	m.deliverPending()
	m.advance(settleTime)
	return m
}

// sendDirectory lists all workers to the scheduler; the one with the given index, if any, drains.
func (m *schedMachine) sendDirectory(draining int) {
	var list []fleet.Worker
	for i, w := range m.workers {
		list = append(list, fleet.Worker{ID: w.ID, Service: "s", Zone: "z", Capacity: w.Capacity, Draining: i == draining})
	}
	m.step(UpdateWorkers{Workers: list})
}

func (m *schedMachine) step(ev Event) {
	m.look()
	m.s.Step(m.now, ev)
	m.s.Place(m.now)
	for _, e := range m.s.Ready() {
		switch e := e.(type) {
		case StartRun, StopRun, HoldWorker:
			m.lastCallNumber++
			m.pendingCalls = append(m.pendingCalls, call{effect: e, sent: m.now, number: m.lastCallNumber})
		case JobFinished:
			m.outcomes[e.Key] = e.Outcome
		}
	}
}

func (m *schedMachine) worker(id string) *workermodel.Worker {
	for _, w := range m.workers {
		if w.ID == id {
			return w
		}
	}
	return nil
}

// workerOf returns the worker that a call is addressed to.
func (m *schedMachine) workerOf(c call) *workermodel.Worker {
	switch e := c.effect.(type) {
	case StartRun:
		return m.worker(e.Worker.ID)
	case StopRun:
		return m.worker(e.Worker.ID)
	case HoldWorker:
		return m.worker(e.Worker.ID)
	}
	return nil
}

// deliver carries out a call and, if answer is set, returns its answer. A call that finds no process
// stays under way.
func (m *schedMachine) deliver(c call, answer bool) {
	if m.now < m.workerOf(c).DownUntil {
		m.pendingCalls = append(m.pendingCalls, c)
		return
	}
	switch e := c.effect.(type) {
	case StartRun:
		w := m.worker(e.Worker.ID)
		m.answerStart(c, e, w.Start(m.now, e.Order, m.needs[e.Order.Run.Task.Job]), answer)
	case StopRun:
		w := m.worker(e.Worker.ID)
		reply := w.Stop(m.now, e.Order)
		if !answer {
			reply = fleet.Reply{}
		}
		m.step(StopReply{Worker: w.ID, Run: e.Order.Run, Sent: c.sent, Fence: e.Order.Fence, Reply: reply})
	case HoldWorker:
		w := m.worker(e.Worker.ID)
		reply := w.Hold(m.now, e.Order)
		if !answer {
			reply = fleet.HoldReply{}
		}
		m.step(HoldReply{Worker: w.ID, Seq: e.Seq, Sent: c.sent, Wait: waitOf(e), Fence: e.Order.Fence, Reply: reply})
	}
}

func (m *schedMachine) answerStart(c call, e StartRun, reply fleet.Reply, answer bool) {
	if !answer {
		reply = fleet.Reply{}
	}
	m.step(StartReply{Worker: e.Worker.ID, Run: e.Order.Run, Sent: c.sent, Fence: e.Order.Fence, Reply: reply})
}

// loseCall ends a call that has not been answered. It may still be carried out later, unless no process
// was there to receive it.
func (m *schedMachine) loseCall(c call) {
	if m.workerOf(c).DownUntil <= c.sent {
		m.givenUpCalls = append(m.givenUpCalls, c)
	}
	if !c.reported {
		m.reportUnanswered(c)
	}
}

// reportUnanswered reports that a call has no answer so far.
func (m *schedMachine) reportUnanswered(c call) { m.reportFailed(c, fleet.Reply{}) }

// refuse reports that a call was not sent. It reports false if the worker has a process or the call was
// reported already.
func (m *schedMachine) refuse(c call) bool {
	if c.reported || m.workerOf(c).DownUntil <= m.now {
		return false
	}
	m.reportFailed(c, refusedReply)
	return true
}

func (m *schedMachine) reportFailed(c call, reply fleet.Reply) {
	switch e := c.effect.(type) {
	case StartRun:
		m.answerStart(c, e, reply, true)
	case StopRun:
		m.step(StopReply{Worker: e.Worker.ID, Run: e.Order.Run, Sent: c.sent, Fence: e.Order.Fence, Reply: reply})
	case HoldWorker:
		m.step(HoldReply{Worker: e.Worker.ID, Seq: e.Seq, Sent: c.sent, Wait: waitOf(e), Fence: e.Order.Fence, Reply: fleet.HoldReply{Reply: reply}})
	}
}

// carryOutLate carries out a call that its sender has given up.
func (m *schedMachine) carryOutLate(c call) {
	if m.now < m.workerOf(c).DownUntil {
		return
	}
	switch e := c.effect.(type) {
	case StartRun:
		m.worker(e.Worker.ID).Start(m.now, e.Order, m.needs[e.Order.Run.Task.Job])
	case StopRun:
		m.worker(e.Worker.ID).Stop(m.now, e.Order)
	case HoldWorker:
		m.worker(e.Worker.ID).Hold(m.now, e.Order)
	}
}

// waitOf returns how long a hold asks the worker to wait for the end of a run.
func waitOf(h HoldWorker) time.Duration { return time.Duration(h.Order.WaitMillis) * time.Millisecond }

// restart ends the process of a worker, with all its runs and the calls that it has received, and
// starts a new one after minRestartTime.
func (m *schedMachine) restart(w *workermodel.Worker) {
	w.Restart(m.now + minRestartTime)
	delete(m.rivalFences, w.ID)
	m.givenUpCalls = slices.DeleteFunc(m.givenUpCalls, func(c call) bool { return m.workerOf(c) == w })
}

// advance lets time pass, ends what expires on the workers and sends a Tick.
func (m *schedMachine) advance(d time.Duration) {
	m.now += d
	for _, w := range m.workers {
		w.Expire(m.now)
	}
	// The caller of the scheduler reports a call as unanswered after its timeout, and ends it at its
	// limit.
	for _, c := range slices.Clone(m.pendingCalls) {
		i := slices.IndexFunc(m.pendingCalls, func(o call) bool { return o.number == c.number })
		switch limits := limitsOf(c); {
		case i < 0:
		case m.now-c.sent > limits.Limit:
			m.pendingCalls = slices.Delete(m.pendingCalls, i, i+1)
			m.loseCall(c)
		case m.now-c.sent > limits.Timeout && !c.reported:
			m.pendingCalls[i].reported = true
			m.reportUnanswered(c)
		}
	}
	m.step(Tick{})
}

func limitsOf(c call) CallLimits {
	switch e := c.effect.(type) {
	case StartRun:
		return e.CallLimits
	case StopRun:
		return e.CallLimits
	case HoldWorker:
		return e.CallLimits
	}
	return CallLimits{}
}

func (m *schedMachine) check(t *rapid.T) {
	if err := workermodel.Check(m.workers); err != nil {
		t.Fatal(err)
	}
	if err := m.s.Check(); err != nil {
		t.Fatal(err)
	}
	if n := m.s.Stats().Violations; n > 0 {
		t.Fatalf("%d starts were stopped by an internal check", n)
	}
	if run := m.runOfLostCaller(); run != "" {
		t.Fatal(run)
	}
	for key, outcome := range m.outcomes {
		if outcome != Completed {
			continue
		}
		for i := range m.taskCounts[key] {
			if !m.doneTasks[fleet.Task{Job: jobName(key), Index: i}] {
				t.Fatalf("job %v is complete without task %d", key, i)
			}
		}
	}
}

func jobName(key JobKey) string { return fmt.Sprintf("job%d", key.Seq) }

// TestMachine checks the invariants of the package under lost and late calls, lost answers,
// restarting workers, slow clocks, a rival commander, callers that leave and pauses of the process, after which it may
// act before it has looked at its callers.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSchedMachine()
		takeCall := func(t *rapid.T) (call, bool) {
			if len(m.pendingCalls) == 0 {
				return call{}, false
			}
			i := rapid.IntRange(0, len(m.pendingCalls)-1).Draw(t, "call")
			c := m.pendingCalls[i]
			m.pendingCalls = slices.Delete(m.pendingCalls, i, i+1)
			return c, true
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				m.lastJobSeq++
				key := JobKey{Host: 1, Seq: m.lastJobSeq}
				m.taskCounts[key] = rapid.IntRange(1, 6).Draw(t, "tasks")
				need := fleet.Resources{CPU: rapid.Int64Range(20000, 41000).Draw(t, "cpu"), Memory: 64}
				m.needs[jobName(key)] = need
				m.step(Submit{Job: Job{
					Key: key, Cell: "z", Left: 3 * time.Second, CallersSeen: m.lookedAt,
					Spec:  fleet.JobSpec{ID: jobName(key), Tasks: m.taskCounts[key], Need: need, Estimate: 300 * time.Millisecond},
					Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, SlackFactor: 1.6, ObjectiveOffset: 500 * time.Millisecond},
				}})
			},
			"cancel": func(t *rapid.T) {
				if m.lastJobSeq > 0 {
					m.step(Cancel{Key: JobKey{Host: 1, Seq: rapid.Uint64Range(1, m.lastJobSeq).Draw(t, "job")}})
				}
			},
			"leave": m.callerLeaves,
			"pause": m.pause,
			"deliver": func(t *rapid.T) {
				if c, ok := takeCall(t); ok {
					m.deliver(c, true)
				}
			},
			"deliverMore": func(t *rapid.T) {
				for range 5 {
					if c, ok := takeCall(t); ok {
						m.deliver(c, true)
					}
				}
			},
			"loseAnswer": func(t *rapid.T) {
				if c, ok := takeCall(t); ok {
					m.deliver(c, false)
				}
			},
			"loseOrder": func(t *rapid.T) {
				if c, ok := takeCall(t); ok {
					m.loseCall(c)
				}
			},
			"refuseOrder": func(t *rapid.T) {
				if c, ok := takeCall(t); ok && !m.refuse(c) {
					m.pendingCalls = append(m.pendingCalls, c)
				}
			},
			"carryOutLate": func(t *rapid.T) {
				if len(m.givenUpCalls) > 0 {
					i := rapid.IntRange(0, len(m.givenUpCalls)-1).Draw(t, "late")
					m.carryOutLate(m.givenUpCalls[i])
				}
			},
			"end": func(t *rapid.T) {
				w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
				if keys := w.Running(); len(keys) > 0 {
					key := keys[rapid.IntRange(0, len(keys)-1).Draw(t, "run")]
					how := rapid.SampledFrom([]fleet.RunEnd{fleet.EndDone, fleet.EndDone, fleet.EndFailed}).Draw(t, "how")
					m.doneTasks[key.Task] = m.doneTasks[key.Task] || how == fleet.EndDone
					w.EndRun(key, how)
				}
			},
			"restart": func(t *rapid.T) {
				w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
				m.restart(w)
			},
			"rivalStarts": func(t *rapid.T) {
				w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
				if rival := m.rivalFences[w.ID]; rival != 0 && w.Fence == rival {
					m.lastCallNumber++
					startRivalRun(w, m.now, rival, m.lastCallNumber)
				}
			},
			"rival": func(t *rapid.T) {
				m.lastFence += 10
				w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
				w.Hold(m.now, fleet.HoldOrder{Fence: m.lastFence})
				for _, key := range w.Running() {
					w.Stop(m.now, fleet.StopOrder{Run: key, Fence: m.lastFence})
				}
				m.rivalFences[w.ID] = m.lastFence
			},
			"take": func(t *rapid.T) {
				m.lastFence += 10
				m.step(TakeWorker{Worker: m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")].ID, Cell: "z", Fence: m.lastFence})
			},
			"changeEndings": func(t *rapid.T) {
				w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
				w.Endings = workermodel.Endings{
					Time:     time.Duration(rapid.IntRange(0, int(workermodel.MaxEndTime.Milliseconds())).Draw(t, "endTime")) * time.Millisecond,
					Unlisted: rapid.Bool().Draw(t, "unlisted"),
				}
			},
			"drain":      func(t *rapid.T) { m.sendDirectory(rapid.IntRange(-1, 2).Draw(t, "worker")) },
			"pass":       func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond) },
			"standStill": func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(200, 3000).Draw(t, "ms")) * time.Millisecond) },
			"":           m.check,
		})
	})
}
