// Package workermodel is the oracle of the fuzzers: a worker that obeys the highest fencing
// token, guards nothing, and runs what it is told until that ends, is stopped or loses its
// lease. Only tests import it.
package workermodel

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// StopTime is how long a worker takes to stop a run.
	StopTime = 50 * time.Millisecond
	// MaxLease is the longest lease that a worker allows, in ms.
	MaxLease = 1000
)

// Worker is the model of a worker. Use New.
type Worker struct {
	ID       string
	Born     int64 // incarnation
	Capacity fleet.Resources
	Fence    int64         // highest fencing token seen
	Down     time.Duration // no process until then

	rate     float64 // of its clock
	lease    int64   // on its clock, in ms
	running  map[fleet.RunKey]fleet.Resources
	stopping map[fleet.RunKey]time.Duration // being stopped until then; they still count
	barred   map[fleet.Task]int64           // highest attempt that was stopped or has ended
	finished []fleet.Finished
	number   int64
	started  time.Duration // of the process; its clock begins then
}

// New returns a worker that has run nothing. rate is the speed of its clock.
func New(id string, capacity fleet.Resources, rate float64) *Worker {
	w := &Worker{ID: id, Capacity: capacity, rate: rate}
	w.boot(0)
	return w
}

// boot starts a process that knows nothing of earlier ones.
func (w *Worker) boot(at time.Duration) {
	w.Born++
	w.Fence, w.lease, w.number = 0, 0, 0
	w.started, w.Down = at, at
	w.running = make(map[fleet.RunKey]fleet.Resources)
	w.stopping = make(map[fleet.RunKey]time.Duration)
	w.barred = make(map[fleet.Task]int64)
	w.finished = nil
}

// Restart ends the worker's process with all that it runs. Another one answers from up on.
func (w *Worker) Restart(up time.Duration) { w.boot(up) }

// Clock returns the worker's clock in ms.
func (w *Worker) Clock(now time.Duration) int64 {
	return 1 + int64(float64((now-w.started).Milliseconds())*w.rate)
}

// Expire ends what has been stopped, and everything if the lease has ended.
func (w *Worker) Expire(now time.Duration) {
	for _, key := range w.Running() {
		if until, ok := w.stopping[key]; ok && now >= until {
			w.End(key, fleet.EndStopped)
		}
	}
	if w.Clock(now) >= w.lease {
		for _, key := range w.Running() {
			w.End(key, fleet.EndLapsed)
		}
	}
}

// Running returns the runs at work in a fixed order.
func (w *Worker) Running() []fleet.RunKey {
	var keys []fleet.RunKey
	for key := range w.running {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b fleet.RunKey) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	return keys
}

// Runs reports whether a run is at work.
func (w *Worker) Runs(key fleet.RunKey) bool {
	_, there := w.running[key]
	return there
}

// End ends a run.
func (w *Worker) End(key fleet.RunKey, how fleet.How) {
	delete(w.running, key)
	delete(w.stopping, key)
	w.barred[key.Task] = max(w.barred[key.Task], key.Attempt)
	w.number++
	w.finished = append(w.finished, fleet.Finished{Number: w.number, Run: key, How: how})
}

func (w *Worker) extend(now time.Duration, until int64) {
	w.lease = max(w.lease, min(until, w.Clock(now)+MaxLease))
}

// Start carries out a start of a task with the given need.
func (w *Worker) Start(now time.Duration, o fleet.StartOrder, need fleet.Resources) fleet.Reply {
	return w.reply(now, w.start(now, o, need))
}

func (w *Worker) start(now time.Duration, o fleet.StartOrder, need fleet.Resources) fleet.Verdict {
	w.Expire(now)
	switch {
	case o.Fence < w.Fence:
		return fleet.Fenced
	case o.Until <= w.Clock(now):
		return fleet.Expired
	}
	w.Fence = o.Fence
	w.extend(now, o.Until)
	if w.Runs(o.Run) {
		return fleet.Accepted
	}
	if w.barred[o.Run.Task] >= o.Run.Attempt {
		return fleet.Superseded
	}
	w.running[o.Run] = need
	return fleet.Accepted
}

// Stop carries out a stop.
func (w *Worker) Stop(now time.Duration, o fleet.StopOrder) fleet.Reply {
	w.Expire(now)
	if o.Fence < w.Fence {
		return w.reply(now, fleet.Fenced)
	}
	w.Fence = o.Fence
	if w.Runs(o.Run) && w.stopping[o.Run] == 0 {
		w.stopping[o.Run] = now + StopTime
	}
	w.barred[o.Run.Task] = max(w.barred[o.Run.Task], o.Run.Attempt)
	return w.reply(now, fleet.Accepted)
}

// Hold carries out a hold; it answers at once.
func (w *Worker) Hold(now time.Duration, o fleet.HoldOrder) fleet.HoldReply {
	w.Expire(now)
	if o.Fence < w.Fence {
		return fleet.HoldReply{Reply: w.reply(now, fleet.Fenced)}
	}
	w.Fence = o.Fence
	if o.Until > 0 {
		w.extend(now, o.Until)
	}
	w.finished = slices.DeleteFunc(w.finished, func(f fleet.Finished) bool { return f.Number <= o.Ack })
	reply := fleet.HoldReply{Reply: w.reply(now, fleet.Accepted), Finished: slices.Clone(w.finished)}
	for _, key := range w.Running() {
		reply.Running = append(reply.Running, fleet.Running{Run: key, Percent: 1})
	}
	return reply
}

func (w *Worker) reply(now time.Duration, v fleet.Verdict) fleet.Reply {
	return fleet.Reply{Verdict: v, Clock: w.Clock(now), Born: w.Born}
}

// Free returns what the runs at work leave of the capacity.
func (w *Worker) Free() fleet.Resources {
	left := w.Capacity
	for _, need := range w.running {
		left = left.Sub(need)
	}
	return left
}

// Check returns an error if a task runs twice at one time or a worker is over its capacity.
func Check(workers []*Worker) error {
	at := make(map[fleet.Task]string)
	for _, w := range workers {
		for _, key := range w.Running() {
			if other := at[key.Task]; other != "" {
				return fmt.Errorf("task %v runs on %s and %s", key.Task, other, w.ID)
			}
			at[key.Task] = w.ID
		}
		if free := w.Free(); !free.Fits(fleet.Resources{}) {
			return fmt.Errorf("worker %s is over its capacity: %+v left of %+v", w.ID, free, w.Capacity)
		}
	}
	return nil
}
