package place

import (
	"math"
	"time"
)

const (
	// crossZoneRoundTrip is the time added for an endpoint in another availability zone:
	// the network delay between zones, both ways. It makes the local zone preferred, and
	// lets tasks overflow to other zones as soon as the local one is slower.
	crossZoneRoundTrip = 2 * time.Millisecond
	// lastRefusalPenalty multiplies the cost of the endpoint that last refused the task, so
	// that it becomes the worst choice.
	lastRefusalPenalty = 4
	// remoteZonePenalty multiplies the cost of endpoints in other availability zones once an
	// endpoint of another zone refused the task, because that zone may be cut off. The task
	// then goes to another zone only if no endpoint of the local zone can take it.
	remoteZonePenalty = 16
	// unmeasuredPenalty multiplies the cost of endpoints of unknown speed for jobs of up to
	// smallJobTasks tasks. A job ends with its slowest task, so it should not spread over
	// many such endpoints. The first task of a job still explores, and larger jobs need the
	// slots of many endpoints.
	unmeasuredPenalty = 1.5
	smallJobTasks     = 32
	// costJitter is the largest random share added to a cost. It spreads the choice between
	// endpoints of nearly equal cost, so that hosts with the same view do not all choose the
	// same one.
	costJitter = 0.03
	// maxHeldTasks bounds the tasks held back in one round.
	maxHeldTasks = 64
	// usableSlackShare is the share of a task's slack that a slower endpoint may use up. The
	// slack is the time until the task's job is expected to end.
	usableSlackShare = 0.8
)

// candidate is an endpoint with the cost of placing the task there: the estimated time until
// the task would end, times the penalties.
type candidate struct {
	st   *endpointState
	cost time.Duration
}

// pickAdaptive estimates when the task would end at each endpoint, counting the tasks of this
// and of other hosts. If the cheapest endpoint has no room, the task is held back: it is
// neither queued there nor started at a slower endpoint. If the task's job ends later anyway,
// the task goes to the slowest endpoint that is early enough, which leaves the fast ones to
// tasks that need them.
func (s *Set) pickAdaptive(now time.Duration, task Task, avoid EndpointID) (Endpoint, Choice) {
	if len(s.heldEndpoints) >= maxHeldTasks {
		return Endpoint{}, Full
	}
	runTime := s.modelFor(task.Kind).predict(task.DeclaredRunTime)
	var cheapest, slowestInTime candidate
	anyUnconfirmed := false
	slack := time.Duration(usableSlackShare * float64(task.ExpectedJobEnd-now))
	for st := range s.candidates(task.Group) {
		if !st.accepts(now, task) {
			continue
		}
		if s.needsConfirmation(now, st, task) {
			anyUnconfirmed = true
			continue
		}
		estimate := s.estimateForRound(now, st)
		cost := s.completionTime(st, estimate, task.Kind, runTime)
		cost = time.Duration(float64(cost) * s.penaltyFactor(st, task, avoid))
		if cheapest.st == nil || cost < cheapest.cost {
			cheapest = candidate{st: st, cost: cost}
		}
		if cost <= slack && cost > slowestInTime.cost && estimate.hasRoom {
			slowestInTime = candidate{st: st, cost: cost}
		}
	}
	switch {
	case cheapest.st == nil && anyUnconfirmed:
		return Endpoint{}, Hold // jobs later in the queue may still probe the endpoints
	case cheapest.st == nil:
		return Endpoint{}, Full
	case slowestInTime.st != nil:
		return s.recordChoice(slowestInTime, task)
	case cheapest.st.roundEstimate.hasRoom:
		return s.recordChoice(cheapest, task)
	}
	cheapest.st.heldTasks++
	s.heldEndpoints = append(s.heldEndpoints, cheapest.st)
	return Endpoint{}, Hold
}

// recordChoice records the choice for a task and returns it.
func (s *Set) recordChoice(c candidate, task Task) (Endpoint, Choice) {
	c.st.lastJob = task.Job
	s.lastCost = c.cost
	return c.st.Endpoint, Start
}

// accepts reports whether the endpoint takes the task, now or once it has room.
func (st *endpointState) accepts(now time.Duration, task Task) bool {
	h := &st.health
	return !st.Leaving && !h.ejected(now) && !h.paused(now) && h.mayProbe(now, task.JobTasks)
}

// penaltyFactor returns the factor by which the cost of an endpoint is raised for a task that
// should rather avoid it.
func (s *Set) penaltyFactor(st *endpointState, task Task, avoid EndpointID) float64 {
	factor := 1.0
	if st.ID == avoid {
		factor *= lastRefusalPenalty
	}
	if task.PreferLocal && st.Zone != s.opts.Zone {
		factor *= remoteZonePenalty
	}
	if st.speed.unmeasured() && task.JobTasks <= smallJobTasks && task.JobStarted > 0 && st.lastJob != task.Job {
		factor *= unmeasuredPenalty
	}
	return factor
}

// roundEstimate is the part of an endpoint's cost that does not depend on the task. A round
// compares the endpoints for many tasks, so the estimate is cached until the round ends or
// the number of outstanding tasks at the endpoint changes.
type roundEstimate struct {
	round       uint64
	outstanding int
	hasRoom     bool
	serviceTime float64 // mean time of a task at the endpoint, nanoseconds
	queueWait   float64 // wait for a slot if a task is started now, nanoseconds
}

