package platformsim

import (
	"time"

	"sesameledge.dev/sesameledge/logapi"
)

// lease permits its holder to run tasks until it lapses.
type lease struct {
	expires time.Time
	lapsed  bool // for good; the identity is never granted again
	ended   []*task
	changed chan struct{} // closed when a task ends or the lease lapses
}

func newLease(expires time.Time) *lease {
	return &lease{expires: expires, changed: make(chan struct{})}
}

func (l *lease) addEnded(t *task) {
	l.ended = append(l.ended, t)
	l.wake()
}

func (l *lease) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// maxEnded bounds the tasks in one EndedReply.
const maxEnded = 1000

// endedAfter returns the tasks of a lease that ended after a position, and a channel
// that is closed when there are more. It fails with errLeaseInvalid for an unknown lease.
func (p *workerPool) endedAfter(id string, after int) (logapi.EndedReply, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leases[id]
	if l == nil || after < 0 || after > len(l.ended) {
		return logapi.EndedReply{}, nil, errLeaseInvalid
	}
	last := min(len(l.ended), after+maxEnded)
	reply := logapi.EndedReply{Next: last, Lapsed: l.lapsed}
	for _, t := range l.ended[after:last] {
		reply.Tasks = append(reply.Tasks, t.view)
	}
	return reply, l.changed, nil
}

func (l *lease) valid(now time.Time) bool { return !l.lapsed && now.Before(l.expires) }

// renew grants a lease or renews it. It fails with errLeaseInvalid if the lease lapsed.
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
	l.expires = now.Add(ttl)
	return nil
}

// lapse ends the tasks of the leases that have expired. The caller holds mu.
func (p *workerPool) lapse(now time.Time) {
	for _, l := range p.leases {
		if !l.lapsed && !now.Before(l.expires) {
			l.lapsed = true
			l.wake()
		}
	}
	for _, w := range p.workers {
		for _, t := range w.running {
			if l := p.leases[t.view.Lease]; l.lapsed {
				p.end(t, logapi.TaskLapsed)
			}
		}
	}
}
