package place

import (
	"math"
	"time"
)

const (
	// remoteCost is the time added for an endpoint in another availability zone: both
	// ways of the delay between zones. It prefers the own zone and overflows as soon as
	// that is slower.
	remoteCost = 2 * time.Millisecond
	// avoidFactor makes the endpoint that refused a task last the worst choice.
	avoidFactor = 4
	// remoteAvoidFactor leaves other availability zones to tasks that no endpoint of the own
	// zone can take, once one of them was refused there: the zone may be cut off.
	remoteAvoidFactor = 16
	// unknownFactor keeps a job of up to fewTasks tasks from spreading over endpoints of
	// unknown speed, since it is as late as the slowest of them. The first task of a job
	// still explores, and larger jobs need the slots of many endpoints.
	unknownFactor = 1.5
	fewTasks      = 32
	// tieJitter spreads the choice between endpoints that look alike, so that hosts with
	// the same view do not all choose the same one.
	tieJitter = 0.03
	// maxHeld bounds the tasks held back in one round.
	maxHeld = 64
	// slackUse is the part of a task's slack that a slower endpoint may use up.
	slackUse = 0.8
)

// choice is an endpoint with the estimated time until a task would end there.
type choice struct {
	st   *state
	cost time.Duration
}

// adaptive estimates when the task would end at each endpoint, counting the tasks of
// this and of other hosts. If the best endpoint has no room, the task is held back
// rather than queued there or started at a slower one. If the task's job ends later
// anyway, it goes to the slowest endpoint that is early enough, which keeps the fast
// ones free for tasks that need them.
func (s *Set) adaptive(now time.Duration, task Task, avoid EndpointID) (Endpoint, Choice) {
	if len(s.held) >= maxHeld {
		return Endpoint{}, Full
	}
	run := s.model(task.Kind).predict(task.Run)
	var best, spare choice
	unconfirmed := false
	slack := time.Duration(slackUse * float64(task.Ends-now))
	for st := range s.candidates(task.Group) {
		if !st.available(now, task) {
			continue
		}
		if s.unconfirmed(now, st, task) {
			unconfirmed = true
			continue
		}
		q := s.quote(now, st)
		cost := s.cost(st, q, task.Kind, run)
		cost = time.Duration(float64(cost) * s.penalty(st, task, avoid))
		if best.st == nil || cost < best.cost {
			best = choice{st: st, cost: cost}
		}
		if cost <= slack && cost > spare.cost && q.room {
			spare = choice{st: st, cost: cost}
		}
	}
	switch {
	case best.st == nil && unconfirmed:
		return Endpoint{}, Hold // jobs behind this one may still probe
	case best.st == nil:
		return Endpoint{}, Full
	case spare.st != nil:
		return s.chosen(spare, task)
	case best.st.quote.room:
		return s.chosen(best, task)
	}
	best.st.held++
	s.held = append(s.held, best.st)
	return Endpoint{}, Hold
}

// chosen notes the choice for a task and returns it.
func (s *Set) chosen(c choice, task Task) (Endpoint, Choice) {
	c.st.lastJob = task.Job
	s.lastCost = c.cost
	return c.st.Endpoint, Start
}

// available reports whether the endpoint takes the task, now or once it has room.
func (st *state) available(now time.Duration, task Task) bool {
	h := &st.health
	return !st.Leaving && !h.out(now) && !h.paused(now) && h.mayProbe(now, task.JobTasks)
}

// penalty multiplies the estimated cost of an endpoint that a task should rather avoid.
func (s *Set) penalty(st *state, task Task, avoid EndpointID) float64 {
	factor := 1.0
	if st.ID == avoid {
		factor *= avoidFactor
	}
	if task.PreferLocal && st.Zone != s.opts.Zone {
		factor *= remoteAvoidFactor
	}
	if st.speeds.unknown() && task.JobTasks <= fewTasks && task.JobStarted > 0 && st.lastJob != task.Job {
		factor *= unknownFactor
	}
	return factor
}

// quote is what a round knows about an endpoint whatever the task. A round compares the
// endpoints for many tasks, so it is kept until a task is started there.
type quote struct {
	round       uint64
	outstanding int
	room        bool
	service     float64 // mean time of a task at the endpoint, nanoseconds
	wait        float64 // for a slot if a task is started now, nanoseconds
}

