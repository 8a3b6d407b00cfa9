package host

import (
	"fmt"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/internal/workermodel"
	"sesameledge.dev/sesameledge/sched"
)

// worldJob is a job of a caller, who sends it again while its fate is open.
type worldJob struct {
	id         string
	tasks      int
	need       fleet.Resources
	takes      time.Duration
	failing    bool // its tasks end failed
	open       int  // submissions without an answer
	unresolved int  // submissions whose answer leaves open what has run
	outcomes   []sched.Outcome
	reason     string // of the newest answer
	started    bool
	done       map[int]bool // tasks
	gone       bool         // the caller has given up
	resends    int
}

// maxResends bounds how often a caller sends a job again.
const maxResends = 4

// submit sends a new job to a host.
func (w *world) submit(h *worldHost, tasks int, takes time.Duration, failing bool) *worldJob {
	w.nextJob++
	j := &worldJob{
		id: fmt.Sprintf("job%d", w.nextJob), tasks: tasks, takes: takes, failing: failing,
		need: fleet.Resources{CPU: 27000, Memory: 64}, done: make(map[int]bool),
	}
	w.jobs[j.id] = j
	w.send(j, h)
	return j
}

// idleLoad is the pause of the basic load while there is none.
const idleLoad = 100 * time.Millisecond

// submitLoad submits jobs of the basic load to random hosts.
func (w *world) submitLoad() {
	pause := idleLoad
	if w.load > 0 {
		takes := time.Duration(50+w.rng.Int64N(1950)) * time.Millisecond
		w.submit(w.hosts[w.rng.IntN(len(w.hosts))], 1+w.rng.IntN(3), takes, false)
		pause = w.load
	}
	w.after(pause, w.submitLoad)
}

// send hands a job to a host, or later to another one if it has no process.
func (w *world) send(j *worldJob, h *worldHost) {
	if h.state == nil {
		j.unresolved++
		w.resendLater(j)
		return
	}
	h.seq++
	h.open[h.seq] = j
	j.open++
	h.deliver(h.life, Arrived{
		Seq: h.seq, Left: 3 * time.Second,
		Spec:  fleet.JobSpec{ID: j.id, Tasks: j.tasks, Need: j.need, Estimate: 200 * time.Millisecond, Ephemeral: true},
		Route: fleet.Route{Name: "r", Service: "s", MaxAttempts: 2, SlackFactor: 1.6, Target: time.Second},
	})
}

// resendLater sends a job again after the time that callers wait, to any host.
func (w *world) resendLater(j *worldJob) {
	j.open = max(0, j.open-1)
	if j.gone || j.resends >= maxResends {
		return
	}
	j.resends++
	j.open++ // the caller goes on waiting
	w.after(resendTime, func() {
		j.open--
		if !j.gone {
			w.send(j, w.hosts[w.rng.IntN(len(w.hosts))])
		}
	})
}

// leave closes a caller's connection. One that lost it sends the job again.
func (h *worldHost) leave(seq uint64, returns bool) {
	j := h.open[seq]
	if j == nil {
		return
	}
	delete(h.open, seq)
	j.unresolved++
	h.deliver(h.life, CallerGone{Seq: seq})
	j.gone = j.gone || !returns
	h.w.resendLater(j)
}

// answered takes the answer to a caller's job.
func (h *worldHost) answered(a Answer) {
	j := h.open[a.Seq]
	if j == nil {
		return
	}
	delete(h.open, a.Seq)
	j.outcomes = append(j.outcomes, a.Outcome)
	j.reason = a.Reason
	switch a.Outcome {
	case sched.Completed:
		j.open--
		j.unresolved++
		for i := range j.tasks {
			if !j.done[i] {
				h.w.breaks("%s is complete without task %d", j.id, i)
			}
		}
	case sched.Refused:
		j.open--
	case sched.Failed:
		j.open--
		j.unresolved++
		if !j.failing {
			h.w.breaks("%s failed without a failed task", j.id)
		}
	case sched.Aborted:
		j.unresolved++
		h.w.resendLater(j)
	}
	h.w.checkRefusal(j)
}

// checkRefusal breaks off if a job has run of which every submission was refused.
func (w *world) checkRefusal(j *worldJob) {
	if j.started && j.open == 0 && j.unresolved == 0 {
		w.breaks("%s was started, and all submissions were refused", j.id)
	}
}

