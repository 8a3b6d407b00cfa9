package dispatch

import (
	"slices"
	"time"

	"sesameledge.dev/sesameledge/api"
	"sesameledge.dev/sesameledge/ticket"
)

const (
	// maxRefused bounds the refusals kept one by one, about 20 MB.
	maxRefused = 1 << 16
	// refusalSweep is the pause between removals of refusals that are no longer needed.
	refusalSweep = time.Second
)

// refusals remembers which tickets were answered "not run". A ticket whose window has
// ended needs no record, since it can never start. When there are too many, the older
// half is replaced by a bound: tickets up to that number are refused unless they hold a
// job. This refuses some new work, but forgets no refusal.
type refusals struct {
	limit   int
	tickets map[ticket.ID]refusal
	closed  uint64 // tickets up to this sequence number start nothing new
	sweepAt time.Duration
	forget  bool // see switches.forgetHalf
}

type refusal struct {
	reason *api.Error
	seq    uint64
	until  time.Duration // end of the ticket's window
}

func newRefusals() refusals {
	return refusals{limit: maxRefused, tickets: make(map[ticket.ID]refusal)}
}

func (r *refusals) reason(id ticket.ID) (*api.Error, bool) {
	have, ok := r.tickets[id]
	return have.reason, ok
}

func (r *refusals) add(id ticket.ID, have refusal) {
	r.tickets[id] = have
	if len(r.tickets) > r.limit {
		r.compact()
	}
}

// compact replaces the older half of the refusals by the bound.
func (r *refusals) compact() {
	numbers := make([]uint64, 0, len(r.tickets))
	for _, have := range r.tickets {
		numbers = append(numbers, have.seq)
	}
	slices.Sort(numbers)
	bound := numbers[len(numbers)/2]
	if !r.forget {
		r.closed = max(r.closed, bound)
	}
	for id, have := range r.tickets {
		if have.seq <= bound {
			delete(r.tickets, id)
		}
	}
}

func (r *refusals) sweep(now time.Duration) {
	if now < r.sweepAt {
		return
	}
	r.sweepAt = now + refusalSweep
	for id, have := range r.tickets {
		if have.until <= now {
			delete(r.tickets, id)
		}
	}
}