func (s *Set) estimateForRound(now time.Duration, st *endpointState) *roundEstimate {
	estimate := &st.roundEstimate
	if estimate.round == s.round && estimate.outstanding == st.outstanding {
		return estimate
	}
	others := st.others.estimate(now, s.meanOthersLoad(st))
	*estimate = roundEstimate{
		round:       s.round,
		outstanding: st.outstanding,
		hasRoom:     s.hasRoom(st, others),
		serviceTime: st.speed.overallSlowness * float64(s.meanRunTime(st.Group)),
	}
	if estimate.hasRoom {
		estimate.queueWait = waitInQueue(st, others, estimate.serviceTime)
	}
	return estimate
}

// completionTime estimates the time until a task would end at the endpoint. The run time is
// that at the typical speed.
func (s *Set) completionTime(st *endpointState, estimate *roundEstimate, kind string, runTime time.Duration) time.Duration {
	wait := estimate.queueWait
	if !estimate.hasRoom {
		wait = s.waitForRoom(st, estimate.serviceTime)
	}
	total := wait + st.speed.slowness(kind)*float64(runTime)
	total *= 1 + costJitter*s.rng.Float64()
	if st.Zone != s.opts.Zone {
		total += float64(crossZoneRoundTrip)
	}
	return time.Duration(total)
}

// waitInQueue estimates how long, in nanoseconds, a task started now waits for a slot at the
// endpoint. others is the expected number of tasks of other hosts there.
func waitInQueue(st *endpointState, others, serviceTime float64) float64 {
	excess := float64(st.outstanding) + others + 1 - float64(st.Slots)
	return expectedExcess(excess, math.Sqrt(others)/2) / float64(st.Slots) * serviceTime
}

// waitForRoom estimates how long, in nanoseconds, a held task waits until this host may start
// it. Other hosts hold tasks back too, so this host gets slots only as its own tasks there
// end.
func (s *Set) waitForRoom(st *endpointState, serviceTime float64) float64 {
	ownSlots := max(float64(st.outstanding), float64(st.Slots)/float64(max(s.hosts, 1)))
	return serviceTime * float64(st.heldTasks+1) / ownSlots
}

// hasRoom reports whether this host may start one more task at the endpoint. It may use its
// share of the slots at any time, and beyond its share the slots that other hosts leave idle.
// others is the expected number of tasks of other hosts there.
func (s *Set) hasRoom(st *endpointState, others float64) bool {
	own := st.outstanding
	if st.health.outstandingLimit > 0 && own >= st.health.outstandingLimit {
		return false
	}
	if own < max(1, st.Slots/max(s.hosts, 1)) {
		return true
	}
	return own < st.Slots && float64(own)+others <= float64(st.Slots)-0.5
}

// meanOthersLoad is the expected load of other hosts at an endpoint that no reply has
// reported on.
func (s *Set) meanOthersLoad(st *endpointState) float64 {
	return s.means[st.Group].othersLoad.value
}

// meanRunTime is the mean run time of the group's tasks at the typical speed.
func (s *Set) meanRunTime(group string) time.Duration {
	if m := s.means[group]; m.runTime.samples > 0 {
		return time.Duration(m.runTime.value)
	}
	return defaultRunTime
}

// modelFor returns the run time model of a kind, and creates it if there is none.
func (s *Set) modelFor(kind string) *runTimeModel {
	model := s.kinds[kind]
	if model == nil {
		model = new(runTimeModel)
		s.kinds[kind] = model
	}
	return model
}

// recordSample updates the estimates of load, health and speed with an ended attempt.
func (s *Set) recordSample(now time.Duration, st *endpointState, sample Sample) {
	if sample.Load >= 0 {
		st.others.addReport(now, sample.Load, st.outstanding)
		s.means[st.Group].othersLoad.add(float64(max(sample.Load-st.outstanding, 0)))
	}
	switch {
	case sample.Cancelled:
	case sample.Refused:
		st.health.recordRefusal(now)
	case sample.Failed:
		expected := st.speed.slowness(sample.Kind) * float64(s.modelFor(sample.Kind).predict(sample.DeclaredRunTime))
		st.health.recordFailure(float64(sample.ServiceTime) < fastFailureShare*expected)
		s.ejectIfFailing(now, st)
	default:
		st.health.recordSuccess(now)
		s.recordRunTime(now, st, sample)
	}
}

// recordRunTime updates the speed of the endpoint and the model of the kind with a completed
// task. The task's wait in the endpoint's queue is estimated from the load that the answer
// reported, and taken off.
func (s *Set) recordRunTime(now time.Duration, st *endpointState, sample Sample) {
	if sample.ServiceTime <= 0 || st.Slots <= 0 {
		return
	}
	runTime := sample.ServiceTime
	if queued := sample.Load + 1 - st.Slots; queued > 0 {
		runTime = time.Duration(float64(runTime) / (1 + float64(queued)/float64(st.Slots)))
	}
	model := s.modelFor(sample.Kind)
	typical := model.predict(sample.DeclaredRunTime)
	if model.logRunTime.samples > 0 {
		st.speed.learn(now, sample.Kind, math.Log(float64(runTime)/float64(typical)))
	}
	logSlowness := math.Log(st.speed.overallSlowness)
	model.learn(runTime, sample.DeclaredRunTime, logSlowness)
	s.means[st.Group].runTime.add(float64(runTime) / st.speed.overallSlowness)
}
