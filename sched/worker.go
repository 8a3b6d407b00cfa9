package sched

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/fleet"
	"sesameledge.dev/sesameledge/rtt"
	"sesameledge.dev/sesameledge/timing"
)

// phase is the state of the command over a worker.
type phase int

const (
	phaseNone    phase = iota // not commanded by this host
	phaseTaking               // being taken: runs of the former commander are listed and stopped
	phaseHeld                 // commanded; accepts tasks
	phaseLeaving              // released; if it was held, it still accepts tasks until it is given up
)

// worker is what the host knows of a worker.
type worker struct {
	info        fleet.Worker
	cell        fleet.Cell // under which the worker was last taken
	phase       phase
	fence       int64 // token under which the host commands the worker
	cleared     bool  // no run of a former commander is left there since it was taken under fence
	hasListed   bool  // it has listed its runs since it was taken under fence
	incarnation int64 // start of the process that the lists came from, in Unix ms; 0: no list yet

	heardProcess int64 // start of the process that has answered last, in Unix ms; 0: unknown

	lastClock     int64         // newest reading of the worker's clock in ms
	lastClockAt   time.Duration // the clock showed lastClock at this time or earlier
	aliveAt       time.Duration // the process with this clock lived at this time or later
	leaseEndBound time.Duration // all leases granted have ended by then
	formerRunsEnd time.Duration // runs that a former commander has left there without a listing are over by then
	grants        uint64        // number of leases granted so far
	holdGrant     leaseGrant    // by the newest hold

	open        openOrders
	runs        map[fleet.RunKey]*run
	runList     []*run                       // the same, in the order of their starts
	used        fleet.Resources              // sum of the needs of runs
	runningWork int64                        // sum of the work of runs
	foreignRuns map[fleet.RunKey]*foreignRun // running there, but without a record of this host

	processedEnd    int64 // number of the newest listed end that was processed
	acknowledgedEnd int64 // newest end whose acknowledgement the worker is known to have received
	openHoldAck     int64 // end that the open hold acknowledges

	holdSeq    uint64        // number of the newest hold
	holdOpen   bool          // the newest hold is unanswered
	nextHold   time.Duration // earliest time of the next hold
	holdUrgent bool          // the next hold has to be sent even if idle, and answered at once

	calls         rtt.Estimator // over the calls to this worker
	missedHolds   int           // holds in a row without a usable answer
	lossReported  bool          // it was reported as lost since it last answered
	blockedUntil  time.Duration // gets no new tasks until then
	lastBlockTime time.Duration // length of the newest block; 0 after an accepted start

	speed               float64 // relative to the mean of all workers
	consecutiveFailures int     // failed runs since the last that ended done
	removed             bool    // no longer in the directory
}

// run is a run that the worker may be running or may still start.
type run struct {
	key               fleet.RunKey
	job               *job
	index             int // of the task in its job
	need              fleet.Resources
	startSentAt       time.Duration
	predicted         time.Duration // duration on this worker
	coldUntil         time.Duration // when the worker was expected to be warm as the run started; 0: it was warm
	confirmedAt       time.Duration // when the worker was first known to run it; 0: not yet
	leaseUntil        int64         // end of the lease in the start, on the worker's clock in ms; 0: unknown since a restart
	listedIncarnation int64         // incarnation that has listed the run; 0: none
	percent           float64       // highest progress listed
	percentRoseAt     time.Duration // when percent last rose, or was first listed; 0: not yet
	unansweredAt      time.Duration // when the start was found unanswered; 0: it was not
	stop              stopState
	startOpen         bool          // its start is unanswered
	startBroken       bool          // the connection ended while its start was unanswered
	grant             leaseGrant    // by its start
	overAt            time.Duration // the newest list lacks it, and it is over by then; 0: neither
}

// stopState is the state of stopping a run.
type stopState struct {
	wantedSince time.Duration // 0: not wanted
	lastSentAt  time.Duration // 0: not sent
	acceptedAt  time.Duration // when the worker accepted the stop; 0: not yet
	open        bool          // the newest stop sent is unanswered
}

// foreignRun is a run of a former commander, or a run of this host whose start the worker carried
// out after the host had ended it.
type foreignRun struct {
	stop   stopState
	overAt time.Duration // the newest list lacks it, and it is over by then; 0: neither
}

// leaseEndOnWorkerClock returns the end, on the worker's clock in ms, of a lease that lasts at most
// d from now by that clock, as long as the clock runs no slower than timing.MinClockRate.
func (w *worker) leaseEndOnWorkerClock(now, d time.Duration) int64 {
	elapsed := float64(now-w.lastClockAt) * timing.MinClockRate
	return w.lastClock + int64((time.Duration(elapsed) + d).Milliseconds())
}

