package host

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/sched"
)

// simJob is a job of a caller, who resends it while its outcome is unknown.
type simJob struct {
	id         string
	tasks      int
	need       fleet.Resources
	takes      time.Duration // run time of each task
	failing    bool          // its tasks end as failed
	open       int           // submissions that have no answer yet, and planned resends
	unresolved int           // submissions after which tasks may have run
	outcomes   []sched.Outcome
	reason     string // of the newest answer
	answeredAt time.Duration
	started    bool
	done       map[int]bool // tasks that have ended as done, by index
	gone       bool         // the caller has given up
	resends    int
	cancelled  bool          // its caller has sent a cancellation
	ackedAt    time.Duration // when the first cancellation was acknowledged; 0: none was
	runs       []simRun      // that workers have accepted
	sentAfter  bool          // it was submitted again after its cancellation was sent
	killsAtAck int           // processes that had been killed by ackedAt
	deadly     bool          // its first task crashes the workers that start it
	crashes    int           // of workers, by its first task
	lostRuns   map[int]int   // runs that ended with their worker's process, by task
	faultsAt   int           // faults of hosts and networks before it was submitted
}

// losesWorkers reports whether the processes of two workers have ended under a task of the job, so that it may be
// given up.
func (j *simJob) losesWorkers() bool {
	for _, n := range j.lostRuns {
		if n >= 2 {
			return true
		}
	}
	return false
}

// endProcess ends the process of a worker; another one answers after the time down.
func (w *simulation) endProcess(ww *simWorker, down time.Duration) {
	w.expire()
	for _, key := range ww.Running() {
		w.jobs[key.Task.Job].lostRuns[key.Task.Index]++
	}
	ww.Restart(w.now + down)
	ww.waiters = nil
}

// simColdSlowdown is the factor on the run time of tasks that start on a cold worker.
const simColdSlowdown = 3

// maxResends limits how often a caller resends a job.
const maxResends = 4

// submit sends a new job to a host.
func (w *simulation) submit(h *simHost, tasks int, takes time.Duration, failing bool) *simJob {
	w.nextJob++
	j := &simJob{
		id: fmt.Sprintf("job%d", w.nextJob), tasks: tasks, takes: takes, failing: failing,
		need: fleet.Resources{CPU: 27000, Memory: 64}, done: make(map[int]bool),
		lostRuns: make(map[int]int), faultsAt: w.faults,
	}
	w.jobs[j.id] = j
	w.send(j, h)
	return j
}

// idleLoad is the interval at which submitLoad checks whether there is background load.
const idleLoad = 100 * time.Millisecond

// submitLoad submits the jobs of the background load to random hosts.
func (w *simulation) submitLoad() {
	pause := idleLoad
	if w.load > 0 {
		takes := time.Duration(50+w.rng.Int64N(1950)) * time.Millisecond
		w.submit(w.hosts[w.rng.IntN(len(w.hosts))], 1+w.rng.IntN(3), takes, false)
		pause = w.load
	}
	w.after(pause, w.submitLoad)
}

// send submits a job to a host, or later to a random one if the host has no process.
func (w *simulation) send(j *simJob, h *simHost) {
	if h.state == nil {
		j.unresolved++
		w.resendLater(j)
		return
	}
	h.seq++
	h.open[h.seq] = j
	j.open++
	j.sentAfter = j.sentAfter || j.cancelled
	h.deliver(h.processCount, JobArrived{
		Seq: h.seq, Remaining: cmp.Or(w.patience, 3*time.Second),
		Spec:  fleet.JobSpec{ID: j.id, Tasks: j.tasks, Need: j.need, Estimate: cmp.Or(w.estimate, 200*time.Millisecond), Ephemeral: true},
		Route: fleet.Route{Name: "r", Host: simRouteHost, Prefix: simRoutePrefix, Service: "s", MaxAttempts: 2, SlackFactor: 1.6, ObjectiveOffset: w.objective},
	})
}

// resendLater resends a job to a random host after callerResendDelay.
func (w *simulation) resendLater(j *simJob) {
	j.open = max(0, j.open-1)
	if j.gone || j.resends >= maxResends {
		return
	}
	j.resends++
	j.open++ // the caller keeps waiting
	w.after(callerResendDelay, func() {
		j.open--
		if !j.gone {
			w.send(j, w.hosts[w.rng.IntN(len(w.hosts))])
		}
	})
}

// closeConnection closes a caller's connection, which the host notices at once. If returns is set, the
// caller resends the job.
func (h *simHost) closeConnection(seq uint64, returns bool) {
	h.breakConnection(seq, returns, func(notice func()) { notice() })
}