func (s *Set) quote(now time.Duration, st *state) *quote {
	q := &st.quote
	if q.round == s.round && q.outstanding == st.outstanding {
		return q
	}
	others := st.others.estimate(now, s.averageOthers(st))
	*q = quote{
		round:       s.round,
		outstanding: st.outstanding,
		room:        s.room(st, others),
		service:     st.speeds.any * float64(s.meanRun(st.Group)),
	}
	if q.room {
		q.wait = waitInQueue(st, others, q.service)
	}
	return q
}

// cost estimates the time until a task with this run time at the typical speed would end
// at the endpoint.
func (s *Set) cost(st *state, q *quote, kind string, run time.Duration) time.Duration {
	wait := q.wait
	if !q.room {
		wait = s.waitForRoom(st, q.service)
	}
	cost := wait + st.speeds.slowness(kind)*float64(run)
	cost *= 1 + tieJitter*s.rng.Float64()
	if st.Zone != s.opts.Zone {
		cost += float64(remoteCost)
	}
	return time.Duration(cost)
}

// waitInQueue estimates how long a task started now waits for a slot at the endpoint.
func waitInQueue(st *state, others, service float64) float64 {
	ahead := float64(st.outstanding) + others + 1 - float64(st.Slots)
	return expectedExcess(ahead, math.Sqrt(others)/2) / float64(st.Slots) * service
}

// waitForRoom estimates how long a held task waits until this host may start it. Other
// hosts hold tasks back too, so this host gets slots only as its own tasks there end.
func (s *Set) waitForRoom(st *state, service float64) float64 {
	own := max(float64(st.outstanding), float64(st.Slots)/float64(max(s.hosts, 1)))
	return service * float64(st.held+1) / own
}

// room reports whether this host may start one more task at the endpoint. It may use its
// share of the slots at any time, and beyond it the slots that the other hosts leave
// idle.
func (s *Set) room(st *state, others float64) bool {
	own := st.outstanding
	if st.health.allowed > 0 && own >= st.health.allowed {
		return false
	}
	if own < max(1, st.Slots/max(s.hosts, 1)) {
		return true
	}
	return own < st.Slots && float64(own)+others <= float64(st.Slots)-0.5
}

// averageOthers is the expected load of other hosts at an endpoint without a report.
func (s *Set) averageOthers(st *state) float64 {
	return s.means[st.Group].others.center
}

// meanRun is the mean run time of the group's tasks at the typical speed.
func (s *Set) meanRun(group string) time.Duration {
	if m := s.means[group]; m.run.n > 0 {
		return time.Duration(m.run.center)
	}
	return defaultRun
}

func (s *Set) model(kind string) *kindModel {
	k := s.kinds[kind]
	if k == nil {
		k = new(kindModel)
		s.kinds[kind] = k
	}
	return k
}

// learn takes what an ended attempt says about its endpoint.
func (s *Set) learn(now time.Duration, st *state, sample Sample) {
	if sample.Load >= 0 {
		st.others.report(now, sample.Load, st.outstanding)
		s.means[st.Group].others.add(float64(max(sample.Load-st.outstanding, 0)))
	}
	switch {
	case sample.Cancelled:
	case sample.Refused:
		st.health.refused(now)
	case sample.Failed:
		expected := st.speeds.slowness(sample.Kind) * float64(s.model(sample.Kind).predict(sample.Run))
		st.health.failed(float64(sample.Service) < fastFailure*expected)
		s.considerEjecting(now, st)
	default:
		st.health.succeeded(now)
		s.learnSpeed(now, st, sample)
	}
}

// learnSpeed takes the run time of a completed task. What the task waited in the
// endpoint's queue is estimated from the load that the answer reported.
func (s *Set) learnSpeed(now time.Duration, st *state, sample Sample) {
	if sample.Service <= 0 || st.Slots <= 0 {
		return
	}
	took := sample.Service
	if queued := sample.Load + 1 - st.Slots; queued > 0 {
		took = time.Duration(float64(took) / (1 + float64(queued)/float64(st.Slots)))
	}
	k := s.model(sample.Kind)
	typical := k.predict(sample.Run)
	if k.plain.n > 0 {
		st.speeds.learn(now, sample.Kind, math.Log(float64(took)/float64(typical)))
	}
	slow := math.Log(st.speeds.any)
	k.learn(took, sample.Run, slow)
	s.means[st.Group].run.add(float64(took) / st.speeds.any)
}
