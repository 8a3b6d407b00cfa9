package sched

import (
	"math"
	"slices"
	"time"

	"sesameledge.dev/sesameledge/crash"
)

// shares divides the room of a service among its queues while the load is above it. Each queue is
// entitled to a part that follows from its priority, and to what the others do not ask for. Jobs of
// queues that have taken more are refused first, so that the more urgent queues are served first and no
// queue is starved.
type shares struct {
	queues []*queueShare
}

// queueShare is the recent work of the jobs of one route.
type queueShare struct {
	service, route string
	kind           crash.Kind
	priority       int
	offered        float64 // work of the jobs that arrived; that of past jobs decays
	admitted       float64 // the same without the jobs refused for overload
	refusedAt      time.Duration
	entitled       float64 // part of the room, as of the newest divide
	use            float64 // admitted work divided by the part; 1 while the load is below the capacity
}

const (
	// shareMemory is the time in which the weight of past work falls by a factor of e.
	shareMemory = 2 * time.Second
	// priorityFactor is the part of a queue in proportion to that of a queue of the next lower priority.
	priorityFactor = 2.0
	// maxPriorityLevels bounds the powers of priorityFactor.
	maxPriorityLevels = 16
	// pressureTime is how long after a refusal the room of a service is divided among its queues.
	pressureTime = 500 * time.Millisecond
	// overloadShare is the share of the offered work from which on, when refused, a service counts as
	// overloaded for other hosts.
	overloadShare = 0.15
	// maxUse bounds the use of a queue's part.
	maxUse = 2.0
)

// queue returns the record of a route.
func (m *shares) queue(service, route string) *queueShare {
	for _, q := range m.queues {
		if q.service == service && q.route == route {
			return q
		}
	}
	q := &queueShare{service: service, route: route}
	m.queues = append(m.queues, q)
	return q
}

// recordArrival adds a new job, which counts as admitted until recordRefusal.
func (m *shares) recordArrival(j *job) {
	j.share = m.queue(j.route.Service, j.route.Name)
	j.share.priority = j.route.Priority
	j.share.kind = crash.KindOf(j.route)
	j.share.offered += j.work()
	j.share.admitted += j.work()
}

// recordRefusal records that a job was refused for overload.
func (m *shares) recordRefusal(now time.Duration, j *job) {
	j.share.admitted = max(0, j.share.admitted-j.work())
	j.share.refusedAt = now
}

// decay lowers the weight of past work by the time since it was last called, and forgets routes without
// recent jobs.
func (m *shares) decay(elapsed time.Duration) {
	f := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
	for _, q := range m.queues {
		q.offered *= f
		q.admitted *= f
	}
	m.queues = slices.DeleteFunc(m.queues, func(q *queueShare) bool { return q.offered < 1 })
}

// overloaded reports whether a good part of the work offered to a service has been refused lately. Single
// refusals, as in a burst of a moment, leave room for jobs that other cells refuse.
func (m *shares) overloaded(service string) bool {
	offered, admitted := 0.0, 0.0
	for _, q := range m.queues {
		if q.service == service {
			offered += q.offered
			admitted += q.admitted
		}
	}
	return offered > 0 && admitted < (1-overloadShare)*offered
}

// pressed reports whether jobs of a service were refused for overload a short time ago.
func (m *shares) pressed(now time.Duration, service string) bool {
	for _, q := range m.queues {
		if q.service == service && q.refusedAt != 0 && now-q.refusedAt < pressureTime {
			return true
		}
	}
	return false
}

// divide computes how much of their parts of the admitted work the queues of a service use.
func (m *shares) divide(now time.Duration, service string) {
	var open []*queueShare
	total := 0.0
	for _, q := range m.queues {
		if q.service != service {
			continue
		}
		q.use, q.entitled = 1, 0
		total += q.admitted
		open = append(open, q)
	}
	if total <= 0 || !m.pressed(now, service) {
		return
	}
	all := slices.Clone(open)
	entitle(open, total)
	for _, q := range all {
		q.use = maxUse
		if q.entitled > 0 {
			q.use = min(maxUse, q.admitted/q.entitled)
		}
	}
}

// entitle divides an amount of work among queues in proportion to the weights of their priorities, but
// gives none more than it has offered.
func entitle(open []*queueShare, total float64) {
	for len(open) > 0 {
		weights := 0.0
		for _, q := range open {
			weights += q.weight()
		}
		left := total
		satisfied := func(q *queueShare) bool {
			if q.offered > total*q.weight()/weights {
				return false
			}
			q.entitled = q.offered
			left -= q.offered
			return true
		}
		before := len(open)
		open = slices.DeleteFunc(open, satisfied)
		if len(open) == before {
			for _, q := range open {
				q.entitled = total * q.weight() / weights
			}
			return
		}
		total = left
	}
}

func (q *queueShare) weight() float64 {
	return math.Pow(priorityFactor, -float64(min(max(q.priority, 0), maxPriorityLevels)))
}

// leastEntitled returns the index of the job to refuse first: one of the queue that uses the most of its
// part; of several the least urgent queue, and there the newest job.
func leastEntitled(jobs []*job) int {
	least := 0
	for i, j := range jobs {
		if j.share.refusedBefore(jobs[least].share) || j.share == jobs[least].share && j.arrived >= jobs[least].arrived {
			least = i
		}
	}
	return least
}

// refusedBefore reports whether jobs of queue q are refused before those of another one.
func (q *queueShare) refusedBefore(other *queueShare) bool {
	if q.use != other.use {
		return q.use > other.use
	}
	return q.priority > other.priority
}