// breakConnection does the same for a host that notices it when schedule calls its argument.
func (h *simHost) breakConnection(seq uint64, returns bool, schedule func(notice func())) {
	j := h.open[seq]
	if j == nil {
		return
	}
	delete(h.open, seq)
	j.unresolved++
	process := h.processCount
	schedule(func() {
		if h.processCount == process {
			h.closed[seq] = false
		}
		h.deliver(process, CallerGone{Seq: seq})
	})
	j.gone = j.gone || !returns
	h.w.resendLater(j)
}

// answered processes the answer to a caller's job.
func (h *simHost) answered(a Answer) {
	j := h.open[a.Seq]
	if j == nil {
		return
	}
	delete(h.open, a.Seq)
	j.outcomes = append(j.outcomes, a.Outcome)
	j.reason, j.answeredAt = a.Reason, h.w.now
	switch a.Outcome {
	case sched.Completed:
		j.open--
		j.unresolved++
		for i := range j.tasks {
			if !j.done[i] {
				h.w.fail("%s is complete without task %d", j.id, i)
			}
		}
	case sched.Refused:
		j.open--
	case sched.Failed:
		j.open--
		j.unresolved++
		if !j.failing && !j.losesWorkers() {
			h.w.fail("%s failed without a failed task or two lost workers: %s, lost runs %v", j.id, j.reason, j.lostRuns)
		}
	case sched.Cancelled:
		j.open--
		j.unresolved++
		if !j.cancelled {
			h.w.fail("%s was cancelled by nobody", j.id)
		}
	case sched.Aborted:
		j.unresolved++
		h.w.resendLater(j)
	}
	h.w.checkRefusal(j)
}

// checkRefusal fails the simulation if a task of a job was started although every submission of
// the job was refused.
func (w *simulation) checkRefusal(j *simJob) {
	if j.started && j.open == 0 && j.unresolved == 0 {
		w.fail("%s was started, and all submissions were refused", j.id)
	}
}

// order sends an order to a worker over the simulated network.
func (w *simulation) order(h *simHost, effect Effect) {
	ww, limits := w.target(effect)
	c := &workerCall{w: w, h: h, process: h.processCount, ww: ww, effect: effect, sent: h.clock(), limit: limits.Limit}
	w.after(limits.Timeout, func() {
		if !c.answered {
			c.passOn(fleet.HoldReply{})
		}
	})
	if ww.refuses && w.now < ww.DownUntil {
		w.after(2*simLatency, func() { c.answer(fleet.HoldReply{Reply: fleet.Reply{Refused: true}}) })
		return
	}
	ww.openCalls = append(slices.DeleteFunc(ww.openCalls, func(o *workerCall) bool { return o.answered }), c)
	switch {
	case ww.cut || ww.zoneCut && ww.info.Zone != h.zone || w.now < ww.DownUntil:
		return
	case w.rng.Float64() < ww.lateShare || ww.lateStopShare > 0 && isStop(effect) && w.rng.Float64() < ww.lateStopShare:
		born := ww.Born
		w.after(time.Duration(200+w.rng.Int64N(11800))*time.Millisecond, func() {
			if ww.Born == born {
				c.replyLost = true
				c.arrive()
			}
		})
		return
	case w.rng.Float64() < ww.lostReplyShare:
		c.replyLost = true
	}
	w.after(simLatency, c.arrive)
}

func isStop(e Effect) bool {
	_, ok := e.(sched.StopRun)
	return ok
}

// target returns the worker of an order and how long the host waits for the reply.
func (w *simulation) target(effect Effect) (*simWorker, sched.CallLimits) {
	var id string
	var limits sched.CallLimits
	switch e := effect.(type) {
	case sched.StartRun:
		id, limits = e.Worker.ID, e.CallLimits
	case sched.StopRun:
		id, limits = e.Worker.ID, e.CallLimits
	case sched.HoldWorker:
		id, limits = e.Worker.ID, e.CallLimits
	}
	for _, ww := range w.workers {
		if ww.ID == id {
			return ww, limits
		}
	}
	return nil, limits
}

// workerCall is an order of a host to a worker.
type workerCall struct {
	w         *simulation
	h         *simHost
	process   int // number of the process that sent it
	ww        *simWorker
	effect    Effect
	sent      time.Duration
	limit     time.Duration // after which the host has given the call up
	replyLost bool          // the reply of the worker is lost
	answered  bool
}

