package sched

import (
	"time"

	"sesameledge.dev/sesameledge/fleet"
)

// startTask starts a run of a task on a worker.
func (s *State) startTask(now time.Duration, j *job, index int, w *worker) {
	key := j.nextRunKey(index)
	lease := s.leaseFor(now, w, j)
	until := w.leaseEndOnWorkerClock(now, lease)
	grant := w.raiseLeaseEndBound(now, lease)
	r := &run{
		key: key, job: j, index: index, need: j.spec.Need, startSentAt: now, leaseUntil: until,
		predicted: s.durationOf(now, w, j),
		coldUntil: w.info.ColdUntil,
		grant:     grant,
	}
	w.addRun(r)
	s.taskRuns.add(key.Task)
	j.activeRuns++
	j.hasRun[index] = true
	j.unrejectedStarts++
	s.stats.Starts++
	s.link.Reserve(now, j.startSize())
	w.nextHold = min(w.nextHold, now)
	s.emit(StartRun{Worker: w.info, Order: fleet.StartOrder{Run: key, Payload: j.spec.Payload, Fence: w.fence, LeaseEnd: until}, CallLimits: s.startLimits(now, w)})
}

// startOverhead is the size of an order to start a run in bytes, with its headers and without the
// payload of the job.
const startOverhead = 500

// startSize returns the size of an order to start a task of the job in bytes.
func (j *job) startSize() int { return len(j.spec.Payload) + startOverhead }