// order carries an order out over the network between a host and a worker.
func (w *world) order(h *worldHost, effect Effect) {
	ww, limit := w.target(effect)
	c := &worldCall{w: w, h: h, life: h.life, ww: ww, effect: effect, sent: h.clock()}
	w.after(limit, func() { c.answer(fleet.HoldReply{}) })
	switch {
	case ww.cut || ww.zoneCut && ww.info.Zone != h.zone || w.now < ww.Down:
		return
	case w.rng.Float64() < ww.late:
		born := ww.Born
		w.after(time.Duration(200+w.rng.Int64N(6000))*time.Millisecond, func() {
			if ww.Born == born {
				c.mute = true
				c.arrive()
			}
		})
		return
	case w.rng.Float64() < ww.deaf:
		c.mute = true
	}
	w.after(worldLatency, c.arrive)
}

// target returns the worker of an order and how long the shell waits for its answer.
func (w *world) target(effect Effect) (*worldWorker, time.Duration) {
	var id string
	limit := orderLimit
	switch e := effect.(type) {
	case sched.StartRun:
		id = e.Worker.ID
	case sched.StopRun:
		id = e.Worker.ID
	case sched.HoldWorker:
		id = e.Worker.ID
		limit = holdLimit + time.Duration(e.Order.Wait)*time.Millisecond
	}
	for _, ww := range w.workers {
		if ww.ID == id {
			return ww, limit
		}
	}
	return nil, limit
}

// worldCall is an order on its way.
type worldCall struct {
	w        *world
	h        *worldHost
	life     int // process that has sent it
	ww       *worldWorker
	effect   Effect
	sent     time.Duration
	mute     bool // its answer is lost
	answered bool
}

// answer returns an answer, or after the limit none, to the process that sent the order.
func (c *worldCall) answer(reply fleet.HoldReply) {
	if c.answered || c.h.life != c.life {
		return
	}
	c.answered = true
	var ev sched.Event
	switch e := c.effect.(type) {
	case sched.StartRun:
		ev = sched.Started{Worker: c.ww.ID, Run: e.Order.Run, Reply: reply.Reply}
	case sched.StopRun:
		ev = sched.Stopped{Worker: c.ww.ID, Run: e.Order.Run, Reply: reply.Reply}
	case sched.HoldWorker:
		ev = sched.Held{Worker: c.ww.ID, Seq: e.Seq, Sent: c.sent, Reply: reply}
	}
	c.h.deliver(c.life, WorkerEvent{Event: ev})
}

// reply sends the worker's answer on its way.
func (c *worldCall) reply(reply fleet.HoldReply) {
	if !c.mute {
		c.w.after(worldLatency, func() { c.answer(reply) })
	}
}

// arrive carries the order out.
func (c *worldCall) arrive() {
	if c.w.now < c.ww.Down {
		return
	}
	c.w.expire()
	switch e := c.effect.(type) {
	case sched.StartRun:
		c.reply(fleet.HoldReply{Reply: c.start(e.Order)})
	case sched.StopRun:
		c.reply(fleet.HoldReply{Reply: c.ww.Stop(c.w.now, e.Order)})
		c.w.after(workermodel.StopTime, func() { c.w.expire(); c.ww.wakeHolds() })
	case sched.HoldWorker:
		c.hold(e.Order)
	}
}

// start starts a task and lets it end in time.
func (c *worldCall) start(o fleet.StartOrder) fleet.Reply {
	w, ww := c.w, c.ww
	j := w.jobs[o.Run.Task.Job]
	known := ww.Runs(o.Run)
	reply := ww.Start(w.now, o, j.need)
	if reply.Verdict != fleet.Accepted || known {
		return reply
	}
	j.started = true
	w.check()
	w.checkRefusal(j)
	born := ww.Born
	w.after(j.takes, func() {
		w.expire()
		if ww.Born != born || !ww.Runs(o.Run) {
			return
		}
		how := fleet.EndDone
		if j.failing {
			how = fleet.EndFailed
		}
		j.done[o.Run.Task.Index] = j.done[o.Run.Task.Index] || how == fleet.EndDone
		ww.End(o.Run, how)
		ww.wakeHolds()
	})
	return reply
}

// hold answers at once if there is an end to tell, or else at the next one.
func (c *worldCall) hold(o fleet.HoldOrder) {
	reply := c.ww.Hold(c.w.now, o)
	if o.Wait == 0 || reply.Verdict != fleet.Accepted || len(reply.Finished) > 0 {
		c.reply(reply)
		return
	}
	done := false
	again := func() {
		if !done {
			done = true
			c.reply(c.ww.Hold(c.w.now, fleet.HoldOrder{Fence: o.Fence, Ack: o.Ack}))
		}
	}
	c.ww.waiters = append(c.ww.waiters, again)
	c.w.after(time.Duration(o.Wait)*time.Millisecond, again)
}

// wakeHolds answers the holds that wait for an end.
func (ww *worldWorker) wakeHolds() {
	waiters := ww.waiters
	ww.waiters = nil
	for _, again := range waiters {
		again()
	}
}