// holdWait returns how long a hold asks the worker to wait for the end of a run.
func holdWait(e sched.HoldWorker) time.Duration {
	return time.Duration(e.Order.WaitMillis) * time.Millisecond
}

// answer passes the worker's reply on, unless it is so late that the host has given the call up.
func (c *workerCall) answer(reply fleet.HoldReply) {
	if c.answered || c.h.clock()-c.sent > c.limit {
		return
	}
	c.answered = true
	c.passOn(reply)
}

// passOn passes a reply to the process that sent the order. An empty reply means that none has come
// within the timeout.
func (c *workerCall) passOn(reply fleet.HoldReply) {
	if c.h.processCount != c.process {
		return
	}
	var ev sched.Event
	switch e := c.effect.(type) {
	case sched.StartRun:
		ev = sched.StartReply{Worker: c.ww.ID, Run: e.Order.Run, Sent: c.sent, Fence: e.Order.Fence, Reply: reply.Reply}
	case sched.StopRun:
		ev = sched.StopReply{Worker: c.ww.ID, Run: e.Order.Run, Sent: c.sent, Fence: e.Order.Fence, Reply: reply.Reply}
	case sched.HoldWorker:
		ev = sched.HoldReply{Worker: c.ww.ID, Seq: e.Seq, Sent: c.sent, Wait: holdWait(e), Fence: e.Order.Fence, Reply: reply}
	}
	c.h.deliver(c.process, WorkerEvent{Event: ev})
}

// reply sends the worker's reply over the network unless it is to be lost.
func (c *workerCall) reply(reply fleet.HoldReply) {
	if !c.replyLost {
		c.w.after(simLatency, func() { c.answer(reply) })
	}
}

// arrive carries out the order on the worker.
func (c *workerCall) arrive() {
	if c.w.now < c.ww.DownUntil {
		return
	}
	c.w.expire()
	switch e := c.effect.(type) {
	case sched.StartRun:
		c.reply(fleet.HoldReply{Reply: c.start(e.Order)})
	case sched.StopRun:
		c.reply(fleet.HoldReply{Reply: c.ww.Stop(c.w.now, e.Order)})
		c.w.after(c.ww.EndTime(), func() { c.w.expire(); c.ww.wakeHolds() })
	case sched.HoldWorker:
		c.hold(e.Order)
	}
}

// start starts a task and schedules its end.
func (c *workerCall) start(o fleet.StartOrder) fleet.Reply {
	w, ww := c.w, c.ww
	j := w.jobs[o.Run.Task.Job]
	alreadyRunning := ww.IsRunning(o.Run)
	reply := ww.Start(w.now, o, j.need)
	if reply.Verdict != fleet.Accepted || alreadyRunning {
		return reply
	}
	j.started = true
	c.recordStart(j, o.Run)
	if j.deadly && o.Run.Task.Index == 0 {
		j.crashes++
		w.after(crashDelay, ww.crasher(w))
	}
	ww.starts++
	w.check()
	w.checkRefusal(j)
	born := ww.Born
	takes := j.takes
	if w.now < ww.coldUntil {
		takes *= simColdSlowdown
	}
	w.after(takes, func() {
		w.expire()
		if ww.Born != born || !ww.IsRunning(o.Run) {
			return
		}
		how := fleet.EndDone
		if j.failing {
			how = fleet.EndFailed
		}
		j.done[o.Run.Task.Index] = j.done[o.Run.Task.Index] || how == fleet.EndDone
		ww.EndRun(o.Run, how)
		ww.wakeHolds()
	})
	return reply
}

// hold replies at once if a run has ended, and otherwise at the next end or after the wait time.
func (c *workerCall) hold(o fleet.HoldOrder) {
	reply := c.ww.Hold(c.w.now, o)
	if o.WaitMillis == 0 || reply.Verdict != fleet.Accepted || len(reply.Finished) > 0 {
		c.reply(reply)
		return
	}
	done := false
	replyToHold := func() {
		if !done {
			done = true
			c.reply(c.ww.Hold(c.w.now, fleet.HoldOrder{Fence: o.Fence, AckedNumber: o.AckedNumber}))
		}
	}
	c.ww.waiters = append(c.ww.waiters, replyToHold)
	c.w.after(time.Duration(o.WaitMillis)*time.Millisecond, replyToHold)
}

// wakeHolds replies to the holds that wait for the end of a run.
func (ww *simWorker) wakeHolds() {
	waiters := ww.waiters
	ww.waiters = nil
	for _, replyToHold := range waiters {
		replyToHold()
	}
}
