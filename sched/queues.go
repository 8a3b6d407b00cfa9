package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// QueueResult is what became of the jobs of a queue.
type QueueResult string

// The results of jobs that are counted for each queue.
const (
	QueueInTime     QueueResult = "in_time"
	QueueLate       QueueResult = "late"       // completed after the objective
	QueueOverloaded QueueResult = "overloaded" // refused because the load is above the capacity
	QueueRefused    QueueResult = "refused"    // refused for another reason
	QueueFailed     QueueResult = "failed"     // failed, aborted or cancelled
	QueueReserved   QueueResult = "reserved"   // tasks for which room was reserved, each time
)

// queueKey identifies the queue of a route.
type queueKey struct{ service, route string }

// queueCounters counts the results of the jobs of one queue.
type queueCounters map[QueueResult]int64

// maxCountedQueues bounds the queues that are counted. Routes come and go with the configuration.
const maxCountedQueues = 1024

// countQueue counts a result for the queue of a job.
func (s *State) countQueue(j *job, r QueueResult) {
	key := queueKey{service: j.route.Service, route: j.route.Name}
	c := s.queueCounters[key]
	if c == nil {
		if len(s.queueCounters) >= maxCountedQueues {
			return
		}
		c = make(queueCounters)
		s.queueCounters[key] = c
	}
	c[r]++
}

// countFinished counts the outcome of a job for its queue.
func (s *State) countFinished(now time.Duration, j *job, o Outcome, reason string) {
	switch {
	case o == Completed && now > j.arrived+j.objective:
		s.countQueue(j, QueueLate)
	case o == Completed:
		s.countQueue(j, QueueInTime)
	case o == Refused && reason == reasonOverload:
		s.countQueue(j, QueueOverloaded)
	case o == Refused:
		s.countQueue(j, QueueRefused)
	default:
		s.countQueue(j, QueueFailed)
	}
}

// QueueDump is the state of the queue of a route for operators. Work is in thousandths of a core times
// seconds; that of past jobs has less weight.
type QueueDump struct {
	Service  string                `json:"service"`
	Route    string                `json:"route"`
	Waiting  int                   `json:"waiting"` // jobs with tasks that wait for room
	Offered  float64               `json:"offered_work"`
	Admitted float64               `json:"admitted_work"`
	Entitled float64               `json:"entitled_work"` // 0 unless the service is overloaded
	Results  map[QueueResult]int64 `json:"results"`       // since the process started
}

// Queues returns the queues whose jobs this host has scheduled, in the order of their names.
func (s *State) Queues() []QueueDump {
	waiting := make(map[queueKey]int)
	for _, j := range s.queue {
		if !j.finished && len(j.waiting) > 0 {
			waiting[queueKey{service: j.route.Service, route: j.route.Name}]++
		}
	}
	list := make([]QueueDump, 0, len(s.queueCounters))
	for key, counters := range s.queueCounters {
		d := QueueDump{Service: key.service, Route: key.route, Waiting: waiting[key], Results: maps.Clone(counters)}
		for _, q := range s.shares.queues {
			if q.service == key.service && q.route == key.route {
				d.Offered, d.Admitted, d.Entitled = q.offered, q.admitted, q.entitled
			}
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b QueueDump) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route))
	})
	return list
}
