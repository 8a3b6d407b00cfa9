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

// rivalRun starts a run for another host, if there is room for it.
func rivalRun(w *workermodel.Worker, now time.Duration, fence int64, number int) {
	need := fleet.Resources{CPU: 30000, Memory: 64}
	if w.Free().Fits(need) {
		run := fleet.RunKey{Task: fleet.Task{Job: "rival", Index: number}, Attempt: 1}
		w.Start(now, fleet.StartOrder{Run: run, Fence: fence, Until: w.Clock(now) + workermodel.MaxLease}, need)
	}
}

// schedMachine drives the scheduler against model workers over a network that delays, loses
// and carries out late.
type schedMachine struct {
	s        *State
	now      time.Duration
	workers  []*workermodel.Worker
	rivals   map[string]int64 // fencing token of a rival commander, by worker
	calls    []call
	late     []call
	jobs     map[JobKey]int // submitted: tasks
	needs    map[string]fleet.Resources
	done     map[fleet.Task]bool
	outcomes map[JobKey]Outcome
	seq      uint64
	fence    int64
	number   int
}

// call is an order on its way.
type call struct {
	effect Effect
	sent   time.Duration
	number int
}

func newSchedMachine() *schedMachine {
	m := &schedMachine{
		s: New(), now: time.Minute, jobs: make(map[JobKey]int), needs: make(map[string]fleet.Resources),
		done: make(map[fleet.Task]bool), outcomes: make(map[JobKey]Outcome), rivals: make(map[string]int64), fence: 10,
	}
	for i := range 3 {
		capacity := fleet.Resources{CPU: int64(64000 + 32000*(i%2)), Memory: 1000}
		m.workers = append(m.workers, workermodel.New(fmt.Sprintf("w%d", i), capacity, []float64{1, 0.98, 1}[i]))
	}
	m.directory(-1)
	for _, w := range m.workers {
		m.step(Take{Worker: w.ID, Cell: "z", Fence: m.fence})
	}
	return m
}

// directory lists the workers; the one with the given index drains.
func (m *schedMachine) directory(draining int) {
	var list []fleet.Worker
	for i, w := range m.workers {
		list = append(list, fleet.Worker{ID: w.ID, Service: "s", Zone: "z", Capacity: w.Capacity, Draining: i == draining})
	}
	m.step(Directory{Workers: list})
}

