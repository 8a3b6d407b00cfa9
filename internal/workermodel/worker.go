// Package workermodel is a reference model of a worker for property tests of the packages that
// command workers. The model obeys the highest fencing token that it has seen and runs each task
// that it is told to start, without a check of its capacity, until the run ends, is stopped or
// loses its lease. Each stop and each lapse takes the time that Endings gives. Only tests import it; they leave it to Check to find out whether the commands
// were sound.
package workermodel

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

const (
	// MaxEndTime is the longest time that a worker takes to end a run that it was told to stop or whose
	// lease has lapsed, on its own clock.
	MaxEndTime = 50 * time.Millisecond
	// MaxLease is the longest lease that a worker allows, in ms.
	MaxLease = 1000
)

// Endings says how a worker ends the runs that it was told to stop or whose lease has lapsed.
type Endings struct {
	Time     time.Duration // that it takes to end a run, on its own clock
	Unlisted bool          // runs that are being ended are missing from its list of running runs
}

// ending is the end of a run that a worker has begun to end.
type ending struct {
	at  time.Duration // when the run is over
	how fleet.RunEnd
}

// Worker is the model of a worker. Create it with New.
type Worker struct {
	ID        string
	Born      int64 // number of the process (incarnation), from 1
	Capacity  fleet.Resources
	Fence     int64         // highest fencing token seen
	DownUntil time.Duration // no process answers before this time
	Endings   Endings

	clockRate           float64                          // speed of the clock relative to that of the test
	leaseEnd            int64                            // on the worker's clock, in ms
	running             map[fleet.RunKey]fleet.Resources // needs of the runs
	ending              map[fleet.RunKey]ending          // of them, the runs that are being ended
	highestEndedAttempt map[fleet.Task]int64             // highest attempt that was stopped or has ended
	finished            []fleet.FinishedRun              // ends not yet acknowledged
	lastEndNumber       int64                            // number of the newest end
	startedAt           time.Duration                    // start of the process; its clock begins then
}

// New returns a worker without runs that takes MaxEndTime to end one. rate is the speed of its clock relative to
// that of the test.
func New(id string, capacity fleet.Resources, rate float64) *Worker {
	w := &Worker{ID: id, Capacity: capacity, Endings: Endings{Time: MaxEndTime}, clockRate: rate}
	w.startProcess(0)
	return w
}

// startProcess starts a process that knows nothing of earlier ones.
func (w *Worker) startProcess(at time.Duration) {
	w.Born++
	w.Fence, w.leaseEnd, w.lastEndNumber = 0, 0, 0
	w.startedAt, w.DownUntil = at, at
	w.running = make(map[fleet.RunKey]fleet.Resources)
	w.ending = make(map[fleet.RunKey]ending)
	w.highestEndedAttempt = make(map[fleet.Task]int64)
	w.finished = nil
}

// Restart ends the process of the worker with all its runs. A new one answers from the time up on.
func (w *Worker) Restart(up time.Duration) { w.startProcess(up) }

// Clock returns the worker's clock in ms.
func (w *Worker) Clock(now time.Duration) int64 {
	return 1 + int64(float64((now-w.startedAt).Milliseconds())*w.clockRate)
}

// onTestClock returns how long a time on the worker's clock takes on that of the test.
func (w *Worker) onTestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.clockRate)
}

// EndTime returns how long the worker takes to end a run, on the clock of the test.
func (w *Worker) EndTime() time.Duration { return w.onTestClock(w.Endings.Time) }

// lapsesAt returns when the lease ends.
func (w *Worker) lapsesAt() time.Duration {
	return w.startedAt + w.onTestClock(time.Duration(w.leaseEnd-1)*time.Millisecond)
}

// Expire begins to end all runs if the lease has ended, and ends the runs for which that is due.
func (w *Worker) Expire(now time.Duration) {
	if lapse := w.lapsesAt(); now >= lapse {
		for key := range w.running {
			w.beginEnd(lapse, key, fleet.EndLeaseExpired)
		}
	}
	for _, key := range w.Running() {
		if e, begun := w.ending[key]; begun && now >= e.at {
			w.EndRun(key, e.how)
		}
	}
}

