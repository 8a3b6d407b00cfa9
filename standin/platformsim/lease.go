package platformsim

import (
	"time"

	"sesameledge.dev/sesameledge/logapi"
)

// lease permits its holder to run tasks on the workers until it lapses.
type lease struct {
	expiresAt  time.Time
	lapsed     bool          // permanent; a lease with this ID is never granted again
	endedTasks []*task       // in the order in which they ended
	changed    chan struct{} // closed when a task ends or the lease lapses
}

func newLease(expiresAt time.Time) *lease {
	return &lease{expiresAt: expiresAt, changed: make(chan struct{})}
}

// addEndedTask adds a task that ended and notifies the waiting requests.
func (l *lease) addEndedTask(t *task) {
	l.endedTasks = append(l.endedTasks, t)
	l.notifyChange()
}

// notifyChange notifies all requests that wait for a change of the lease.
func (l *lease) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// maxEndedTasks is the maximum number of tasks in one EndedTasksReply.
const maxEndedTasks = 1000

// endedTasksAfter returns the ended tasks of a lease from position after on, and a channel that is
// closed when another task ends or the lease lapses. It returns errLeaseInvalid for an unknown
// lease or an invalid position.
func (p *workerPool) endedTasksAfter(id string, after int) (logapi.EndedTasksReply, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leases[id]
	if l == nil || after < 0 || after > len(l.endedTasks) {
		return logapi.EndedTasksReply{}, nil, errLeaseInvalid
	}
	last := min(len(l.endedTasks), after+maxEndedTasks)
	reply := logapi.EndedTasksReply{Next: last, Lapsed: l.lapsed}
	for _, t := range l.endedTasks[after:last] {
		reply.Tasks = append(reply.Tasks, t.view)
	}
	return reply, l.changed, nil
}

func (l *lease) valid(now time.Time) bool { return !l.lapsed && now.Before(l.expiresAt) }

// renew grants a new lease or extends an existing one. It returns errLeaseInvalid if the lease has
// lapsed.
func (p *workerPool) renew(now time.Time, id string, ttl time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leases[id]
	if l == nil {
		p.leases[id] = newLease(now.Add(ttl))
		return nil
	}
	if !l.valid(now) {
		return errLeaseInvalid
	}
	l.expiresAt = now.Add(ttl)
	return nil
}

// lapseExpiredLeases marks expired leases as lapsed and ends their running tasks. The caller holds mu.
func (p *workerPool) lapseExpiredLeases(now time.Time) {
	for _, l := range p.leases {
		if !l.lapsed && !now.Before(l.expiresAt) {
			l.lapsed = true
			l.notifyChange()
		}
	}
	for _, w := range p.workers {
		for _, t := range w.running {
			if l := p.leases[t.view.Lease]; l.lapsed {
				p.endTask(t, logapi.TaskLapsed)
			}
		}
	}
}
