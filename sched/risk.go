package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/crash"
)

// reasonRisky is the reason for refusing jobs of a kind whose tasks crash workers.
const reasonRisky = "requests of this kind crash workers, and no room is left for more of them"

// minRiskShare is the part of its share of the workers that a risky kind keeps when the other kinds need all.
const minRiskShare = 0.5

// riskRoom is the room of a pool that a risky kind may use: what the other kinds do not need, but at least its
// share of the workers that are left. Each crash takes a worker away for seconds, so without a bound the kind
// would use up the whole pool.
type riskRoom struct {
	workers int   // that may run tasks of the kind
	cpu     int64 // that its tasks can use on them, in thousandths of a core
	used    int64 // CPU of its running tasks
	running int   // workers that run its tasks
}

// riskRoom returns the room of a risky kind in a pool.
func (s *State) riskRoom(p pool, kind crash.Kind) riskRoom {
	var room riskRoom
	alive, capacity := 0, int64(0)
	for _, w := range s.sortedWorkers {
		if !p.counts(w) {
			continue
		}
		alive++
		capacity += w.info.Capacity.CPU
		if used := w.usedByKind(kind); used > 0 {
			room.used += used
			room.running++
		}
	}
	if alive == 0 {
		return room
	}
	mean := packingEfficiency * float64(capacity) / float64(alive)
	own, others := s.shares.offeredCPU(p.service, kind)
	unused := float64(alive) - others/max(1, mean)
	share := minRiskShare * float64(alive) * own / max(1, own+others)
	room.workers = max(1, int(math.Round(max(unused, share))))
	room.cpu = int64(mean * float64(room.workers))
	return room
}

// usedByKind returns the CPU of a worker's runs of a kind of request.
func (w *worker) usedByKind(kind crash.Kind) int64 {
	used := int64(0)
	for _, r := range w.runList {
		if crash.KindOf(r.job.route) == kind {
			used += r.need.CPU
		}
	}
	return used
}

// offeredCPU returns the CPU that the recent jobs of a kind of request and the others of a service need, in
// thousandths of a core.
func (m *shares) offeredCPU(service string, kind crash.Kind) (own, others float64) {
	for _, q := range m.queues {
		switch {
		case q.service != service:
		case q.kind == kind:
			own += q.offered
		default:
			others += q.offered
		}
	}
	return own / shareMemory.Seconds(), others / shareMemory.Seconds()
}

// limitRiskyKinds refuses the jobs of risky kinds for which the room of their kind does not suffice in time, so
// that they neither wait in vain nor count as load for the others.
func (s *State) limitRiskyKinds(now time.Duration, p pool) {
	if s.crashes.Empty() {
		return
	}
	for _, kind := range s.riskyKinds(p) {
		room := s.riskRoom(p, kind)
		waiting := int64(0)
		for _, j := range s.queue {
			if !p.waits(j) || crash.KindOf(j.route) != kind {
				continue
			}
			waiting += j.waitingCPU()
			if j.unrejectedStarts == 0 && now+room.wait(waiting, j.taskDuration) > j.latestAdmission() {
				waiting -= j.waitingCPU()
				s.logEvent(j.spec.RequestID, "job of a risky kind refused", "job", j.spec.ID, "queue", j.route.Name, "workers", room.workers, "cpu", room.cpu, "used", room.used)
				s.finish(now, j, Refused, reasonRisky)
			}
		}
	}
}

// wait predicts how long it takes until so much CPU has become free for tasks of the kind that take d each.
func (r riskRoom) wait(cpu int64, d time.Duration) time.Duration {
	missing := cpu - (r.cpu - r.used)
	if missing <= 0 {
		return 0
	}
	return time.Duration(float64(d) * float64(missing) / float64(max(1, r.cpu)))
}

// riskyKinds returns the risky kinds of the jobs that wait for a pool.
func (s *State) riskyKinds(p pool) []crash.Kind {
	var kinds []crash.Kind
	for _, j := range s.queue {
		if !isRisky(j) || j.cell != p.cell || j.route.Service != p.service {
			continue
		}
		if k := crash.KindOf(j.route); !slices.Contains(kinds, k) {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// withinRiskRoom returns the workers on which a task of the job may start: all of them unless its kind is risky,
// and then only those that run tasks of the kind while it runs on as many workers as it may.
func (s *State) withinRiskRoom(j *job, workers []*candidate) []*candidate {
	if !isRisky(j) {
		return workers
	}
	kind := crash.KindOf(j.route)
	if room := s.riskRoom(pool{j.cell, j.route.Service}, kind); room.running < room.workers {
		return workers
	}
	var list []*candidate
	for _, c := range workers {
		if c.w.usedByKind(kind) > 0 {
			list = append(list, c)
		}
	}
	return list
}

// retryInterval is the time between two tries, in one pool, of jobs of a risky kind under which a worker has
// crashed. Each is likely to take another worker away for seconds.
const retryInterval = 2 * time.Second

// mayTryAgain reports whether a job may start its tasks although a worker has most likely crashed under it. Of a
// risky kind, one such job is tried at a time.
func (s *State) mayTryAgain(now time.Duration, j *job) bool {
	if !isRisky(j) || !j.suspicion.crashedAlone {
		return true
	}
	p := pool{j.cell, j.route.Service}
	if last, tried := s.triedAgainAt[p]; tried && now-last < retryInterval || len(j.waiting) == 0 {
		return false
	}
	s.triedAgainAt[p] = now
	return true
}

// logRisks logs the kinds of request whose risk has changed, in a fixed order.
func (s *State) logRisks(now time.Duration) {
	risks := s.crashes.Risks(now)
	var kinds []crash.Kind
	for kind := range s.loggedRisks {
		kinds = append(kinds, kind)
	}
	for kind := range risks {
		if !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	slices.SortFunc(kinds, func(a, b crash.Kind) int { return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix)) })
	for _, kind := range kinds {
		if risks[kind] != s.loggedRisks[kind] {
			s.logEvent("", "requests of a kind crash workers", "host", kind.Host, "prefix", kind.Prefix, "risk", risks[kind], "before", s.loggedRisks[kind])
		}
	}
	s.loggedRisks = risks
}