// beginEnd begins to end a run, unless that has begun before.
func (w *Worker) beginEnd(now time.Duration, key fleet.RunKey, how fleet.RunEnd) {
	if _, begun := w.ending[key]; !begun {
		w.ending[key] = ending{at: now + w.EndTime(), how: how}
	}
}

// Running returns the running runs in a fixed order.
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

// IsRunning reports whether a run is running.
func (w *Worker) IsRunning(key fleet.RunKey) bool {
	_, there := w.running[key]
	return there
}

// EndRun ends a run and lists its end.
func (w *Worker) EndRun(key fleet.RunKey, how fleet.RunEnd) {
	delete(w.running, key)
	delete(w.ending, key)
	w.highestEndedAttempt[key.Task] = max(w.highestEndedAttempt[key.Task], key.Attempt)
	w.lastEndNumber++
	w.finished = append(w.finished, fleet.FinishedRun{Number: w.lastEndNumber, Run: key, End: how})
}

// extendLease extends the lease up to a time on the worker's clock in ms, but by no more than
// MaxLease from now.
func (w *Worker) extendLease(now time.Duration, until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.Clock(now)+MaxLease))
}

// Start carries out a start of a task with the given need.
func (w *Worker) Start(now time.Duration, o fleet.StartOrder, need fleet.Resources) fleet.Reply {
	return w.reply(now, w.checkAndStart(now, o, need))
}

func (w *Worker) checkAndStart(now time.Duration, o fleet.StartOrder, need fleet.Resources) fleet.Verdict {
	w.Expire(now)
	switch {
	case o.Fence < w.Fence:
		return fleet.Fenced
	case o.LeaseEnd <= w.Clock(now):
		return fleet.Expired
	}
	w.Fence = o.Fence
	w.extendLease(now, o.LeaseEnd)
	if w.IsRunning(o.Run) {
		return fleet.Accepted
	}
	if w.highestEndedAttempt[o.Run.Task] >= o.Run.Attempt {
		return fleet.Superseded
	}
	w.running[o.Run] = need
	return fleet.Accepted
}

// Stop carries out a stop. The run ends after EndTime.
func (w *Worker) Stop(now time.Duration, o fleet.StopOrder) fleet.Reply {
	w.Expire(now)
	if o.Fence < w.Fence {
		return w.reply(now, fleet.Fenced)
	}
	w.Fence = o.Fence
	if w.IsRunning(o.Run) {
		w.beginEnd(now, o.Run, fleet.EndStopped)
	}
	w.highestEndedAttempt[o.Run.Task] = max(w.highestEndedAttempt[o.Run.Task], o.Run.Attempt)
	return w.reply(now, fleet.Accepted)
}

// Hold carries out a hold. It answers at once, whatever wait the order asks for.
func (w *Worker) Hold(now time.Duration, o fleet.HoldOrder) fleet.HoldReply {
	w.Expire(now)
	if o.Fence < w.Fence {
		return fleet.HoldReply{Reply: w.reply(now, fleet.Fenced)}
	}
	w.Fence = o.Fence
	if o.LeaseEnd > 0 {
		w.extendLease(now, o.LeaseEnd)
	}
	w.finished = slices.DeleteFunc(w.finished, func(f fleet.FinishedRun) bool { return f.Number <= o.AckedNumber })
	reply := fleet.HoldReply{Reply: w.reply(now, fleet.Accepted), Finished: slices.Clone(w.finished)}
	for _, key := range w.Running() {
		if _, begun := w.ending[key]; begun && w.Endings.Unlisted {
			continue
		}
		reply.Running = append(reply.Running, fleet.ActiveRun{Run: key, Percent: 1})
	}
	return reply
}

func (w *Worker) reply(now time.Duration, v fleet.Verdict) fleet.Reply {
	return fleet.Reply{Verdict: v, ClockMillis: w.Clock(now), ProcessStart: w.Born}
}

// Free returns the capacity less the needs of the running runs. It is negative where the runs
// exceed it.
func (w *Worker) Free() fleet.Resources {
	left := w.Capacity
	for _, need := range w.running {
		left = left.Sub(need)
	}
	return left
}

// Check returns an error if a task has two runs at the same time or a worker is over its capacity.
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
			return fmt.Errorf("worker %s is over its capacity: %+v free of %+v", w.ID, free, w.Capacity)
		}
	}
	return nil
}