// runsOver returns when all runs on the worker are over that nothing but their lease ends.
func (s *State) runsOver(w *worker) time.Duration { return s.timing.RunOver(w.leaseEndBound) }

// leaseGrant is a lease that a call grants.
type leaseGrant struct {
	number uint64        // of the grant on its worker; 0: the call grants none
	before time.Duration // leaseEndBound without it
}

// raiseLeaseEndBound records that a lease of length d may begin now.
func (w *worker) raiseLeaseEndBound(now, d time.Duration) leaseGrant {
	w.grants++
	grant := leaseGrant{number: w.grants, before: w.leaseEndBound}
	w.leaseEndBound = max(w.leaseEndBound, leaseBound(now, d))
	return grant
}

// revoke takes back a lease whose call was not sent. It has no effect if another lease was granted since.
func (w *worker) revoke(g leaseGrant) {
	if g.number != 0 && g.number == w.grants {
		w.leaseEndBound = g.before
	}
}

// leaseBound returns when a lease of length d that begins now has ended on the slowest clock.
func leaseBound(now, d time.Duration) time.Duration {
	return now + timing.OnHostClock(d)
}

// recordClock records a reading of the worker's clock in ms; 0 means none. The worker took the
// reading between sent and now. It reports false for a reading that is older than the last one or comes
// from another process.
func (w *worker) recordClock(now, sent, maxLease time.Duration, clock int64) bool {
	if clock == 0 {
		return false
	}
	if ahead := w.leaseEndOnWorkerClock(now, 0) - clock; ahead > 0 && w.lastClockAt != 0 {
		if sent < w.lastClockAt || clock < w.lastClock {
			return false
		}
		// The call was sent after the last reading had come, so this one is newer: the estimate is ahead
		// of the clock, which may run as slowly as the estimate and then never catches up. The leases
		// granted by it end later than was reckoned, but not later than the longest one that begins now.
		w.grants++ // the bound holds whatever becomes of the newest grant
		later := w.leaseEndBound + time.Duration(float64(ahead)/timing.MinClockRate*float64(time.Millisecond))
		w.leaseEndBound = max(w.leaseEndBound, min(later, leaseBound(now, maxLease)))
	}
	w.lastClock = clock
	w.lastClockAt = now
	return true
}

// freeCapacity returns the capacity that is left beside all runs that may be running.
func (w *worker) freeCapacity() fleet.Resources {
	return w.info.Capacity.Sub(w.used)
}

// addRun records a run that the worker may be running or may still start.
func (w *worker) addRun(r *run) {
	w.runs[r.key] = r
	r.startOpen = true
	w.open.starts++
	w.runList = append(w.runList, r)
	w.used = w.used.Add(r.need)
	w.runningWork += r.work()
}

// removeRun forgets a run that is over.
func (w *worker) removeRun(r *run) {
	w.closeStart(r)
	w.closeStop(&r.stop)
	delete(w.runs, r.key)
	w.runList = slices.DeleteFunc(w.runList, func(other *run) bool { return other == r })
	w.used = w.used.Sub(r.need)
	w.runningWork -= r.work()
}

// work returns the CPU that the run needs, in thousandths of a core, times its predicted duration in µs.
func (r *run) work() int64 { return r.need.CPU * r.predicted.Microseconds() }

// acceptsTasks reports whether new tasks may be started on the worker, as long as its lease may be
// extended.
func (w *worker) acceptsTasks(now time.Duration) bool {
	return (w.phase == phaseHeld || w.phase == phaseLeaving) && w.cleared && !w.info.Draining && !w.removed && w.missedHolds == 0 &&
		len(w.foreignRuns) == 0 && now >= w.blockedUntil && !w.entryOutdated()
}

// countsAsCapacity reports whether the worker adds to the capacity of its service, now or soon.
func (w *worker) countsAsCapacity() bool {
	return (w.phase == phaseHeld || w.isBeingTaken()) && !w.info.Draining && !w.removed && w.missedHolds == 0 && !w.entryOutdated()
}

// isOverdue reports whether the stop has taken too long to go on extending the lease.
func (s stopState) isOverdue(now time.Duration) bool {
	return s.wantedSince != 0 && now-s.wantedSince > stopGracePeriod
}

// isDue reports whether the stop has to be sent, for the first time or again.
func (s stopState) isDue(now time.Duration) bool {
	return s.wantedSince != 0 && s.acceptedAt == 0 && (s.lastSentAt == 0 || now-s.lastSentAt >= stopRetryInterval)
}

// block keeps new tasks away from the worker. The time doubles with each call until a start is
// accepted.
func (w *worker) block(now time.Duration) {
	w.lastBlockTime = min(max(2*w.lastBlockTime, minBlockTime), maxBlockTime)
	w.blockedUntil = now + w.lastBlockTime
}
