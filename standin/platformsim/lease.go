package platformsim

import "time"

// lease permits its holder to run tasks until it lapses.
type lease struct {
	expires time.Time
	lapsed  bool // for good; the identity is never granted again
}

func (l *lease) valid(now time.Time) bool { return !l.lapsed && now.Before(l.expires) }

// renew grants a lease or renews it. It fails with errLeaseInvalid if the lease lapsed.
func (p *workerPool) renew(now time.Time, id string, ttl time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leases[id]
	if l == nil {
		p.leases[id] = &lease{expires: now.Add(ttl)}
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
		l.lapsed = l.lapsed || !now.Before(l.expires)
	}
	for _, w := range p.workers {
		for _, t := range w.running {
			if l := p.leases[t.view.Lease]; l.lapsed {
				p.end(t, TaskLapsed)
			}
		}
	}
}