func (m *schedMachine) step(ev Event) {
	m.s.Step(m.now, ev)
	m.s.Place(m.now)
	for _, e := range m.s.Ready() {
		switch e := e.(type) {
		case StartRun, StopRun, HoldWorker:
			m.number++
			m.calls = append(m.calls, call{effect: e, sent: m.now, number: m.number})
		case Finish:
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

// workerOf returns the worker that an order is for.
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

// deliver carries an order out and, unless its answer is lost, returns it. An order that was
// under way for too long, or that finds no process, is lost for good.
func (m *schedMachine) deliver(c call, answer bool) {
	if w := m.workerOf(c); m.now < w.Down || m.now-c.sent > callLimit {
		m.lose(c)
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
		m.step(Stopped{Worker: w.ID, Run: e.Order.Run, Reply: reply})
	case HoldWorker:
		w := m.worker(e.Worker.ID)
		reply := w.Hold(m.now, e.Order)
		if !answer {
			reply = fleet.HoldReply{}
		}
		m.step(Held{Worker: w.ID, Seq: e.Seq, Sent: c.sent, Reply: reply})
	}
}

func (m *schedMachine) answerStart(c call, e StartRun, reply fleet.Reply, answer bool) {
	if !answer {
		reply = fleet.Reply{}
	}
	m.step(Started{Worker: e.Worker.ID, Run: e.Order.Run, Reply: reply})
}

// lose drops an order; it may be carried out later, unless there was no process to take it.
func (m *schedMachine) lose(c call) {
	if m.workerOf(c).Down <= c.sent {
		m.late = append(m.late, c)
	}
	switch e := c.effect.(type) {
	case StartRun:
		m.answerStart(c, e, fleet.Reply{}, false)
	case StopRun:
		m.step(Stopped{Worker: e.Worker.ID, Run: e.Order.Run})
	case HoldWorker:
		m.step(Held{Worker: e.Worker.ID, Seq: e.Seq, Sent: c.sent})
	}
}

// carryOutLate carries out an order whose sender has long given it up.
func (m *schedMachine) carryOutLate(c call) {
	if m.now < m.workerOf(c).Down {
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

// restart ends a worker's process with all that it runs and the orders that it holds, and
// starts another one a second later.
func (m *schedMachine) restart(w *workermodel.Worker) {
	w.Restart(m.now + restartTime)
	delete(m.rivals, w.ID)
	m.late = slices.DeleteFunc(m.late, func(c call) bool { return m.workerOf(c) == w })
}

func (m *schedMachine) pass(d time.Duration) {
	m.now += d
	for _, w := range m.workers {
		w.Expire(m.now)
	}
	// The shell gives a call up when its time is over.
	for _, c := range slices.Clone(m.calls) {
		if m.now-c.sent > callTime(c) {
			m.calls = slices.DeleteFunc(m.calls, func(o call) bool { return o.number == c.number })
			m.lose(c)
		}
	}
	m.step(Tick{})
}

// callLimit is how long the shell waits for an answer, beyond the wait that an order asks for.
const callLimit = 300 * time.Millisecond

func callTime(c call) time.Duration {
	if h, ok := c.effect.(HoldWorker); ok {
		return callLimit + time.Duration(h.Order.Wait)*time.Millisecond
	}
	return callLimit
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
	for key, outcome := range m.outcomes {
		if outcome != Completed {
			continue
		}
		for i := range m.jobs[key] {
			if !m.done[fleet.Task{Job: jobName(key), Index: i}] {
				t.Fatalf("job %v is complete without task %d", key, i)
			}
		}
	}
}

func jobName(key JobKey) string { return fmt.Sprintf("job%d", key.Seq) }

// TestMachine guards the invariants of the package against lost and late orders, lost
// answers, workers that restart, slow clocks and a rival commander.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSchedMachine()
		pick := func(t *rapid.T) (call, bool) {
			if len(m.calls) == 0 {
				return call{}, false
			}
			i := rapid.IntRange(0, len(m.calls)-1).Draw(t, "call")
			c := m.calls[i]
			m.calls = slices.Delete(m.calls, i, i+1)
			return c, true
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				m.seq++
				key := JobKey{Host: 1, Seq: m.seq}
				m.jobs[key] = rapid.IntRange(1, 6).Draw(t, "tasks")
				need := fleet.Resources{CPU: rapid.Int64Range(20000, 41000).Draw(t, "cpu"), Memory: 64}
				m.needs[jobName(key)] = need
				m.step(Submit{Job: Job{
					Key: key, Cell: "z", Left: 3 * time.Second,
					Spec:  fleet.JobSpec{ID: jobName(key), Tasks: m.jobs[key], Need: need, Estimate: 300 * time.Millisecond},
					Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, SlackFactor: 1.6, Target: 500 * time.Millisecond},
				}})
			},
			"cancel": func(t *rapid.T) {
				if m.seq > 0 {
					m.step(Cancel{Key: JobKey{Host: 1, Seq: rapid.Uint64Range(1, m.seq).Draw(t, "job")}})
				}
			},
			"deliver": func(t *rapid.T) {
				if c, ok := pick(t); ok {
					m.deliver(c, true)
				}
			},
			"deliverMore": func(t *rapid.T) {
				for range 5 {
					if c, ok := pick(t); ok {
						m.deliver(c, true)
					}
				}
			},
			"loseAnswer": func(t *rapid.T) {
				if c, ok := pick(t); ok {
					m.deliver(c, false)
				}
			},
			"loseOrder": func(t *rapid.T) {
				if c, ok := pick(t); ok {
					m.lose(c)
				}
			},
			"carryOutLate": func(t *rapid.T) {
				if len(m.late) > 0 {
					i := rapid.IntRange(0, len(m.late)-1).Draw(t, "late")
					m.carryOutLate(m.late[i])
				}
			},
			"end": func(t *rapid.T) {
				w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
				if keys := w.Running(); len(keys) > 0 {
					key := keys[rapid.IntRange(0, len(keys)-1).Draw(t, "run")]
					how := rapid.SampledFrom([]fleet.How{fleet.EndDone, fleet.EndDone, fleet.EndFailed}).Draw(t, "how")
					m.done[key.Task] = m.done[key.Task] || how == fleet.EndDone
					w.End(key, how)
				}
			},
			"restart": func(t *rapid.T) {
				w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
				m.restart(w)
			},
			"rivalStarts": func(t *rapid.T) {
				w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
				if rival := m.rivals[w.ID]; rival != 0 && w.Fence == rival {
					m.number++
					rivalRun(w, m.now, rival, m.number)
				}
			},
			"rival": func(t *rapid.T) {
				m.fence += 10
				w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
				w.Hold(m.now, fleet.HoldOrder{Fence: m.fence})
				for _, key := range w.Running() {
					w.Stop(m.now, fleet.StopOrder{Run: key, Fence: m.fence})
				}
				m.rivals[w.ID] = m.fence
			},
			"take": func(t *rapid.T) {
				m.fence += 10
				m.step(Take{Worker: m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")].ID, Cell: "z", Fence: m.fence})
			},
			"drain":      func(t *rapid.T) { m.directory(rapid.IntRange(-1, 2).Draw(t, "worker")) },
			"pass":       func(t *rapid.T) { m.pass(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond) },
			"standStill": func(t *rapid.T) { m.pass(time.Duration(rapid.IntRange(200, 3000).Draw(t, "ms")) * time.Millisecond) },
			"":           m.check,
		})
	})
}
